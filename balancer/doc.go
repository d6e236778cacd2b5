// Package balancer decides, for one router, which edge cache serves each request, what the cache keeps, and from which
// source a miss is filled. It also decides on retries, hedged requests, load shedding and the ejection of bad
// endpoints.
//
// It is a deterministic state machine: it does no I/O, reads no clock and draws no random numbers. The caller
// passes events and the time to Balancer.Handle and carries out the actions that it returns. The router (package
// core) and the simulator run the same code.
//
// The mechanism is rendezvous hashing. It maps each part of an object to an edge cache, each object to a parent (the
// "home"), and by a second hash to another parent (the "second home"). Occasional fills keep the second home warm, and
// the second home takes over when the home fails.
//
// The interface is in settings.go, events.go, actions.go and status.go, the state in balancer.go, state.go, classes.go
// and objects.go. Each kind of decision has a file: requests.go (life cycle of a request), repeats.go (the idempotency
// rule), routing.go and hashing.go (choice of endpoints), admission.go (concurrency limits), attempts.go (life cycle of
// an attempt), outcomes.go and health.go (outlier detection), slowstart.go, purges.go, endpoints.go (the endpoint
// list), and resolve.go (answers to DNS resolvers). Their tuned values are in tuning.go. snapshot.go copies the state
// from one process of a router to the next.
package balancer
