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

// readLimits sets the limits from what the machine is given, from the settings and from the defaults. What follows from several
// keys is set by validate.
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

// partition divides the descriptors and the memory of the machine.
func (l *Limits) partition() {
	// Clients hold up to a third of the descriptors. The rest of their part is for connections that are not yet known or
	// on their way out. The listeners, discovery and the poller have what is left of all.
	l.ClientConns = l.Sockets * 7 / 16
	l.UpstreamConns = l.Sockets * 5 / 16
	l.DNSConns = l.Sockets / 32
	// Objects on their way in and out may take a third of the memory. What an open request holds beside them is small.
	l.BufferedBytes = l.MemoryMB * mB / 3
	l.OpenRequests = l.MemoryMB * mB / (64 * kB)
}

// defaultLimits are the limits that neither the machine nor the settings decide.
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

		DiscoveryLineBytes:    1 * mB,
		DiscoverySilence:      2 * time.Second,
		DiscoveryReadInterval: 25 * ms,
		DiscoveryBackoffMin:   25 * ms,
		DiscoveryBackoffMax:   200 * ms,

		OpenQueries:      1024,
		AgentCheckConns:  8,
		AdminConns:       16,
		AdminHeaderBytes: 8 * kB,
		AdminBodyBytes:   8 * kB,

		// A stop that is not noticed must stay well under the 150 ms by which an endpoint may be told too long a time-out.
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
		HandoverDiscoveryWait: 1500 * ms,
	}
	l.setConnDefaults()
	return l
}

// setConnDefaults sets the limits of connections, by the party at the other end.
func (l *Limits) setConnDefaults() {
	// A request may take 2 s to be written, and a client that sends none is owed an end within 3 s. Clients close a
	// connection that was idle for 4 s. The router does so later, so that a request seldom crosses its close.
	l.Client = ConnLimits{
		MaxPendingBytes: 8 * mB,
		ReadTimeout:     2500 * ms,
		MessageTimeout:  2500 * ms,
		WriteTimeout:    5 * time.Second,
		IdleTimeout:     5 * time.Second,
		SilentTimeout:   1500 * ms,
		LingerTimeout:   250 * ms,
	}
	// Responses come in one piece, or nearly: a pause of a second inside one says that it has broken off.
	l.Upstream = ConnLimits{MaxPendingBytes: 1 * mB, ReadTimeout: time.Second, WriteTimeout: 50 * ms}
	l.Discovery = ConnLimits{MaxPendingBytes: 64 * kB, ReadTimeout: 2 * time.Second, WriteTimeout: time.Second}
	shortCall := ConnLimits{
		MaxPendingBytes: 64 * kB,
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
	// The connection between two processes of a router stays open, silent, for as long as both run.
	l.Handover = ConnLimits{
		MaxPendingBytes: 2 * mB,
		ReadTimeout:     time.Second,
		MessageTimeout:  time.Second,
		WriteTimeout:    time.Second,
		IdleTimeout:     1000 * time.Hour,
		SilentTimeout:   2 * time.Second,
	}
}

// shutdownTimeout is how long a router has to answer its open requests after SIGTERM. The platform kills it no sooner
// than 0.7 s after the longest deadline, taken as 3 s where it is longer; 0.2 s of that are left for the last writes.
func shutdownTimeout(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, 3*time.Second) + 700*ms - 200*ms
}
