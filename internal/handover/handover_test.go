package handover

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hillknot/balancer"
	"hillknot/internal/config"
	"hillknot/internal/testutil/parsertest"
)

var testLimits = config.Limits{HandoverConns: 4, HandoverStateBytes: 1 << 16, HandoverTimeout: 20 * time.Second,
	Handover: config.ConnLimits{MaxPendingBytes: 1 << 17, ReadTimeout: 20 * time.Second, MessageTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second,
		IdleTimeout: time.Hour, SilentTimeout: time.Hour}}

var testState = State{DiscoveryPosition: 41, Snapshot: balancer.Snapshot{LinkLimit: 2.5, PurgeFloor: 7,
	Purges: []balancer.PurgeSnapshot{{ByGroup: true, ID: 1<<64 - 1, PurgedAt: 9}},
	Endpoints: []balancer.EndpointSnapshot{{ID: 1<<64 - 2, StartedAt: 3, WarmUpBudget: 0.25, MissRate: 0.5,
		ConsecutiveFailures: 2, Ejected: true, NextProbe: 4,
		PenalizedAt: 5, Penalty: 0.75}},
	Loads:   []balancer.LoadSnapshot{{Rate: 1, Peak: 2, PeakCapacity: 3, UpdatedAt: 4}},
	Classes: []balancer.ClassSnapshot{{Name: `a"b`, ServiceTime: 0.125}},
	Objects: []balancer.ObjectSnapshot{{Object: 1 << 63, Part: 2, RequestCount: 3, ServedAt: 4, ReplicatedAt: 5,
		CachedAtHome: true, ServiceTime: 0.5}}}}

// fakeProcess is a process that a successor may take over from.
type fakeProcess struct {
	stages     chan SuccessorStage
	requestIDs []string // of its state
}

func (process *fakeProcess) DiscoveryPosition() int64 { return testState.DiscoveryPosition }
func (process *fakeProcess) State() State {
	state := testState
	state.RequestIDs = process.requestIDs
	return state
}
func (process *fakeProcess) SuccessorChanged(stage SuccessorStage) { process.stages <- stage }

// expectStage waits for the next call of SuccessorChanged, and checks its stage.
func (process *fakeProcess) expectStage(t *testing.T, want SuccessorStage) {
	t.Helper()
	select {
	case got := <-process.stages:
		if got != want {
			t.Errorf("notified of stage %d, want %d", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("SuccessorChanged was not called")
	}
}

// listen listens for successors of a fake process. It returns the process and the path of the socket.
func listen(t *testing.T) (*fakeProcess, string) {
	t.Helper()
	process, path := &fakeProcess{stages: make(chan SuccessorStage, 10)}, filepath.Join(t.TempDir(), "s")
	listener, err := ListenForSuccessor(path, process, testLimits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	return process, path
}

// find connects to the predecessor that listens on a path.
func find(t *testing.T, path string) *Predecessor {
	t.Helper()
	p := FindPredecessor(path, testLimits)
	if p == nil {
		t.Fatal("no predecessor")
	}
	t.Cleanup(p.Close)
	return p
}

// The predecessor is notified when its successor connects. It is notified that the successor is ready before the
// successor gets the state.
func TestSuccessorTakesOverState(t *testing.T) {
	process, path := listen(t)
	p := find(t, path)
	process.expectStage(t, SuccessorStarting)
	if p.DiscoveryPosition != testState.DiscoveryPosition {
		t.Errorf("position %d", p.DiscoveryPosition)
	}
	s, err := p.AnnounceReady()
	if err != nil || !reflect.DeepEqual(s, testState) {
		t.Errorf("state %+v, %v; want %+v", s, err, testState)
	}
	process.expectStage(t, SuccessorReady)
}

// A successor is told of each request that its predecessor sends after it has exported its state: those before FOLLOW, and those after
// it, in their order and each once. At most maxPendingIDs wait for FOLLOW.
func TestSuccessorIsToldOfLaterRequests(t *testing.T) {
	process, path := &fakeProcess{stages: make(chan SuccessorStage, 10), requestIDs: []string{"earlier"}}, filepath.Join(t.TempDir(), "s")
	listener, err := ListenForSuccessor(path, process, testLimits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	p := find(t, path)
	listener.RequestSent("before READY") // is part of the state, which a real process exports later
	s, err := p.AnnounceReady()
	if err != nil || !reflect.DeepEqual(s.RequestIDs, process.requestIDs) {
		t.Fatalf("ids %v, %v; want %v", s.RequestIDs, err, process.requestIDs)
	}
	for i := range maxPendingIDs + 2 {
		listener.RequestSent(strconv.Itoa(i))
	}
	ids := make(chan string, 2*maxPendingIDs)
	if err := p.Follow(func(id string) { ids <- id }); err != nil {
		t.Fatal(err)
	}
	for i := 2; i < maxPendingIDs+2; i++ {
		expectID(t, ids, strconv.Itoa(i))
	}
	listener.RequestSent("later")
	expectID(t, ids, "later")
}

func expectID(t *testing.T, ids <-chan string, want string) {
	t.Helper()
	select {
	case got := <-ids:
		if got != want {
			t.Fatalf("told of %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("not told of %q", want)
	}
}

// A predecessor of an earlier release hands over no ids, and is not asked for later ones: it would end the connection.
func TestStateOfEarlierReleaseHasNoRequestIDs(t *testing.T) {
	for name, want := range map[string][]string{`{"pos":1}`: nil, `{"pos":1,"requests":[]}`: {}, `{"pos":1,"requests":["a"]}`: {"a"}} {
		s, err := decode([]byte(name))
		if err != nil || !reflect.DeepEqual(s.RequestIDs, want) {
			t.Errorf("%s: ids %#v, %v; want %#v", name, s.RequestIDs, err, want)
		}
	}
}

// After the end of a successor, another successor can connect to the predecessor, even if the first one had listened on
// the path in place of the predecessor.
func TestSuccessorThatEndsCanBeReplaced(t *testing.T) {
	process, path := listen(t)
	p := find(t, path)
	process.expectStage(t, SuccessorStarting)
	if _, err := p.AnnounceReady(); err != nil {
		t.Fatal(err)
	}
	process.expectStage(t, SuccessorReady)
	next, err := ListenForSuccessor(path, &fakeProcess{stages: make(chan SuccessorStage, 10)}, testLimits)
	if err != nil {
		t.Fatal(err)
	}
	next.Close()
	p.Close()
	process.expectStage(t, NoSuccessor)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if p := FindPredecessor(path, testLimits); p != nil {
			p.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal("no other successor can connect")
		}
	}
	process.expectStage(t, SuccessorStarting)
}

// Close ends all goroutines of a listener, even if a successor has just ended and the listener is reopening the path.
func TestNothingListensAfterClose(t *testing.T) {
	for range 20 {
		process, path := &fakeProcess{stages: make(chan SuccessorStage, 10)}, filepath.Join(t.TempDir(), "s")
		l, err := ListenForSuccessor(path, process, testLimits)
		if err != nil {
			t.Fatal(err)
		}
		p := find(t, path)
		if _, err := p.AnnounceReady(); err != nil {
			t.Fatal(err)
		}
		go p.Close()
		l.Close()
		if FindPredecessor(path, testLimits) != nil {
			t.Fatal("a process listens on the path after Close")
		}
	}
}

// The successor is notified of its predecessor's end, and gets no state from then on.
func TestSuccessorIsNotifiedOfPredecessorsEnd(t *testing.T) {
	process := &fakeProcess{stages: make(chan SuccessorStage, 10)}
	path := filepath.Join(t.TempDir(), "s")
	listener, err := ListenForSuccessor(path, process, testLimits)
	if err != nil {
		t.Fatal(err)
	}
	p := find(t, path)
	listener.Close()
	select {
	case <-p.Ended():
	case <-time.After(20 * time.Second):
		t.Fatal("the end of the predecessor was not noticed")
	}
	if _, err := p.AnnounceReady(); err == nil {
		t.Error("got a state from a predecessor that has ended")
	}
}

// FindPredecessor finds none if the path does not exist, or is a stale socket or a regular file.
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
	for _, path := range []string{filepath.Join(dir, "none"), stale, file} {
		if FindPredecessor(path, testLimits) != nil {
			t.Errorf("%s: found a predecessor, want none", path)
		}
	}
	if listener, err := ListenForSuccessor(stale, &fakeProcess{}, testLimits); err != nil {
		t.Errorf("over a stale path: %v", err)
	} else {
		listener.Close()
	}
}

// A predecessor that was stopped while its successor started was taken for none, and went on beside it as if it had no successor (review,
// case 10). It is found, hears of its successor as soon as it goes on, and counts as replaced once it has said so.
func TestSilentPredecessorIsFound(t *testing.T) {
	silent, err := net.Listen("unix", filepath.Join(t.TempDir(), "mute"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	shortTimeout := testLimits
	shortTimeout.HandoverTimeout = 10 * time.Millisecond
	p := FindPredecessor(silent.Addr().String(), shortTimeout)
	if p == nil {
		t.Fatal("no predecessor")
	}
	t.Cleanup(p.Close)
	if _, err := p.AnnounceReady(); err == nil {
		t.Error("a predecessor that has not answered has handed over a state")
	}
	conn, err := silent.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	want := string(appendMessage(appendMessage(nil, kindTake, nil), kindReady, nil))
	received := make([]byte, len(want))
	if _, err := io.ReadFull(conn, received); err != nil || string(received) != want {
		t.Errorf("the predecessor gets %q, %v; want %q", received, err, want)
	}
	if _, err := conn.Write(appendMessage(nil, kindAt, []byte("41"))); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.Replaced():
		t.Error("the predecessor counts as replaced before it has said so")
	case <-p.Ended():
		t.Fatal("the connection has ended")
	case <-time.After(100 * time.Millisecond):
	}
	if _, err := conn.Write(appendMessage(nil, kindState, encode(testState))); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.Replaced():
	case <-time.After(20 * time.Second):
		t.Fatal("the predecessor does not count as replaced")
	}
	conn.Close()
	<-p.Ended()
}

// A message of another version or an unexpected message ends the connection, and the process is not notified of a
// successor.
func TestOtherVersionIsRejected(t *testing.T) {
	process, path := listen(t)
	for _, text := range []string{"TAKE 1 0\n", "TAKE 3 0\n", "READY 2 0\n", "TAKE 2 5\nhello", "GET / HTTP/1.1\r\n\r\n"} {
		nc, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		nc.Write([]byte(text))
		if n, err := nc.Read(make([]byte, 1)); n != 0 || err == nil {
			t.Errorf("%q: got an answer, want a closed connection", text)
		}
		nc.Close()
	}
	if len(process.stages) != 0 {
		t.Errorf("notified of stage %v, want no notification", <-process.stages)
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
	// Decoding a damaged state returns an error or a state, and does not panic.
	parsertest.Garbage(t, func(*rapid.T) []byte { return encode(testState) }, func(buf []byte) (int, int, error) {
		_, err := decode(buf)
		return len(buf), 0, err
	})
}
