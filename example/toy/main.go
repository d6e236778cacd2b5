// Command toy plays all parties that a router talks to, on loopback: the discovery service, two page caches, and the origin
// that they fill from. It serves to try out a router: it answers at once, except for orders if -work is set, and its page
// caches never evict anything.
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

// firstEventPosition is the position of the first event of the discovery service.
const firstEventPosition = 2

func main() {
	discoveryAddress := flag.String("journal", "127.0.0.1:7010", "address of the discovery service")
	cacheAddresses := flag.String("caches", "127.0.0.2:7001,127.0.0.3:7001", "addresses of the page caches")
	orderDuration := flag.Duration("work", 0, "time that an order takes")
	flag.Parse()
	for _, address := range strings.Split(*cacheAddresses, ",") {
		c := &pageCache{cached: map[string]bool{}, orderDelay: *orderDuration}
		if _, err := fakes.NewCache(address, c.answer); err != nil {
			log.Fatal(err)
		}
	}
	if _, err := fakes.NewDiscovery(*discoveryAddress, firstEventPosition); err != nil {
		log.Fatal(err)
	}
	log.Print("toy journal and page caches are up")
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt)
	<-interrupted
}

// pageCache is a fake page cache that never evicts anything.
type pageCache struct {
	orderDelay time.Duration // time before an order is answered

	mu     sync.Mutex
	cached map[string]bool // whether a part is cached, by OBJECT/PART
}

// answer answers a request from the cache, or else as if it had fetched the part from the source that the request names. It
// answers LACK if the part is not cached and the request names no source.
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
		reply.Delay = c.orderDelay
	}
	return reply
}

// lookup reports whether a part is cached, and caches it if it is cacheable. A part that is not cacheable never counts as
// cached.
func (c *pageCache) lookup(part string, cacheable bool) (hit bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit = c.cached[part] && cacheable
	c.cached[part] = c.cached[part] || cacheable
	return hit
}
