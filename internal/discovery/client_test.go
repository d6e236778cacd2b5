package discovery

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/jsonfields"
)

type ledger struct{ hosts chan string }

func (l *ledger) PostWatchEvent(f func())                       { f() }
func (l *ledger) ReplaceEndpoints(all []core.EndpointUpdate)    { l.note(true, all) }
func (l *ledger) UpdateEndpoints(changed []core.EndpointUpdate) { l.note(false, changed) }
func (l *ledger) note(full bool, endpoints []core.EndpointUpdate) {
	for _, e := range endpoints {
		l.hosts <- fmt.Sprint(full, " ", e.ID)
	}
}
func (l *ledger) PurgeObject(object uint64, _ time.Duration) {
	l.hosts <- fmt.Sprint(false, " ", object, " ", 0)
}
func (l *ledger) PurgeGroup(group uint64, _ time.Duration) {
	l.hosts <- fmt.Sprint(true, " ", 0, " ", group)
}

// The client calls again when the connection ends, from the latest event on, and hands none on twice.
func TestFollow(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls := make(chan string, 100)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		last := r.Header.Get("Last-Event-ID")
		calls <- r.URL.Path + " " + last
		if last == "4" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, ": hi\n\nid: 1\ndata: {\"pos\":1,\"expire\":{\"set\":1,\"stamp\":5}}\n\nid: 3\ndata: {\"pos\":3,\"hosts\":"+
			"{\"instances\":[{\"instanceId\":\"c\",\"lifecycle\":\"gone\"}]}}\n\nid: 4\ndata: {\"pos\":4,\"expire\":{\"name\":\"0a\",\"stamp\":5}}\n\n")
	})}
	go srv.Serve(ln)
	defer srv.Close()
	l := &ledger{hosts: make(chan string, 100)}
	lim := config.Limits{Connect: 10 * time.Second, JournalLine: 1 << 16, JournalQuiet: time.Minute, JournalRetry: time.Millisecond, JournalRetryMost: time.Millisecond,
		Journal: config.Conn{Pending: 1 << 16, Read: time.Minute, Write: time.Minute}}
	start := jsonfields.Of(fastjson.MustParse(`{"pos":2,"entries":[{"pos":1,"hosts":{"instances":[{"instanceId":"a","lifecycle":"ready"}]}},
		{"pos":2,"hosts":{"instances":[{"instanceId":"b","lifecycle":"ready"}]}}]}`))
	cl, err := New(l, ln.Addr().String(), lim, start)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	defer close(stop)
	go cl.Run(stop)
	for _, want := range []string{"true a", "false b", "false c", "false 10 0"} {
		if got := <-l.hosts; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	for _, want := range []string{"/journal 2", "/journal 4"} {
		if got := <-calls; got != want {
			t.Errorf("called %q, want %q", got, want)
		}
	}
}

// A journal that has moved is called at its new address at once, from the latest event on, though the old one
// stays open and goes on talking; what both tell is handed on once.
func TestMove(t *testing.T) {
	calls := make(chan string, 100)
	serve := func(name string, pos int) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- name + " " + r.Header.Get("Last-Event-ID")
			for p := 1; p <= pos; p++ {
				fmt.Fprintf(w, "id: %d\ndata: {\"pos\":%d,\"expire\":{\"set\":%d,\"stamp\":5}}\n\n", p, p, p)
			}
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	l := &ledger{hosts: make(chan string, 100)}
	lim := config.Limits{Connect: 10 * time.Second, JournalLine: 1 << 16, JournalQuiet: time.Minute, JournalRetry: time.Minute,
		JournalRetryMost: time.Minute, Journal: config.Conn{Pending: 1 << 16, Read: time.Minute, Write: time.Minute}}
	cl, err := New(l, serve("old", 2), lim, jsonfields.Object{})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	defer close(stop) // before the servers close, which wait for their clients
	go cl.Run(stop)
	expect := func(c chan string, want string) {
		t.Helper()
		select {
		case got := <-c:
			if got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("no %q", want)
		}
	}
	expect(calls, "old 0")
	expect(l.hosts, "true 0 1")
	expect(l.hosts, "true 0 2")
	cl.SetAddress(serve("new", 3))
	expect(calls, "new 2")
	expect(l.hosts, "true 0 3")
}
