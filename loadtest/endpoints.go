package loadtest

import (
	"encoding/json"
	"fmt"
)

// endpoint is an endpoint as the discovery service lists it.
type endpoint struct {
	ID              string `json:"instanceId"`
	Address         string `json:"hostPort,omitempty"`
	Zone            string `json:"zone,omitempty"`
	MachineType     string `json:"machineType,omitempty"`
	State           string `json:"lifecycle"`
	Weight          int    `json:"weight,omitempty"`
	Cell            int    `json:"cell,omitempty"`
	StartedAtMillis int64  `json:"startedAtMs"` // Unix time; 0: started before the list was sent
}

const (
	zoneEdge      = "edge"
	zoneHub       = "hub"
	machineSmall  = "small"
	machineOrigin = "origin"

	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// endpointName returns the name of an endpoint by its number in the fleet.
func endpointName(number int) string { return fmt.Sprintf("s-%d", number+1) }

// newEndpoint returns a page cache as the discovery service lists it.
func newEndpoint(id, address, state string) endpoint {
	return endpoint{ID: id, Address: address, Zone: zoneEdge, MachineType: machineSmall, State: state, Weight: 1}
}

// noCell is the cell of an endpoint that is in none.
const noCell = 0

// cellOf returns the cell of a page cache by its number in the fleet. Page caches are spread over the cells in turn.
func cellOf(number, cells int) int {
	if cells == 0 {
		return noCell
	}
	return 1 + number%cells
}

// endpointList is an event of the discovery service about endpoints.
type endpointList struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"` // the list is complete, rather than a change
	Endpoints  []endpoint `json:"instances"`
}

// endpointsEvent returns what follows "pos" in the data of an event about endpoints.
func endpointsEvent(generation int, complete bool, endpoints []endpoint) string {
	return `"hosts":` + string(mustMarshal(endpointList{Generation: generation, Reset: complete, Endpoints: endpoints}))
}

// mustMarshal encodes a value as JSON. The value must consist of strings, numbers and booleans, whose encoding can't fail.
func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
