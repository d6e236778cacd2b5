package dns

import (
	"fmt"
	"strconv"
	"strings"

	"hillknot/balancer"
	"hillknot/internal/core"
)

// findZone finds the configured name that a name is, or lies below. Below is empty where it is the configured one.
func (s *Server) findZone(name string) (zone, below string, ok bool) {
	for _, zone := range s.cfg.Names {
		if name == zone {
			return zone, "", true
		}
		if below, found := strings.CutSuffix(name, "."+zone); found {
			return zone, below, true
		}
	}
	return "", "", false
}

const labelPrefix = "m-"

// label is the name of an endpoint below the configured one: the hash of its id, as ids may hold what a label may not.
func label(e *core.Endpoint) string {
	return fmt.Sprintf("%s%016x", labelPrefix, uint64(core.EndpointIDOf(e.ID)))
}

// parseLabel reads the endpoint that a label names; an empty label names any.
func parseLabel(text string) (only balancer.EndpointID, ok bool) {
	if text == "" {
		return 0, true
	}
	digits, hasPrefix := strings.CutPrefix(text, labelPrefix)
	n, err := strconv.ParseUint(digits, 16, 64)
	return balancer.EndpointID(n), hasPrefix && err == nil && len(digits) == 16
}
