// Package balancer decides, for one router, at which edge cache each request is served, what the cache keeps, and
// where a miss is filled from. It also decides on retries, hedged requests, load shedding and the ejection of bad
// endpoints.
//
// It is a deterministic state machine: it does no I/O, reads no clock and draws no random numbers. The caller
// passes events and the time to Balancer.Handle and carries out the actions that it returns. The router (package
// core) and the simulator run the same code.
//
// The mechanism is rendezvous hashing. It names each object's edge cache and its parent (the "home"), and by a
// second hash another parent (the "second home"). A fill keeps the second home warm now and then, and it takes over
// when the home fails.
//
// The interface is in settings.go, events.go and actions.go, the state in balancer.go, state.go, classes.go and
// objects.go. Each kind of decision has a file: requests.go (life of a request), routing.go and hashing.go (choice
// of endpoints), admission.go (concurrency limits), attempts.go (life of an attempt), outcomes.go and health.go
// (outlier detection), slowstart.go, purges.go, endpoints.go (the endpoint list), and resolve.go (answers to DNS
// resolvers). Their tuned values are in tuning.go. snapshot.go copies the state from one process of a router to the
// next.
package balancer
