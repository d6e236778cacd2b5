package loadtest

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// Purged counts what a router that was stopped asked for after it went on.
type PurgeResult struct {
	Rounds   int // the router was stopped so often, and told of a purge meanwhile
	Requests int // for purged objects, after that
	Stale    int // of these, such that a copy from before the purge would have done

	StaleDetails []string // how each of the old ones came to be
}

// PurgeAfterStop stops a router's process, as one is that gets no processor for a time, in the middle of some requests,
// tells it of a purge between others, and lets it go on.
func PurgeDuringStop(bin string, rounds int) (p PurgeResult, err error) {
	f, err := NewFleet(bin, 1, true)
	if err != nil {
		return p, err
	}
	defer f.Close()
	var mu sync.Mutex
	var object string
	var purged, resumed time.Time
	f.Backend.OnRequest = func(a fakes.Request) {
		mu.Lock()
		defer mu.Unlock()
		if a.Fields["obj"] != object || purged.IsZero() {
			return
		}
		p.Requests++
		newer, err := strconv.Atoi(a.Fields["newer"])
		if err != nil || time.Duration(newer)*time.Millisecond > time.Since(purged)+time.Millisecond {
			p.Stale++
			p.StaleDetails = append(p.StaleDetails, fmt.Sprintf("txn %s asked for %q ms, %v after the purge was told, %v after the process went on", a.ID,
				a.Fields["newer"], time.Since(purged), time.Since(resumed)))
		}
	}
	r := f.Routers[0]
	for end := time.Now().Add(20 * time.Second); f.journal.BytesSent() == 0; time.Sleep(time.Millisecond) { // it hears the journal
		if time.Now().After(end) {
			return p, fmt.Errorf("router %s does not call the journal", r.ListenAddress)
		}
	}
	for p.Rounds = range rounds {
		item := uint64(p.Rounds + 1)
		mu.Lock()
		object, purged = fmt.Sprintf("%016x", item), time.Time{}
		mu.Unlock()
		var conns []net.Conn
		for range 12 {
			nc, err := net.Dial("tcp", r.ListenAddress)
			if err != nil {
				return p, err
			}
			conns = append(conns, nc)
		}
		send := func(from, to int) error {
			for i, nc := range conns[from:to] {
				q := &rpc.Request{Method: "part-page", Txn: item<<8 | uint64(from+i), TimeoutMillis: 3000, Item: item}
				if _, err := nc.Write(rpc.AppendRequest(nil, 1, q)); err != nil {
					return err
				}
			}
			return nil
		}
		time.Sleep(5 * time.Millisecond)
		if err := send(0, 4); err != nil {
			return p, err
		}
		time.Sleep(time.Duration(p.Rounds%8) * 200 * time.Microsecond)
		r.Signal(syscall.SIGSTOP)
		time.Sleep(50 * time.Millisecond)
		if err := send(4, 8); err != nil {
			return p, err
		}
		mu.Lock()
		purged = time.Now()
		mu.Unlock()
		f.Publish(`"expire":{"name":%q,"stamp":%d}`, object, purged.UnixMilli())
		if err := send(8, 12); err != nil {
			return p, err
		}
		time.Sleep(600 * time.Millisecond)
		mu.Lock()
		resumed = time.Now()
		mu.Unlock()
		r.Signal(syscall.SIGCONT)
		time.Sleep(100 * time.Millisecond)
		for _, nc := range conns {
			_ = nc.Close() // read or not, its answers are of no matter
		}
	}
	p.Rounds++
	return p, nil
}
