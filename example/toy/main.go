// Command toy plays all that a router talks to, on loopback: the discovery service, two page caches, and the origin that they
// fill from. It is for trying a router out: it answers at once, and its page caches never evict anything.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"strings"
	"sync"
	"time"

	"hillknot/internal/testutil/fakes"
)

// firstEvent is the position of the first event of the discovery service.
const firstEvent = 2

func main() {
	journal := flag.String("journal", "127.0.0.1:7010", "address of the journal service")
	caches := flag.String("caches", "127.0.0.2:7001,127.0.0.3:7001", "addresses of the page caches")
	work := flag.Duration("work", 0, "how long an order takes")
	flag.Parse()
	for _, address := range strings.Split(*caches, ",") {
		c := &pageCache{cached: map[string]bool{}, orderTime: *work}
		if _, err := fakes.NewCache(address, c.answer); err != nil {
			log.Fatal(err)
		}
	}
	if _, err := fakes.NewDiscovery(*journal, firstEvent); err != nil {
		log.Fatal(err)
	}
	log.Print("toy journal and page caches are up")
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt)
	<-interrupted
}

// pageCache is a page cache that never evicts anything.
type pageCache struct {
	orderTime time.Duration

	mu     sync.Mutex
	cached map[string]bool // by object and part
}

// answer answers a request from the cache, or as if it had been fetched from the source that the request names.
func (c *pageCache) answer(request fakes.Request) fakes.Reply {
	fields := request.Fields
	part := fields["obj"] + "/" + fields["seg"]
	result := "cached"
	if !c.lookup(part, fields["retain"] != "") {
		if fields["fetch"] == "" {
			return fakes.Reply{Status: "LACK"}
		}
		result = "fetched_root"
	}
	log.Printf("%s %s: %s", fields["kind"], part, result)
	reply := fakes.Reply{
		Status: "DONE",
		Fields: fmt.Sprintf("res=%s,version=%s,stamp=%d", result, fields["obj"], time.Now().UnixMilli()),
		Body:   []byte("score " + part + "\n"),
	}
	if fields["kind"] == "new-arrange" {
		reply.Delay = c.orderTime
	}
	return reply
}

// lookup reports whether a part is cached, and caches it if it may be. What may not be cached is always fetched.
func (c *pageCache) lookup(part string, cacheable bool) (hit bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit = c.cached[part] && cacheable
	c.cached[part] = c.cached[part] || cacheable
	return hit
}
