//go:build cluster

package membership

import (
	"time"

	"github.com/hashicorp/memberlist"

	"hillknot/internal/cluster/placement"
	"hillknot/internal/logging"
)

const (
	joinInterval  = pushPullInterval / 2
	maxJoinOffset = pushPullInterval / 4
	joinDuty      = "meet" // the name of the duty for placement
)

// joinPeers repeatedly connects to the configured peers that are not alive, until stop is closed.
func (a *Agent) joinPeers(list *memberlist.Memberlist, stop <-chan struct{}) {
	// The offset keeps routers that start at the same time from connecting at the same time.
	offset := placement.PhaseOffset(a.name, joinDuty, nil, maxJoinOffset)
	select {
	case <-stop:
		return
	case <-time.After(offset):
	}
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	for {
		a.joinMissing(list, stop)
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// joinMissing connects to each configured peer that is not alive, one after the other. Connecting takes at most
// connectTimeout, and the exchange of states some time more.
func (a *Agent) joinMissing(list *memberlist.Memberlist, stop <-chan struct{}) {
	alive := map[string]bool{}
	for _, node := range list.Members() {
		alive[node.Address()] = true
	}
	for _, peer := range a.settings.Peers {
		if alive[peer] || peer == a.settings.Advertise.String() {
			continue
		}
		if isClosed(stop) {
			return
		}
		if _, err := list.Join([]string{peer}); err != nil {
			log.Debug("peer unreachable", logging.KeyPeer, peer, logging.KeyError, err)
		}
	}
}

func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
