package agentcheck

import (
	"io"
	"net"
	"testing"
	"time"

	"hillknot/internal/config"
	"hillknot/internal/core"
)

type fakeCore struct{ phase core.Phase }

func (fake *fakeCore) Snapshot() *core.Snapshot { return &core.Snapshot{Phase: fake.phase} }

// Every connection gets the one line that HAProxy reads, and is then closed.
func TestAgentCheckLines(t *testing.T) {
	limits := config.Limits{AgentCheckConns: 8, AgentCheck: config.ConnLimits{MaxPendingBytes: 1 << 10, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute, SilentTimeout: time.Minute}}
	for phase, want := range map[core.Phase]string{core.Starting: "down\n", core.Serving: "ready\n", core.Standby: "drain\n", core.ShuttingDown: "drain\n"} {
		t.Run(phase.String(), func(t *testing.T) {
			server, err := Listen("127.0.0.1:0", &fakeCore{phase}, limits)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			go server.Serve()
			nc, err := net.Dial("tcp", server.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { nc.Close() })
			nc.SetDeadline(time.Now().Add(20 * time.Second))
			if got, err := io.ReadAll(nc); err != nil || string(got) != want {
				t.Errorf("%v: %q, %v; want %q", phase, got, err, want)
			}
		})
	}
}
