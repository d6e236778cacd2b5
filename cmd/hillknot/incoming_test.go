//go:build cluster

package main

import "testing"

// Messages of other routers that the core does not take are bounded by their bytes; once it takes them, further ones pass.
func TestFloodOfPeersDoesNotFillTheQueue(t *testing.T) {
	var posts []func()
	handled := 0
	m := &incomingMessages{post: func(f func()) { posts = append(posts, f) }}
	const size = 1 << 10
	for range 100_000 {
		m.receive(size, func() { handled++ })
	}
	if most := maxIncomingBytes / (size + incomingOverheadBytes); len(posts) != most {
		t.Errorf("%d messages wait for the core, want %d", len(posts), most)
	}
	waiting := len(posts)
	for _, f := range posts {
		f()
	}
	m.receive(size, func() { handled++ })
	if posts[len(posts)-1](); handled != waiting+1 {
		t.Errorf("%d messages handled, want %d", handled, waiting+1)
	}
}
