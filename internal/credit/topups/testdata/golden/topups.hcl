# What customers of no shop have paid.
among = ["r1", "r2"]

topup "inv-1" {
  account = "acme"
  amount  = 25.000001
}

topup "inv/2" {
  account = "ünion"
  amount  = -0.5
  among   = ["r3"]
}

topup "inv-3" {
  account = "acme"
  amount  = 1e9
}
