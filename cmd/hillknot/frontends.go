package main

import (
	"fmt"

	"hillknot/internal/frontend/admin"
	"hillknot/internal/frontend/agentcheck"
	"hillknot/internal/frontend/dns"
	"hillknot/internal/logging"
	"hillknot/internal/netio"
)

// This file holds the front ends of a router process: which the configuration enables, and how they start and fail.

// frontEnd is a server that accepts calls on its own socket.
type frontEnd interface {
	Serve() error
	Close()
}

// namedFrontEnd is a front end with the name that log lines give it.
type namedFrontEnd struct {
	frontEnd
	name string
}

// clientFrontEnd is the name of the front end that serves clients. The router shuts down if it fails.
const clientFrontEnd = "clients"

// frontEndFailure holds what Serve of a front end returned. err is nil if the front end has stopped accepting.
type frontEndFailure struct {
	name string
	err  error
}

// keyFrontEnd is the log attribute key for the name of a front end.
const keyFrontEnd = "front_end"

// listenOtherFrontEnds opens the sockets of the front ends that the configuration enables, except that of clients.
func (r *router) listenOtherFrontEnds(budget *netio.Budget) error {
	limits := r.cfg.Limits
	if r.cfg.DNS.Listen != "" {
		front, err := dns.Listen(r.core, r.cfg.DNS, limits, budget)
		if err != nil {
			return fmt.Errorf("dns front end: %w", err)
		}
		r.otherFrontEnds = append(r.otherFrontEnds, namedFrontEnd{front, "dns"})
	}
	if r.cfg.AgentCheckAddr != "" {
		front, err := agentcheck.Listen(r.cfg.AgentCheckAddr, r.core, limits)
		if err != nil {
			return fmt.Errorf("agent check front end: %w", err)
		}
		r.otherFrontEnds = append(r.otherFrontEnds, namedFrontEnd{front, "agent check"})
	}
	if r.cfg.AdminAddr != "" {
		front, err := admin.Listen(r.cfg.AdminAddr, r.core, limits, budget)
		if err != nil {
			return fmt.Errorf("admin front end: %w", err)
		}
		r.adminAddr = front.Addr()
		r.otherFrontEnds = append(r.otherFrontEnds, namedFrontEnd{front, "admin"})
	}
	return nil
}

// startOtherFrontEnds starts all front ends except that of clients.
func (r *router) startOtherFrontEnds() {
	// The channel has room for one failure of each front end, so that no goroutine blocks when Serve returns.
	r.frontEndFailures = make(chan frontEndFailure, len(r.otherFrontEnds)+1)
	for _, front := range r.otherFrontEnds {
		r.onClose(front.Close)
		go func() {
			defer logging.ReportPanic(log)
			r.frontEndFailures <- frontEndFailure{front.name, front.Serve()}
		}()
	}
}
