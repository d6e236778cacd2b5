package balancer_test

import (
	"fmt"
	"time"

	"hillknot/balancer"
)

// A router passes events to Handle and carries out the actions that it returns.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Topology: balancer.Topology{Zone: "branch", Zones: []string{"hub", "branch"},
			Kinds: []string{"cache", "parent", "origin"}, ParentKind: 1, OriginKind: 2},
		Classes: []balancer.Class{{Name: "page", LatencyObjective: 300 * time.Millisecond, Deadline: 3 * time.Second,
			Idempotency: balancer.Idempotent, Weight: 1}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second // reading of the router's clock
	b.Handle(now, balancer.EndpointUpdate{Complete: true, Endpoints: []balancer.Endpoint{
		{ID: 1, Kind: "cache", Zone: "branch"}, {ID: 7, Kind: "parent", Zone: "hub"},
	}})
	for _, a := range b.Handle(now, balancer.Request{ID: 42, Class: "page", Object: 0xfeed, Remaining: time.Second}) {
		if send, ok := a.(balancer.SendAttempt); ok {
			fmt.Printf("ask cache %d for request %d, filling from %d\n", send.Endpoint, send.ID, send.Source)
		}
	}
	// Output: ask cache 1 for request 42, filling from 7
}
