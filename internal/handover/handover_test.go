package handover

import (
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/testutil/parsertest"
)

var lim = config.Limits{HandoverConns: 4, HandoverStateBytes: 1 << 16, HandoverTimeout: 20 * time.Second,
	Handover: config.ConnLimits{MaxPendingBytes: 1 << 17, ReadTimeout: 20 * time.Second, MessageTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second,
		IdleTimeout: time.Hour, SilentTimeout: time.Hour}}

var some = State{DiscoveryPosition: 41, Snapshot: balancer.Snapshot{LinkLimit: 2.5, PurgeFloor: 7,
	Purges: []balancer.PurgeSnapshot{{ByGroup: true, ID: 1<<64 - 1, PurgedAt: 9}},
	Endpoints: []balancer.EndpointSnapshot{{ID: 1<<64 - 2, StartedAt: 3, WarmUpBudget: 0.25, MissRate: 0.5,
		ConsecutiveFailures: 2, Ejected: true, NextProbe: 4,
		PenalizedAt: 5, Penalty: 0.75}},
	Loads:   []balancer.LoadSnapshot{{Rate: 1, Peak: 2, PeakCapacity: 3, UpdatedAt: 4}},
	Classes: []balancer.ClassSnapshot{{Name: `a"b`, ServiceTime: 0.125}},
	Objects: []balancer.ObjectSnapshot{{Object: 1 << 63, Part: 2, RequestCount: 3, ServedAt: 4, ReplicatedAt: 5,
		CachedAtHome: true, ServiceTime: 0.5}}}}

// owner is a process that a successor may take over from.
type owner struct{ stages chan SuccessorStage }

func (o *owner) DiscoveryPosition() int64              { return some.DiscoveryPosition }
func (o *owner) State() State                          { return some }
func (o *owner) SuccessorChanged(stage SuccessorStage) { o.stages <- stage }

// expectStage waits for the next change of stage.
func (o *owner) expectStage(t *testing.T, want SuccessorStage) {
	t.Helper()
	select {
	case got := <-o.stages:
		if got != want {
			t.Errorf("notified of stage %d, want %d", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("not notified")
	}
}

func listen(t *testing.T) (*owner, string) {
	t.Helper()
	o, path := &owner{stages: make(chan SuccessorStage, 10)}, filepath.Join(t.TempDir(), "s")
	g, err := ListenForSuccessor(path, o, lim)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return o, path
}

func find(t *testing.T, path string) *Predecessor {
	t.Helper()
	p := FindPredecessor(path, lim)
	if p == nil {
		t.Fatal("no predecessor")
	}
	t.Cleanup(p.Close)
	return p
}

// The predecessor is notified of its successor as that connects, and that it is ready before the successor has the
// state.
func TestSuccessorTakesOverState(t *testing.T) {
	o, path := listen(t)
	p := find(t, path)
	o.expectStage(t, SuccessorStarting)
	if p.DiscoveryPosition != some.DiscoveryPosition {
		t.Errorf("position %d", p.DiscoveryPosition)
	}
	s, err := p.AnnounceReady()
	if err != nil || !reflect.DeepEqual(s, some) {
		t.Errorf("state %+v, %v; want %+v", s, err, some)
	}
	o.expectStage(t, SuccessorReady)
}

// A successor that dies leaves its predecessor as it was: another successor can connect, also where the dead one
// had taken the predecessor's place on the path.
func TestSuccessorThatEndsCanBeReplaced(t *testing.T) {
	o, path := listen(t)
	p := find(t, path)
	o.expectStage(t, SuccessorStarting)
	if _, err := p.AnnounceReady(); err != nil {
		t.Fatal(err)
	}
	o.expectStage(t, SuccessorReady)
	next, err := ListenForSuccessor(path, &owner{stages: make(chan SuccessorStage, 10)}, lim)
	if err != nil {
		t.Fatal(err)
	}
	next.Close()
	p.Close()
	o.expectStage(t, NoSuccessor)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if p := FindPredecessor(path, lim); p != nil {
			p.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal("no other successor can connect")
		}
	}
	o.expectStage(t, SuccessorStarting)
}

// Close ends all goroutines of a listener, also where a successor has just ended and the path is being taken back.
func TestNothingListensAfterClose(t *testing.T) {
	for range 20 {
		process, path := &owner{stages: make(chan SuccessorStage, 10)}, filepath.Join(t.TempDir(), "s")
		l, err := ListenForSuccessor(path, process, lim)
		if err != nil {
			t.Fatal(err)
		}
		p := find(t, path)
		if _, err := p.AnnounceReady(); err != nil {
			t.Fatal(err)
		}
		go p.Close()
		l.Close()
		if FindPredecessor(path, lim) != nil {
			t.Fatal("listens after Close")
		}
	}
}

// The successor is notified of its predecessor's end, and gets no state after it.
func TestSuccessorIsNotifiedOfPredecessorsEnd(t *testing.T) {
	o := &owner{stages: make(chan SuccessorStage, 10)}
	path := filepath.Join(t.TempDir(), "s")
	g, err := ListenForSuccessor(path, o, lim)
	if err != nil {
		t.Fatal(err)
	}
	p := find(t, path)
	g.Close()
	select {
	case <-p.Ended():
	case <-time.After(20 * time.Second):
		t.Fatal("not seen")
	}
	if _, err := p.AnnounceReady(); err == nil {
		t.Error("a state from one that has gone")
	}
}

// No predecessor: nothing at the path, a socket that was left behind, a file of another kind, and a listener that
// does not answer.
func TestFindsNoPredecessor(t *testing.T) {
	dir := t.TempDir()
	stale := filepath.Join(dir, "stale")
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: stale, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	ln.Close()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, []byte("7"), 0o600); err != nil {
		t.Fatal(err)
	}
	mute, err := net.Listen("unix", filepath.Join(dir, "mute"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mute.Close() })
	short := lim
	short.HandoverTimeout = 10 * time.Millisecond
	for _, path := range []string{filepath.Join(dir, "none"), stale, file, mute.Addr().String()} {
		if FindPredecessor(path, short) != nil {
			t.Errorf("%s: a predecessor", path)
		}
	}
	if g, err := ListenForSuccessor(stale, &owner{}, lim); err != nil {
		t.Errorf("over a stale path: %v", err)
	} else {
		g.Close()
	}
}

// Another version, or anything else, ends the connection, and the process is not notified of a successor.
func TestOtherVersionIsRejected(t *testing.T) {
	o, path := listen(t)
	for _, text := range []string{"TAKE 1 0\n", "TAKE 3 0\n", "READY 2 0\n", "TAKE 2 5\nhello", "GET / HTTP/1.1\r\n\r\n"} {
		nc, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		nc.Write([]byte(text))
		if n, err := nc.Read(make([]byte, 1)); n != 0 || err == nil {
			t.Errorf("%q is answered", text)
		}
		nc.Close()
	}
	if len(o.stages) != 0 {
		t.Errorf("told %v", <-o.stages)
	}
}

func TestMessageParser(t *testing.T) {
	parsertest.Run(t, func(t *rapid.T) []byte {
		kind := rapid.StringMatching("[A-Z]{1,8}").Draw(t, "kind")
		return appendMessage(nil, kind, rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "body"))
	}, func(buf []byte) (int, int, error) {
		_, progress, err := parseMessage(buf, 200)
		return progress.consumed, progress.needed, err
	})
	// A state in which bytes are bent is an error or a state, and no panic.
	parsertest.Garbage(t, func(*rapid.T) []byte { return encode(some) }, func(buf []byte) (int, int, error) {
		_, err := decode(buf)
		return len(buf), 0, err
	})
}
