package config

import (
	"time"

	"hillknot/internal/jsonfields"
)

const (
	ms = time.Millisecond
	kB = 1 << 10
	mB = 1 << 20
)

// readLimits sets the limits from the resources of the machine, the settings and the defaults. Config.validate sets the limits
// that follow from several keys.
func readLimits(o jsonfields.Object) Limits {
	l := defaultLimits()
	machine := o.Object("limits")
	l.MemoryMB = machine.Count("memory_mb", 192, 32)
	l.Sockets = machine.Count("sockets", 1024, 64)
	allowed := o.Object("settings").Object("allowed")
	l.ConnectTimeout = allowed.Duration("connectTimeoutUs", time.Microsecond, 400*ms)
	l.UpstreamIdleTimeout = allowed.Duration("keepaliveUs", time.Microsecond, 30*time.Second) / 2
	l.partition()
	return l
}

// partition divides the descriptors and the memory of the process among its uses.
func (l *Limits) partition() {
	// Clients hold up to a third of the descriptors. The rest of their share is for connections that are not counted yet
	// or are closing. The listeners, discovery and the poller use the descriptors that are left over.
	l.ClientConns = l.Sockets * 7 / 16
	l.UpstreamConns = l.Sockets * 5 / 16
	l.DNSConns = l.Sockets / 32
	// Objects and bodies that are being received or sent, or wait for the event loop, may take a third of the memory. Apart from
	// them, an open request holds little.
	l.BufferedBytes = l.MemoryMB * mB / 3
	l.OpenRequests = l.MemoryMB * mB / (64 * kB)
}

// defaultLimits returns the limits that depend neither on the machine nor on the settings.
func defaultLimits() Limits {
	l := Limits{
		OpenPerConn:  32,
		MessageBytes: 64 * kB,
		BodyBytes:    48_000,
		BadRequests:  64,
		AnswerMargin: 15 * ms,

		AttemptGrace:      200 * ms,
		ResponseLineBytes: 1 * kB,
		ObjectBytes:       240_000,
		UpstreamSilence:   time.Second,

		OpenQueries:      1024,
		AgentCheckConns:  8,
		AdminConns:       16,
		AdminHeaderBytes: 8 * kB,
		AdminBodyBytes:   8 * kB,

		LoopInterval:        50 * ms,
		LoopSlack:           20 * ms,
		BacklogPollInterval: 1 * ms,
		BacklogWait:         100 * ms,
		OrderReleaseDelay:   250 * ms,

		ShutdownGrace:        700 * ms,
		ShutdownFlush:        100 * ms,
		ShutdownAnswerMargin: 200 * ms,

		DrainCloseAfterResponse: 400 * ms,
		DrainCloseIdle:          600 * ms,
		DrainIdleTime:           100 * ms,
		DrainRejectNew:          2 * time.Second,
		DrainCloseAll:           3300 * ms,

		HandoverConns:         4,
		HandoverStateBytes:    1 * mB,
		HandoverTimeout:       500 * ms,
		HandoverDiscoveryWait: 3500 * ms,
	}
	l.setDiscoveryDefaults()
	l.setConnDefaults()
	return l
}

// setDiscoveryDefaults sets the limits of the watch of discovery.
func (l *Limits) setDiscoveryDefaults() {
	l.DiscoveryLineBytes = 1 * mB
	l.DiscoverySilence = 2 * time.Second
	l.DiscoveryCalls = 6
	l.DiscoveryCallTimeout = 30 * time.Second
	l.DiscoveryReadInterval = 25 * ms
	l.DiscoveryBackoffMin = 25 * ms
	l.DiscoveryBackoffMax = 200 * ms
}

// setConnDefaults sets the limits of connections, by the party at the other end.
func (l *Limits) setConnDefaults() {
	// A client may take 2 s to write a request, and a client that sends none must be disconnected within 3 s. Clients close
	// a connection that was idle for 4 s. The router closes it later, so that its close seldom crosses a request.
	l.Client = ConnLimits{
		MaxPendingBytes: 8 * mB,
		ReceiveBuffer:   32 * kB,
		ReadTimeout:     2500 * ms,
		MessageTimeout:  2500 * ms,
		WriteTimeout:    5 * time.Second,
		IdleTimeout:     5 * time.Second,
		SilentTimeout:   1500 * ms,
		LingerTimeout:   250 * ms,
	}
	// A response arrives in one piece or nearly so: a pause of a second inside a response means that it was cut off.
	l.Upstream = ConnLimits{MaxPendingBytes: 1 * mB, ReceiveBuffer: 64 * kB, ReadTimeout: time.Second, WriteTimeout: 50 * ms}
	l.Discovery = ConnLimits{MaxPendingBytes: 64 * kB, ReceiveBuffer: 64 * kB, ReadTimeout: 2 * time.Second, WriteTimeout: time.Second}
	shortCall := ConnLimits{
		MaxPendingBytes: 64 * kB,
		ReceiveBuffer:   16 * kB,
		ReadTimeout:     time.Second,
		MessageTimeout:  time.Second,
		WriteTimeout:    time.Second,
		IdleTimeout:     time.Second,
		SilentTimeout:   time.Second,
		LingerTimeout:   250 * ms,
	}
	l.Admin, l.AgentCheck, l.DNS = shortCall, shortCall, shortCall
	l.AgentCheck.IdleTimeout, l.AgentCheck.SilentTimeout = 5*time.Second, 2*time.Second
	l.DNS.MaxPendingBytes = 256 * kB
	l.DNS.IdleTimeout, l.DNS.SilentTimeout = 10*time.Second, 2*time.Second
	// The connection between two processes of a router stays open without traffic for as long as both run.
	l.Handover = ConnLimits{
		MaxPendingBytes: 2 * mB,
		ReadTimeout:     time.Second,
		MessageTimeout:  time.Second,
		WriteTimeout:    time.Second,
		IdleTimeout:     1000 * time.Hour,
		SilentTimeout:   2 * time.Second,
	}
}

// shutdownTimeout returns how long a router has to answer its open requests after SIGTERM. The platform kills the router no
// sooner than 0.7 s after the longest deadline, where one above 3 s counts as 3 s. 0.2 s of this time are left for the last
// writes.
func shutdownTimeout(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, 3*time.Second) + 700*ms - 200*ms
}
