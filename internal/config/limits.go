package config

import "time"

// Limits are all sizes, counts and times that bound a router. They are set once, at the start, and handed down. Sizes are
// in bytes where the name or the comment does not say otherwise.
type Limits struct {
	// The machine.
	MemoryMB int // of the process
	Sockets  int // descriptors of the process

	// Clients.
	ClientConns     int
	OpenPerConn     int           // open requests on one connection
	OpenRequests    int           // open requests in all
	MessageBytes    int           // of a client's message
	BodyBytes       int           // of a request's body
	BadRequests     int           // requests that can't be used, until their connection is closed
	BufferedBytes   int           // of messages that are incomplete or wait for a slow peer, over all connections
	LongestDeadline time.Duration // of all classes
	AnswerMargin    time.Duration // a final answer is sent so long before the client gives up

	// Attempts and connections to endpoints.
	AttemptGrace        time.Duration // an endpoint is told a longer time-out by this, so that a cancellation ends the attempt; never longer than the client waits
	ConnsPerEndpoint    int
	UpstreamConns       int // to all endpoints
	ResponseLineBytes   int // of the first line of a response
	ObjectBytes         int // of an object
	ConnectTimeout      time.Duration
	UpstreamIdleTimeout time.Duration // an unused connection is closed after it
	UpstreamSilence     time.Duration // a connection that owes responses and brings none for so long gets no new request

	// Discovery.
	DiscoveryLineBytes    int           // of one line
	DiscoverySilence      time.Duration // a watch that brings nothing for so long is broken
	DiscoveryReadInterval time.Duration // between two reads, where much is to be read
	DiscoveryBackoffMin   time.Duration // between two connects, at first
	DiscoveryBackoffMax   time.Duration // between two connects, after many have failed

	// Front ends that are off on the platform.
	OpenQueries      int // DNS queries without an answer
	DNSConns         int // of resolvers over TCP
	AgentCheckConns  int
	AdminConns       int
	AdminHeaderBytes int
	AdminBodyBytes   int

	// The core's loop.
	LoopInterval        time.Duration // an iteration begins at least so often
	LoopSlack           time.Duration // one that is later than the interval by more shows that the process was stopped
	BacklogPollInterval time.Duration // after a stop, how often the loop looks whether all sockets are read
	BacklogWait         time.Duration // and how long it waits for that, at most
	OrderReleaseDelay   time.Duration // how long a rejected order waits until no other router can run it

	// Shutdown, in spans from SIGTERM on.
	ShutdownGrace        time.Duration // requests are still taken
	ShutdownTimeout      time.Duration // until all is answered
	ShutdownFlush        time.Duration // after ShutdownTimeout, to write the last answers and close the connections
	ShutdownAnswerMargin time.Duration // open requests are answered so long before ShutdownTimeout

	// Draining of clients, in spans from its start on.
	DrainCloseAfterResponse time.Duration // connections close behind a response; load balancers have stopped sending by then
	DrainCloseIdle          time.Duration // connections that idle for DrainIdleTime close
	DrainIdleTime           time.Duration
	DrainRejectNew          time.Duration // new requests are rejected
	DrainCloseAll           time.Duration // connections without an open request close

	// Hot restart.
	HandoverConns         int           // processes that may call as successors
	HandoverStateBytes    int           // of the state that is handed over
	HandoverTimeout       time.Duration // for a reply of the other process
	HandoverDiscoveryWait time.Duration // until discovery has brought the events that the predecessor has seen

	// Connections, by the party at the other end.
	Client, Upstream, Discovery, DNS, AgentCheck, Admin, Handover ConnLimits
}

// ConnLimits bounds the reads and writes of one connection.
type ConnLimits struct {
	MaxPendingBytes int           // that may wait to be written
	ReadTimeout     time.Duration // until the next bytes of a message
	MessageTimeout  time.Duration // from the first byte of a message to its last; 0: as long as bytes come
	WriteTimeout    time.Duration // how long a write may block
	IdleTimeout     time.Duration // of an accepted connection: closed when nothing was read or written for so long
	SilentTimeout   time.Duration // of an accepted connection: closed when no complete message has come for so long
	LingerTimeout   time.Duration // how long input is still read, and discarded, after our side was shut; 0: not at all
}

// Shared returns the limits of one of two processes of a router: together they may hold what one may. Most of the
// clients' connections go to the newer process, which accepts the new ones.
func (l Limits) Shared(newer bool) Limits {
	clientConns := l.ClientConns / 4
	if newer {
		clientConns = l.ClientConns - clientConns
	}
	l.ClientConns = clientConns
	l.MemoryMB /= 2
	l.BufferedBytes /= 2
	l.UpstreamConns /= 2
	return l
}
