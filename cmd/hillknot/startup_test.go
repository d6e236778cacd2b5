package main

import (
	"testing"
	"time"
)

// A router is ready right after its start, whether discovery is up, down or silent.
func TestRouterIsReadyAtOnceWithoutDiscovery(t *testing.T) {
	for name, prepare := range map[string]func(*testRouter){
		"up":     func(*testRouter) {},
		"down":   func(r *testRouter) { r.discovery.Close() },
		"silent": func(r *testRouter) { r.configure(hangingAddress(r.t), "journal") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t, 1)
			prepare(r)
			started := time.Now()
			r.start().dial().expectReady(1)
			if took := time.Since(started); took > 5*time.Second {
				t.Errorf("the router was ready only after %v", took)
			}
		})
	}
}
