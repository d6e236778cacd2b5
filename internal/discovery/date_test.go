package discovery

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/jsonfields"

	"github.com/valyala/fastjson"
)

// dates takes what the journal tells, with the times that it was dated to.
type dates struct {
	starts map[string]time.Duration
	purges chan time.Duration
}

func (d *dates) PostWatchEvent(f func())                    { f() }
func (d *dates) ReplaceEndpoints(all []core.EndpointUpdate) { d.UpdateEndpoints(all) }
func (d *dates) UpdateEndpoints(changed []core.EndpointUpdate) {
	for _, h := range changed {
		d.starts[h.ID] = h.StartedAt
	}
}
func (d *dates) PurgeObject(_ uint64, at time.Duration) { d.purges <- at }
func (d *dates) PurgeGroup(_ uint64, at time.Duration)  { d.purges <- at }

// follower is a client of a journal that the test plays, with a host in the events of the start that started two hours
// ago by the wall clock.
func follower(t *testing.T) (*dates, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	d := &dates{starts: map[string]time.Duration{}, purges: make(chan time.Duration, 100)}
	lim := config.Limits{Connect: 10 * time.Second, JournalLine: 1 << 16, JournalQuiet: time.Minute, JournalRetry: time.Millisecond,
		JournalRetryMost: time.Millisecond, Journal: config.Conn{Pending: 1 << 16, Read: time.Minute, Write: time.Minute}}
	start := jsonfields.Of(fastjson.MustParse(fmt.Sprintf(`{"pos":1,"entries":[{"pos":1,"hosts":{"instances":[
		{"instanceId":"old","lifecycle":"ready","startedAtMs":%d}]}}]}`, (clock.Wall() - 2*time.Hour).Milliseconds())))
	cl, err := New(d, ln.Addr().String(), lim, start)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go cl.Run(stop)
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	if _, err := io.WriteString(nc, head+"\r\n"); err != nil {
		t.Fatal(err)
	}
	return d, nc
}

// Changes are dated between the latest moment at which all was read and now, however far off their stamps are, and in
// whatever pieces they come: the first of two pieces is no proof that what follows was not told yet.
func TestChangesAreDatedSinceTheLatestContact(t *testing.T) {
	begun := clock.Now()
	d, nc := follower(t)
	say := func(text string) {
		t.Helper()
		if _, err := io.WriteString(nc, text); err != nil {
			t.Fatal(err)
		}
	}
	purge := func(pos int, stamp time.Duration) string {
		return fmt.Sprintf("id: %d\ndata: {\"pos\":%d,\"expire\":{\"set\":1,\"stamp\":%d}}\n\n", pos, pos, stamp.Milliseconds())
	}
	say(purge(2, clock.Wall()-time.Hour))
	if at := <-d.purges; at < begun || at > clock.Now() {
		t.Errorf("told since the start, and dated %v before it", begun-at)
	}
	contact := clock.Now()
	text := purge(3, clock.Wall()-time.Hour)
	for _, piece := range []string{text[:3], text[3:9], text[9:20], text[20:]} {
		time.Sleep(30 * time.Millisecond) // each is read by itself
		say(piece)
	}
	at := <-d.purges
	if early := contact - at; early > 25*time.Millisecond || at > contact+30*time.Millisecond {
		t.Errorf("dated %v before its first byte was sent, want at that time", early)
	}
	say(purge(4, clock.Wall()+time.Hour))
	if at := <-d.purges; at > clock.Now() {
		t.Error("dated into the future")
	}
	if age := clock.Now() - d.starts["old"]; age < 119*time.Minute || age > 121*time.Minute {
		t.Errorf("a start of the list at the start is dated %v ago, want 2 h", age)
	}
}

// Until the first word of the journal is read there may be news: a router that was stopped as it connected must not take what
// it knows for all that there is.
func TestBehindUntilTheJournalIsRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	lim := config.Limits{Connect: 10 * time.Second, JournalLine: 1 << 16, JournalQuiet: time.Minute, JournalRetry: time.Millisecond,
		JournalRetryMost: time.Millisecond, Journal: config.Conn{Pending: 1 << 16, Read: time.Minute, Write: time.Minute}}
	cl, err := New(&dates{}, ln.Addr().String(), lim, jsonfields.Object{})
	if err != nil {
		t.Fatal(err)
	}
	if !cl.HasBacklog() {
		t.Error("not behind before the first call")
	}
	stop := make(chan struct{})
	defer close(stop)
	go cl.Run(stop)
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	time.Sleep(20 * time.Millisecond)
	if !cl.HasBacklog() {
		t.Error("not behind on a connection on which nothing has come")
	}
	if _, err := io.WriteString(nc, head+"\r\n: here\n\n"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); cl.HasBacklog(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still behind, and all is read")
		}
	}
}
