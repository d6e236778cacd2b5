// Command toy plays all that a router talks to, on loopback: a journal service, two page caches, and the
// origin that they fill from. It is for trying things out; it answers at once and keeps all it was asked for.
package main

import (
	"flag"
	"log"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"time"

	"hillknot/internal/testutil/fakes"
)

func main() {
	journal := flag.String("journal", "127.0.0.1:7010", "address of the journal service")
	caches := flag.String("caches", "127.0.0.2:7001,127.0.0.3:7001", "addresses of the page caches")
	work := flag.Duration("work", 0, "how long an order takes")
	flag.Parse()
	for _, addr := range strings.Split(*caches, ",") {
		c := &cache{held: map[string]bool{}, work: *work}
		if _, err := fakes.NewCache(addr, c.answer); err != nil {
			log.Fatal(err)
		}
	}
	if _, err := fakes.NewDiscovery(*journal, 2); err != nil {
		log.Fatal(err)
	}
	log.Print("toy journal and page caches are up")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	<-stop
}

// cache is a page cache that never drops anything.
type cache struct {
	mu   sync.Mutex
	held map[string]bool
	work time.Duration
}

func (c *cache) answer(a fakes.Request) fakes.Reply {
	f := a.Fields
	part := f["obj"] + "/" + f["seg"]
	c.mu.Lock()
	hit := c.held[part] && f["retain"] != "" // what is not kept runs anew each time
	c.held[part] = c.held[part] || f["retain"] != ""
	c.mu.Unlock()
	note := "cached"
	if !hit {
		if note = "fetched_root"; f["fetch"] == "" {
			return fakes.Reply{Status: "LACK"}
		}
	}
	log.Printf("%s %s: %s", f["kind"], part, note)
	after := time.Duration(0)
	if f["kind"] == "new-arrange" {
		after = c.work
	}
	return fakes.Reply{Status: "DONE", Delay: after, Fields: "res=" + note + ",version=" + f["obj"] + ",stamp=" + strconv.FormatInt(time.Now().UnixMilli(), 10),
		Body: []byte("score " + part + "\n")}
}
