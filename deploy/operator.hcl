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

# What routers that may talk to each other share (docs/fleet-talk.md). Only bin/hillknot-cluster takes it.
#
# fleet {
#   listen    = "127.0.0.1:7946"            # over UDP and TCP
#   peers     = ["127.0.0.2:7946"]
#   key_file  = "/etc/hillknot/fleet.keys"  # chmod 600
#   size      = 7                           # routers in all
#   cold {                                  # attempts that one new page cache bears from all of them
#     rate  = 40                            # a second
#     burst = 28
#   }
#   place     = "rack-1"                    # orders are kept in another place, if there is one
#   takeover {                              # orders that outlive their router (docs/takeover.md)
#     strict = true
#   }
#   retries {                               # repeats by all of them of what may have run
#     rate  = 20
#     burst = 28
#   }
# }
