package brain_test

import (
	"fmt"
	"time"

	"hillknot/brain"
)

// A director feeds its events in and carries out what comes back.
func Example() {
	b, err := brain.New(brain.Settings{
		Zone: "branch", Zones: []string{"hub", "branch"},
		Kinds: []string{"cache", "parent", "origin"}, ParentKind: 1, OriginKind: 2,
		Classes: []brain.Class{{Name: "page", Aim: 300 * time.Millisecond, Deadline: 3 * time.Second,
			Effect: brain.Safe, Worth: 1}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second // of the clock that the director keeps
	b.Handle(now, brain.Members{Full: true, Entries: []brain.Entry{
		{Node: 1, Kind: "cache", Zone: "branch"}, {Node: 7, Kind: "parent", Zone: "hub"},
	}})
	for _, a := range b.Handle(now, brain.Request{ID: 42, Class: "page", Object: 0xfeed, Left: time.Second}) {
		if g, ok := a.(brain.Get); ok {
			fmt.Printf("ask cache %d for request %d, filling from %d\n", g.Node, g.ID, g.Source)
		}
	}
	// Output: ask cache 1 for request 42, filling from 7
}
