//go:build cluster

package membership

import (
	"slices"
	"strconv"
	"strings"

	"hillknot/internal/cluster/failover"
	"hillknot/internal/cluster/state"
	"hillknot/internal/logging"
)

// Alive returns the sorted names of the other routers that are alive, and how many routers own shares of the budgets: the
// number of routers that are alive, including this one but no guests, or the largest cluster size that another router is
// configured for, if that is more.
func (a *Agent) Alive() (others []string, owners int) {
	if !a.settings.State.Guest {
		owners++
	}
	list := a.list.Load()
	if list == nil {
		return nil, owners
	}
	largestSize := 0 // configured cluster size of the others
	for _, node := range list.Members() {
		if node.Name == a.name {
			continue
		}
		others = append(others, node.Name)
		meta := parseMeta(node.Meta)
		if !meta.guest() {
			owners++
		}
		largestSize = max(largestSize, meta.configuredSize())
	}
	a.warnOfLargerSize(largestSize)
	slices.Sort(others)
	return others, max(owners, largestSize)
}

// warnOfLargerSize logs an error once if another router is configured for more routers than this one.
func (a *Agent) warnOfLargerSize(largestSize int) {
	own := a.settings.State.ClusterSize
	if largestSize > own && !a.sizeWarned.Swap(true) {
		log.Error("cluster size differs", logging.KeyOwnSize, own, logging.KeyPeerSize, largestSize)
	}
}

// HasJoined reports whether the agent has its address, which it keeps until Run ends: no other process of this router receives anything
// meanwhile.
func (a *Agent) HasJoined() bool { return a.list.Load() != nil }

// OrderPeers returns the other routers that are alive and hold records of orders, sorted by name.
func (a *Agent) OrderPeers() []failover.Peer {
	list := a.list.Load()
	if list == nil {
		return nil
	}
	var peers []failover.Peer
	for _, node := range list.Members() {
		if meta := parseMeta(node.Meta); node.Name != a.name && meta.holdsOrders {
			peers = append(peers, failover.Peer{Name: node.Name, Place: meta.place})
		}
	}
	slices.SortFunc(peers, func(x, y failover.Peer) int { return strings.Compare(x.Name, y.Name) })
	return peers
}

// aliveCount returns how many routers are alive, including this one.
func (a *Agent) aliveCount() int {
	if list := a.list.Load(); list != nil {
		return list.NumMembers()
	}
	return 1
}

// nodeMeta is what a router announces about itself along with its name. Its encoded form is "SIZE;ORDERS;PLACE".
type nodeMeta struct {
	size        string // the cluster size that it is configured for, or guestSize
	holdsOrders bool   // whether the router holds records of orders for others
	place       string // of the router, such as a rack; any text, which may contain ";"
}

// Strings of the encoded form.
const (
	guestSize       = "guest"
	holdsOrdersText = "keeps"
	metaSeparator   = ";"
)

func (a *Agent) meta() nodeMeta {
	meta := nodeMeta{
		size:        strconv.Itoa(a.settings.State.ClusterSize),
		holdsOrders: a.settings.Failover.Enabled,
		place:       a.settings.Place,
	}
	if a.settings.State.Guest {
		meta.size = guestSize
	}
	return meta
}

func (m nodeMeta) guest() bool { return m.size == guestSize }

// configuredSize returns the cluster size that a router is configured for, or 0 if it announces no valid size.
func (m nodeMeta) configuredSize() int {
	size, err := strconv.Atoi(m.size)
	if err != nil || size > state.MaxClusterSize {
		return 0
	}
	return size
}

func (m nodeMeta) encode() []byte {
	orders := ""
	if m.holdsOrders {
		orders = holdsOrdersText
	}
	return []byte(m.size + metaSeparator + orders + metaSeparator + m.place)
}

func parseMeta(encoded []byte) nodeMeta {
	size, rest, _ := strings.Cut(string(encoded), metaSeparator)
	orders, place, _ := strings.Cut(rest, metaSeparator)
	return nodeMeta{size: size, holdsOrders: orders == holdsOrdersText, place: place}
}
