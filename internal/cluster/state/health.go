package state

import (
	"maps"
	"slices"
	"time"
)

const (
	// unhealthyThreshold is the number of consecutive failures that a router must have observed itself before it sends
	// evidence.
	unhealthyThreshold = 3

	// forgetFactor is the number of ejection durations without evidence after which an endpoint is forgotten.
	forgetFactor = 4
)

// endpointHealth holds what is known of one endpoint: what this router has observed, the evidence of all routers, and
// the resulting ejection.
type endpointHealth struct {
	failures     int                 // consecutive, as this router observed last
	lastResponse time.Duration       // time of the latest response that this router observed
	evidence     map[string]evidence // the latest of each router, by router name
	lastEvidence time.Duration       // when evidence, healthy or unhealthy, was last recorded
	ejectedUntil time.Duration       // 0: not ejected
	ejections    uint64              // how often it was ejected so far
}

// evidence is the latest evidence of one router. The process and the sequence number show which of two is newer.
type evidence struct {
	process, sequence uint64
	validUntil        time.Duration // 0: it is not, or no longer, evidence that the endpoint is unhealthy
}

func (e evidence) newerThan(other evidence) bool {
	return e.process > other.process || e.process == other.process && e.sequence > other.sequence
}

func newEndpointHealth() *endpointHealth { return &endpointHealth{evidence: map[string]evidence{}} }

// ObserveHealth records what this router itself has observed of an endpoint: the number of consecutive failures, and
// the time of the latest response. It sends evidence only of what is new since the last call.
func (s *State) ObserveHealth(now time.Duration, endpoint string, failures int, lastResponse time.Duration) {
	h := s.endpointsByID[endpoint]
	if h == nil {
		if failures < unhealthyThreshold || len(s.endpointsByID) >= maxTrackedEndpoints || !validName(endpoint) {
			return
		}
		h = newEndpointHealth()
		s.endpointsByID[endpoint] = h
	}
	failing := failures >= unhealthyThreshold && failures > h.failures
	recovered := lastResponse > h.lastResponse && failures == 0
	h.failures, h.lastResponse = failures, max(h.lastResponse, lastResponse)
	suspected := now < h.ejectedUntil || now < h.evidence[s.settings.Self].validUntil
	switch {
	case failing:
		own := s.broadcastEvidence(endpoint, true)
		own.validUntil = now + s.settings.EjectionDuration
		s.recordUnhealthy(now, h, s.settings.Self, own)
	case recovered && suspected:
		own := s.broadcastEvidence(endpoint, false)
		h.recordHealthy(now, s.settings.Self, own)
	}
}

// broadcastEvidence sends evidence of this router to all routers, and returns it without validUntil.
func (s *State) broadcastEvidence(endpoint string, unhealthy bool) evidence {
	s.sequence++
	sent := healthEvidence{
		reporter:  s.self(),
		endpoint:  endpoint,
		sequence:  s.sequence,
		unhealthy: unhealthy,
		validFor:  s.settings.EjectionDuration,
	}
	s.broadcast(evidenceReplacePrefix+endpoint, sent.message())
	return evidence{process: s.settings.Process, sequence: s.sequence}
}

func (s *State) receiveHealthEvidence(now time.Duration, received healthEvidence) {
	h := s.endpointsByID[received.endpoint]
	if h == nil {
		if len(s.endpointsByID) >= maxTrackedEndpoints {
			return
		}
		h = newEndpointHealth()
		s.endpointsByID[received.endpoint] = h
	}
	if s.fromThisProcess(received.reporter) { // this process's own evidence, through another router
		return
	}
	reporter := received.reporter.router
	latest := evidence{process: received.reporter.number, sequence: received.sequence}
	previous, exists := h.evidence[reporter]
	if exists && !latest.newerThan(previous) {
		return
	}
	if !exists && len(h.evidence) >= s.settings.ClusterSize+maxExtraRouters {
		return
	}
	if !received.unhealthy {
		h.recordHealthy(now, reporter, latest)
		return
	}
	latest.validUntil = now + min(received.validFor, s.settings.EjectionDuration)
	s.recordUnhealthy(now, h, reporter, latest)
}

// recordHealthy records a good response that a router got. It ends the ejection and invalidates all earlier evidence.
func (h *endpointHealth) recordHealthy(now time.Duration, reporter string, latest evidence) {
	h.lastEvidence = now
	h.ejectedUntil = 0
	for router, e := range h.evidence {
		e.validUntil = 0
		h.evidence[router] = e
	}
	h.evidence[reporter] = latest
}

// recordUnhealthy records evidence of failures. A quorum of routers with valid evidence ejects the endpoint. While it is
// ejected, any new evidence prolongs the ejection: only the router that probes the endpoint can have some, as the
// others avoid it.
func (s *State) recordUnhealthy(now time.Duration, h *endpointHealth, reporter string, latest evidence) {
	h.lastEvidence = now
	h.evidence[reporter] = latest
	switch {
	case now < h.ejectedUntil:
		h.ejectedUntil = max(h.ejectedUntil, latest.validUntil)
	case h.countValidEvidence(now) >= s.quorum():
		h.ejectedUntil = latest.validUntil
		h.ejections++
	}
}

// countValidEvidence returns how many routers have valid evidence.
func (h *endpointHealth) countValidEvidence(now time.Duration) int {
	n := 0
	for _, e := range h.evidence {
		if now < e.validUntil {
			n++
		}
	}
	return n
}

// quorum returns how many routers must have valid evidence to eject an endpoint. It is at least two, as a single router
// may itself be cut off.
func (s *State) quorum() int {
	if s.settings.Quorum > 0 {
		return s.settings.Quorum
	}
	alive := len(s.peers) + 1
	return max(2, alive/2+1)
}

// Ejected reports whether the routers agree that an endpoint is unhealthy.
func (s *State) Ejected(now time.Duration, endpoint string) bool {
	h := s.endpointsByID[endpoint]
	return h != nil && now < h.ejectedUntil
}

// ProbedByPeer reports whether this router should avoid an endpoint because it is ejected and another router probes it
// for all.
func (s *State) ProbedByPeer(now time.Duration, endpoint string) bool {
	if !s.Ejected(now, endpoint) {
		return false
	}
	return len(s.peers) > 0 && s.prober(endpoint) != s.settings.Self
}

// Ejections returns the endpoints that are ejected now, in the order of their ids, and how often the endpoints that are
// still remembered were ejected.
func (s *State) Ejections(now time.Duration) (ejected []string, total uint64) {
	for _, endpoint := range slices.Sorted(maps.Keys(s.endpointsByID)) {
		total += s.endpointsByID[endpoint].ejections
		if s.Ejected(now, endpoint) {
			ejected = append(ejected, endpoint)
		}
	}
	return ejected, total
}

// expireHealth forgets endpoints that are not ejected, do not fail for this router and had no evidence for forgetFactor
// ejection durations. Earlier evidence cannot return by then: it is valid for at most EjectionDuration, whichever
// routers it passes through.
func (s *State) expireHealth(now time.Duration) {
	maps.DeleteFunc(s.endpointsByID, func(_ string, h *endpointHealth) bool {
		forgetAt := h.lastEvidence + forgetFactor*s.settings.EjectionDuration
		return now >= h.ejectedUntil && now > forgetAt && h.failures < unhealthyThreshold
	})
}

// evidenceMessages returns messages with all valid evidence.
func (s *State) evidenceMessages(now time.Duration) []Message {
	var all []Message
	for endpoint, h := range s.endpointsByID {
		for router, e := range h.evidence {
			if now >= e.validUntil {
				continue
			}
			all = append(all, healthEvidence{
				reporter:  process{router, e.process},
				endpoint:  endpoint,
				sequence:  e.sequence,
				unhealthy: true,
				validFor:  e.validUntil - now,
			}.message())
		}
	}
	return all
}
