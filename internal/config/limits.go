package config

import "time"

// Limits are all sizes, counts and times that bound the router. They are filled once, at the start, and
// handed down.
type Limits struct {
	MemoryMB int // of the process
	Sockets  int // descriptors of the process

	ClientConns                      int           // clients' connections
	OpenPerConn                      int           // open requests on one of them
	OpenRequests                     int           // open requests in all
	MessageBytes                     int           // bytes of a client's message
	BodyBytes                        int           // bytes of its body
	BadRequests                      int           // calls that can't be used, until their connection is closed
	LongestDeadline                  time.Duration // a client's wait, at most
	BufferedBytes                    int           // bytes of messages that are not whole yet or wait for a slow peer, all together
	AnswerMargin                     time.Duration
	AttemptGrace                     time.Duration // a page cache is told a wait longer by this, so that our own word ends an attempt, but never longer than the client waits
	FinishMargin                     time.Duration // a router that ends has answered what is open so long before its time is over
	ConnsPerEndpoint                 int           // connections to one page cache
	UpstreamConns                    int           // connections to all of them
	ResponseLineBytes                int           // bytes of the line that starts a page cache's answer
	ObjectBytes                      int           // bytes of an object
	ConnectTimeout                   time.Duration
	UpstreamIdleTimeout              time.Duration // after this an unused connection to a page cache is closed
	UpstreamSilence                  time.Duration // one that owes answers and brings none for so long takes nothing new
	DiscoveryLineBytes               int           // bytes of a line of the journal
	DiscoverySilence                 time.Duration // a journal that says nothing for so long is dead
	DiscoveryReadInterval            time.Duration // between two reads, where much comes
	DiscoveryBackoffMin              time.Duration // between two calls, at first
	DiscoveryBackoffMax              time.Duration // and where nothing comes of them
	OpenQueries                      int           // DNS queries open at a time
	DNSConns                         int           // connections of resolvers over TCP
	AgentCheckConns                  int           // connections of agent checks
	AdminConns                       int           // connections of operators
	AdminHeaderBytes, AdminBodyBytes int           // bytes of the head of an operator's call, and of its body
	LoopInterval                     time.Duration // the loop turns at least this often
	LoopSlack                        time.Duration // a turn that comes later than this after a beat was due says that the process stood still
	BacklogPollInterval              time.Duration // it then looks this often whether all sockets are read
	BacklogWait                      time.Duration // and waits no longer than this
	OrderReleaseDelay                time.Duration // how long a refused order waits until no other router can run it
	ShutdownGrace                    time.Duration // how long a router that is to end still takes requests
	ShutdownTimeout                  time.Duration // and how long it has in all to answer what is open
	ShutdownFlush                    time.Duration // after that, to write the last answers and end its connections

	// A router that leaves its clients does so in stages, each so long after the start.
	DrainCloseAfterResponse time.Duration // connections close behind an answer; the front has stopped sending by then
	DrainCloseIdle          time.Duration // those that idle for LeavePause close
	DrainIdleTime           time.Duration
	DrainRejectNew          time.Duration // nothing new is taken
	DrainCloseAll           time.Duration // whatever owes nothing closes

	HandoverConns         int           // processes that may call as successors
	HandoverStateBytes    int           // bytes of what is handed over
	HandoverTimeout       time.Duration // for an answer of the other process
	HandoverDiscoveryWait time.Duration // until the journal has told what the predecessor knows

	Client, Upstream, Discovery, DNS, AgentCheck, Admin, Handover ConnLimits
}

// ConnLimits bounds the reads and writes of one connection.
type ConnLimits struct {
	MaxPendingBytes int           // bytes that may wait to be written
	ReadTimeout     time.Duration // how long the next bytes of a message may take
	MessageTimeout  time.Duration // and all of it from its first byte; 0: as long as bytes come
	WriteTimeout    time.Duration // how long a write may block
	IdleTimeout     time.Duration // of one that was accepted: closed when nothing has moved for so long
	SilentTimeout   time.Duration // and when nothing whole has come at all
	LingerTimeout   time.Duration // how long what comes is still read, and thrown away, once our side has ended; 0: not at all
}

// Shared returns the limits while two processes are one router: together they may hold what one may. Most of the
// clients' places go to the newer one, which takes the new connections.
func (l Limits) Shared(newer bool) Limits {
	places := l.ClientConns / 4
	if newer {
		places = l.ClientConns - places
	}
	l.MemoryMB, l.BufferedBytes, l.ClientConns, l.UpstreamConns = l.MemoryMB/2, l.BufferedBytes/2, places, l.UpstreamConns/2
	return l
}
