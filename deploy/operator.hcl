# The operator's settings, in addition to the platform's configuration: the front ends that are off on the platform.
# A key here replaces the same key there.

# Address of the operators' front end: status, metrics, standby (docs/operations.md).
ops = "127.0.0.1:7055"

# HAProxy's agent check.
agent_check {
  listen = "127.0.0.1:7054"
}

# Answers to DNS resolvers. A resolver is taken to cache an answer for up to overstay times ttl_s, and the clients of one
# resolver are taken to cause resolver_load seconds of service time each second.
dns {
  listen        = "127.0.0.1:7053"
  names         = ["scores.example.org"]
  ttl_s         = 5
  overstay      = 2
  resolver_load = 0.05
  answers       = 2
  deadline_ms   = 1000
}

# State shared with other routers by gossip (docs/fleet-talk.md). Only bin/hillknot-cluster accepts it.
#
# fleet {
#   listen    = "127.0.0.1:7946"            # over UDP and TCP
#   peers     = ["127.0.0.2:7946"]
#   key_file  = "/etc/hillknot/fleet.keys"  # chmod 600
#   size      = 7                           # number of routers
#   cold {                                  # slow-start budget of one new page cache: attempts by all of them
#     rate  = 40                            # a second
#     burst = 28
#   }
#   place     = "rack-1"                    # orders are replicated to another place, if there is one
#   takeover {                              # failover of orders whose router is lost (docs/takeover.md)
#     strict = true
#   }
#   retries {                               # retries, by all of them, of requests that may have run
#     rate  = 20
#     burst = 28
#   }
# }
