package config

import "time"

// Limits holds all sizes, counts and times that bound a router. They are set once, when the configuration is read, and
// passed on to the packages that need them. Sizes are in bytes unless the name or the comment says otherwise.
type Limits struct {
	// Resources of the machine.
	MemoryMB int // memory of the process, in MB
	Sockets  int // file descriptors of the process

	// Clients.
	ClientConns     int
	OpenPerConn     int           // open requests on one connection
	OpenRequests    int           // open requests on all connections
	MessageBytes    int           // of a client's message
	BodyBytes       int           // of a request's body
	BadRequests     int           // malformed requests on a connection; one more closes it
	BufferedBytes   int           // of messages that are incomplete or wait for a slow receiver, on all connections together
	LongestDeadline time.Duration // the longest deadline of all classes
	AnswerMargin    time.Duration // the final answer is sent this long before the client gives up

	// Attempts and connections to endpoints.

	// AttemptGrace is added to the timeout that an endpoint is given, so that the router's cancellation ends the attempt
	// first. The timeout never exceeds the time for which the client waits.
	AttemptGrace        time.Duration
	ConnsPerEndpoint    int // from one router
	UpstreamConns       int // to all endpoints
	ResponseLineBytes   int // of the first line of a response
	ObjectBytes         int // of one object
	ConnectTimeout      time.Duration
	UpstreamIdleTimeout time.Duration // a connection that is unused for longer is closed
	UpstreamSilence     time.Duration // a connection that has not delivered an awaited response for this long gets no new request

	// Discovery.
	DiscoveryLineBytes    int           // of one line of the event stream
	DiscoverySilence      time.Duration // a stream that receives nothing for this long is taken for broken
	DiscoveryCalls        int           // calls that are open while none is answered; at least 2
	DiscoveryCallTimeout  time.Duration // a call that is not answered for this long is given up
	DiscoveryReadInterval time.Duration // minimum between two reads of a long burst
	DiscoveryBackoffMin   time.Duration // pause before the next connection, after one that received something
	DiscoveryBackoffMax   time.Duration // the same pause after many connections that received nothing

	// Front ends that the platform does not use.
	OpenQueries      int // DNS queries without an answer
	DNSConns         int // of resolvers over TCP
	AgentCheckConns  int
	AdminConns       int
	AdminHeaderBytes int
	AdminBodyBytes   int

	// The core's loop.
	//
	// LoopInterval is the maximum between the starts of two iterations. A stop of the process that is too short to be noticed
	// makes the timeout that an endpoint is given too long. Such a stop must stay well under 150 ms, the most by which that
	// timeout may be too long.
	LoopInterval        time.Duration
	LoopSlack           time.Duration // an iteration that is late by more than this shows that the process was stopped
	BacklogPollInterval time.Duration // after a stop, the loop checks at this interval whether all sockets are read
	BacklogWait         time.Duration // after a stop, the loop waits no longer than this for all sockets to be read
	OrderReleaseDelay   time.Duration // a rejected order waits no longer than this until no other router can run it

	// Shutdown. Times are measured from SIGTERM unless the comment says otherwise.
	ShutdownGrace        time.Duration // new requests are accepted during this time
	ShutdownTimeout      time.Duration // all requests are answered by then
	ShutdownFlush        time.Duration // after ShutdownTimeout, for writing the last answers and closing the connections
	ShutdownAnswerMargin time.Duration // open requests are answered this long before ShutdownTimeout

	// Draining of clients. Times are measured from the start of the drain, except for DrainIdleTime.
	DrainCloseAfterResponse time.Duration // connections then close after a response; load balancers have stopped sending
	DrainCloseIdle          time.Duration // connections that are idle for DrainIdleTime then close
	DrainIdleTime           time.Duration
	DrainRejectNew          time.Duration // new requests are then rejected
	DrainCloseAll           time.Duration // connections without an open request then close

	// Hot restart.
	HandoverConns         int           // connections of processes that may be successors
	HandoverStateBytes    int           // of the handed-over state
	HandoverTimeout       time.Duration // to wait for a reply of the other process
	HandoverDiscoveryWait time.Duration // to wait until discovery has delivered the events that the predecessor has seen

	// Limits of connections, by the party at the other end.
	Client, Upstream, Discovery, DNS, AgentCheck, Admin, Handover ConnLimits
}

// ConnLimits bounds the reads and writes of one connection.
type ConnLimits struct {
	MaxPendingBytes int           // bytes that may wait to be written
	ReceiveBuffer   int           // bytes that the system buffers of what was not read yet; 0: its default
	ReadTimeout     time.Duration // maximum wait for the next bytes of an incomplete message
	MessageTimeout  time.Duration // from the first byte of a message to its last; 0: unbounded while bytes arrive
	WriteTimeout    time.Duration // maximum for which a write may block
	IdleTimeout     time.Duration // an accepted connection is closed if nothing was read or written for this long
	SilentTimeout   time.Duration // the same for an accepted connection on which no complete message has arrived yet
	LingerTimeout   time.Duration // input is read and discarded for this long after the router has shut its side; 0: not at all
}

// Shared returns the limits of one of two processes of a router, which together may hold as much as a single process. The
// newer process gets most of the client connections, because it accepts the new ones.
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
