package journal

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"hillknot/internal/config"
	"hillknot/internal/core"
	"hillknot/internal/fields"
)

type ledger struct{ hosts chan string }

func (l *ledger) Post(f func()) { f() }
func (l *ledger) Members(full bool, hs []core.Host) {
	for _, h := range hs {
		l.hosts <- fmt.Sprint(full, " ", h.ID)
	}
}
func (l *ledger) Purge(byGroup bool, object, group uint64, at time.Duration) {
	l.hosts <- fmt.Sprint(byGroup, " ", object, " ", group)
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
	lim := config.Limits{Connect: 10 * time.Second, JournalLine: 1 << 16, JournalQuiet: time.Minute, JournalRetry: time.Millisecond,
		Journal: config.Conn{Pending: 1 << 16, Read: time.Minute, Write: time.Minute}}
	start := fields.Of(fastjson.MustParse(`{"pos":2,"entries":[{"pos":1,"hosts":{"instances":[{"instanceId":"a","lifecycle":"ready"}]}},
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
