package dns

import (
	"fmt"
	"strconv"
	"strings"

	"hillknot/balancer"
	"hillknot/internal/core"
)

// findZone returns the configured name that a name equals or lies below, and the labels of the name before it. subdomain
// is empty if the name is the configured one.
func (s *Server) findZone(name string) (zone, subdomain string, ok bool) {
	for _, zone := range s.cfg.Names {
		if name == zone {
			return zone, "", true
		}
		if subdomain, found := strings.CutSuffix(name, "."+zone); found {
			return zone, subdomain, true
		}
	}
	return "", "", false
}

// labelPrefix starts the label of every endpoint.
const labelPrefix = "m-"

// endpointLabel returns the label of an endpoint below the configured name. It holds a hash of the endpoint's id, as an id
// may contain characters that a label may not.
func endpointLabel(e *core.Endpoint) string {
	return fmt.Sprintf("%s%016x", labelPrefix, uint64(core.EndpointIDOf(e.ID)))
}

// parseLabel returns the id of the endpoint that a label names. An empty label stands for any endpoint, and returns 0.
func parseLabel(label string) (id balancer.EndpointID, ok bool) {
	if label == "" {
		return 0, true
	}
	digits, hasPrefix := strings.CutPrefix(label, labelPrefix)
	n, err := strconv.ParseUint(digits, 16, 64)
	return balancer.EndpointID(n), hasPrefix && err == nil && len(digits) == 16
}
