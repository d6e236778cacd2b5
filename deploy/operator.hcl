# What an operator sets up besides the platform's configuration: the fronts that are off on the platform. A key here
# stands in place of the same key there.

# Where operators call: status, figures, standby.
ops = "127.0.0.1:7055"

# HAProxy's agent check.
agent_check {
  listen = "127.0.0.1:7054"
}

# Answers to resolvers. They keep an answer for up to overstay times ttl_s, and one resolver's clients ask for
# resolver_load seconds of sending each second.
dns {
  listen        = "127.0.0.1:7053"
  names         = ["scores.example.org"]
  ttl_s         = 5
  overstay      = 2
  resolver_load = 0.05
  answers       = 2
  deadline_ms   = 1000
}
