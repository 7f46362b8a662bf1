package simulation

import (
	"fmt"

	"otterseam/tier/consensus"
	"otterseam/tier/lease"
)

// violation names what a seed is failed for.
type violation string

const (
	oldConfiguration violation = "an old configuration was handed out past the bound"
	orderLost        violation = "an order was confirmed and lost"
	oldRead          violation = "a read missed a confirmed order"
	hostRemoved      violation = "a live host was removed"
	hostUnlisted     violation = "a host is acknowledged and not on the list"
	storeRemoved     violation = "a live store is given up"
	orderRefused     violation = "a connected majority takes no orders"
	disturbed        violation = "the primary of a quiet network was replaced"
	notSettled       violation = "the network is whole and control is not"
)

func (s *network) fail(what violation, format string, args ...any) {
	s.t.Fatalf("at %d: %s: %s", s.now, what, fmt.Sprintf(format, args...))
}

// checkHandedOut fails a configuration that was replaced longer ago than a lease lasts.
func (s *network) checkHandedOut(m *member, version uint64) {
	for acked, at := range s.operator.acked {
		if acked > version && at < s.now-lease.TTL {
			s.fail(oldConfiguration, "member %d hands out %d, %d was confirmed %d ms ago", m.place, version, acked, s.now-at)
		}
	}
}

// checkRemoval fails every removal: no host of the simulation ever fails.
func (s *network) checkRemoval(m *member, id string) {
	for _, h := range s.hosts {
		if h.host.ID == id {
			s.fail(hostRemoved, "%s by member %d, acknowledged %d ms ago", id, m.place, s.now-h.ackedAt)
		}
	}
}

func (s *network) checkStores(m *member) {
	for i := range s.stores {
		if m.stores.IsAway(uint64(i), m.clock()) {
			s.fail(storeRemoved, "%d by member %d", i, m.place)
		}
	}
}

// checkLists fails hosts that are acknowledged and not on the list of the primary in force.
func (s *network) checkLists() {
	for _, m := range s.members {
		if m.frozen || !m.group.IsReady() || !m.mayServe() {
			continue
		}
		for _, h := range s.hosts {
			_, listed := m.machine.Host(h.host.ID)
			switch {
			case listed:
				h.unlistedSince = 0
			case h.unlistedSince == 0:
				h.unlistedSince = s.now
			case h.ackedAt > h.unlistedSince+repairTime:
				s.fail(hostUnlisted, "%s at member %d", h.host.ID, m.place)
			}
		}
	}
}

// majorityConnected tells whether a majority of the members runs, is connected with each other, and with the operator.
func (s *network) majorityConnected() bool {
	for first := range s.members {
		group := []place{}
		for i := range s.members {
			p := place((first + i) % len(s.members))
			fits := !s.members[p].frozen && s.connected(p, operatorPlace)
			for _, other := range group {
				fits = fits && s.connected(p, other)
			}
			if fits {
				group = append(group, p)
			}
		}
		if len(group) > len(s.members)/2 {
			return true
		}
	}
	return false
}

func (s *network) checkOrders() {
	if s.now-s.changed > stableTime+orderPatience && s.now-s.operator.lastAck > orderPatience && s.majorityConnected() {
		s.fail(orderRefused, "the last one was confirmed %d ms ago, the network is the same since %d ms", s.now-s.operator.lastAck, s.now-s.changed)
	}
}

// checkElection fails a takeover from a primary that ran and had a majority around it for longer than any message takes.
func (s *network) checkElection(m *member, replaced consensus.Record) {
	const settled = 1500
	old := s.members[replaced.Primary-1]
	leads := old != m && old.group.IsReady() && old.group.View().Epoch == replaced.Epoch
	if leads && old.wellSince > 0 && s.now-old.wellSince > settled {
		s.fail(disturbed, "member %d, well since %d ms, by member %d", old.place, s.now-old.wellSince, m.place)
	}
}

// checkEnd looks at the network when it has been whole for seconds.
func (s *network) checkEnd() {
	var primary *member
	for _, m := range s.members {
		if m.group.IsReady() && m.mayServe() {
			primary = m
		}
	}
	if primary == nil {
		s.fail(notSettled, "no member leads")
	}
	held := map[uint64]bool{}
	for _, version := range primary.machine.versions {
		held[version] = true
	}
	for version := range s.operator.acked {
		if !held[version] {
			s.fail(orderLost, "%d", version)
		}
	}
	s.checkSubscribers()
	if len(s.operator.acked) < leastOrders {
		s.fail(notSettled, "only %d orders were confirmed", len(s.operator.acked))
	}
}

const (
	// leastOrders is how many orders have to be confirmed in a seed, so that it proves something.
	leastOrders = 20
	// distributionTime is within how many milliseconds a confirmed order reaches every subscriber of a whole network.
	distributionTime = 3000
)

// checkSubscribers fails subscribers that hold an old configuration when the network has been whole for seconds.
func (s *network) checkSubscribers() {
	for _, f := range s.subscribers {
		for version, at := range s.operator.acked {
			if version > f.version && at < s.now-distributionTime {
				s.fail(notSettled, "subscriber %d holds %d, %d was confirmed %d ms ago", f.place, f.version, version, s.now-at)
			}
		}
	}
}
