package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// The times of the case, from the pages and the settings.
const (
	journalDelay = 2500 * time.Millisecond // until the new discovery service answers a call
	purgeDelay   = 500 * time.Millisecond  // of the purge, from SIGHUP on
	toldAfter    = 4 * time.Second         // from SIGHUP on, what discovery has to tell counts as told
	noticeTime   = 1050 * time.Millisecond // noticeTimeUs, and 50 ms
	dropTime     = 6 * time.Second         // purgeTakesUs: page caches have dropped older copies by themselves
)

// journal is a discovery service that takes a while to answer each call. From then on it is as quick as any.
type journal struct {
	delay time.Duration

	mu     sync.Mutex
	events []string // from position 2 on
}

func (j *journal) add(event string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, event)
}

// since returns the text of the events after a position, and the latest position.
func (j *journal) since(position int) (string, int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var text strings.Builder
	for ; position-1 < len(j.events); position++ {
		fmt.Fprintf(&text, "id: %d\ndata: {\"pos\":%d,%s}\n\n", position+1, position+1, j.events[position-1])
	}
	return text.String(), position
}

// ServeHTTP answers a call: events as they come, and a comment each second.
func (j *journal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(j.delay):
	case <-r.Context().Done():
		return
	}
	position, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for commentAt := time.Now(); r.Context().Err() == nil; time.Sleep(10 * time.Millisecond) {
		var text string
		text, position = j.since(max(position, 1))
		if now := time.Now(); !now.Before(commentAt) {
			text += ": here\n\n"
			commentAt = now.Add(time.Second)
		}
		if _, err := w.Write([]byte(text)); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// cachedCopy is a page cache with a copy of one object. It fills anew if the copy is older than the request allows, or once it has dropped the
// copy by itself after a purge.
type cachedCopy struct {
	stage   *stage
	mu      sync.Mutex
	stamp   time.Time
	dropAt  time.Time // zero: never
	purgeAt time.Time
}

func (c *cachedCopy) answer(request fakes.Request) fakes.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	newest, err := strconv.Atoi(request.Fields["newer"])
	tooOld := err == nil && newest > 0 && now.Sub(c.stamp) > time.Duration(newest)*time.Millisecond
	dropped := !c.dropAt.IsZero() && now.After(c.dropAt) && c.stamp.Before(c.purgeAt)
	result := "cached"
	if tooOld || dropped || c.stamp.IsZero() {
		c.stamp, result = now, "fetched_root"
	}
	c.stage.note("page cache runs %s, newer=%q: %s, copy of %d", request.ID, request.Fields["newer"], result, c.stamp.UnixMilli())
	return fakes.Reply{Status: "DONE", Body: []byte(strconv.FormatInt(c.stamp.UnixMilli(), 10)),
		Fields: fmt.Sprintf("res=%s,version=a,stamp=%d", result, c.stamp.UnixMilli())}
}

// purge notes a purge at the origin.
func (c *cachedCopy) purge(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.purgeAt, c.dropAt = at, at.Add(dropTime)
}

// slowDiscovery moves discovery by SIGHUP to a service that is slow to answer. A purge that it holds must be heeded.
func slowDiscovery(s *stage) error {
	t, err := newSite(s, nil)
	if err != nil {
		return err
	}
	held := cachedCopy{stage: s}
	t.script = held.answer
	slow := &journal{delay: journalDelay}
	if s.calm() {
		slow.delay = 0
	}
	address, err := freeAddress()
	if err != nil {
		return err
	}
	server := &http.Server{Addr: address, Handler: slow}
	go func() { _ = server.ListenAndServe() }()
	defer server.Close()

	listen, err := freeAddress()
	if err != nil {
		return err
	}
	router, configPath, err := t.startPlain(listen)
	if err != nil {
		return err
	}
	get := rpc.Request{Method: "part-page", Txn: 1, TimeoutMillis: 2000, Item: readItem, Batch: 3}
	if err := waitFor("a page is served", 15*time.Second, func() bool { return askOnce(listen, get).kind == "served" }); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)

	if err := t.writePlain(configPath, listen, address); err != nil {
		return err
	}
	router.signal(syscall.SIGHUP)
	hup := time.Now()
	s.note("operator: SIGHUP; discovery is at a service that answers a call after %v", slow.delay)
	time.AfterFunc(1500*time.Millisecond, t.discovery.Close)
	time.Sleep(purgeDelay)
	purged := time.Now()
	held.purge(purged)
	slow.add(fmt.Sprintf(`"expire":{"name":"%016x","stamp":%d}`, readItem, purged.UnixMilli()))
	s.note("discovery: purge of %016x, stamp %d", readItem, purged.UnixMilli())
	return judgeCopies(s, listen, hup, purged)
}

// judgeCopies asks for the purged object until page caches have dropped it by themselves, and counts the answers from copies older than
// the purge, to requests that were sent after the purge must be heeded.
func judgeCopies(s *stage, listen string, hup, purged time.Time) error {
	c, err := dial(listen)
	if err != nil {
		return err
	}
	defer c.close()
	served, old := 0, 0
	for txn := uint64(2); time.Now().Before(purged.Add(dropTime + time.Second)); txn++ {
		sent := time.Now()
		a := c.ask(rpc.Request{Method: "part-page", Txn: txn, TimeoutMillis: 2000, Item: readItem, Batch: 3})
		stamp, err := strconv.ParseInt(a.body, 10, 64)
		if a.kind != "served" || err != nil {
			return fmt.Errorf("a page is not served: %s", a.kind)
		}
		older, binds := stamp < purged.UnixMilli(), sent.After(hup.Add(toldAfter+noticeTime))
		if binds {
			served++
		}
		if older && binds {
			old++
		}
		s.note("client: page sent %.3f s after SIGHUP: copy of %d, older than the purge: %v, must be newer: %v",
			sent.Sub(hup).Seconds(), stamp, older, binds)
		time.Sleep(50 * time.Millisecond)
	}
	s.note("%d of %d answers are from copies older than the purge", old, served)
	if old > 0 {
		return fmt.Errorf("%w: %d answers from copies older than the purge", errBroken, old)
	}
	return nil
}

// startPlain starts a router as the platform does, by the deploy file's line `run`.
func (t *site) startPlain(listen string) (router *process, configPath string, err error) {
	configPath = filepath.Join(t.stage.dir, "config.json")
	if err := t.writePlain(configPath, listen, t.discovery.Addr()); err != nil {
		return nil, "", err
	}
	env := []string{"RELAY_NAME=n1", "RELAY_LISTEN=" + listen, "RELAY_CONFIG=" + configPath}
	router, err = t.stage.start("n1", "/bin/sh", []string{"-c", "exec bin/hillknot"}, env, nil)
	return router, configPath, err
}

// writePlain writes the configuration of a router without a cluster.
func (t *site) writePlain(path, listen, journalAddress string) error {
	unfinished := path + ".new"
	if err := os.WriteFile(unfinished, []byte(t.config("n1", listen, journalAddress)), 0o600); err != nil {
		return err
	}
	return os.Rename(unfinished, path)
}
