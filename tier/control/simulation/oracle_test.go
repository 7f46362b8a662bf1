package simulation

import (
	"fmt"

	"otterseam/tier/consensus"
	"otterseam/tier/lease"
)

// violation names what a seed is failed for.
type violation string

const (
	staleConfiguration violation = "an old configuration was handed out past the bound"
	changeLost         violation = "an order was confirmed and lost"
	staleRead          violation = "a read missed a confirmed order"
	hostRemoved        violation = "a live host was removed"
	hostUnlisted       violation = "a host is acknowledged and not on the list"
	storeRemoved       violation = "a live store is given up"
	noProgress         violation = "a connected majority takes no orders"
	needlessTakeover   violation = "the primary of a quiet network was replaced"
	notRecovered       violation = "the network is whole and control is not"
)

func (s *sim) fail(what violation, format string, args ...any) {
	s.t.Fatalf("at %d: %s: %s", s.now, what, fmt.Sprintf(format, args...))
}

// checkServedConfig fails a configuration that was replaced longer ago than a lease lasts.
func (s *sim) checkServedConfig(m *member, version uint64) {
	for confirmed, at := range s.operator.confirmed {
		if confirmed > version && at < s.now-lease.TTL {
			s.fail(staleConfiguration, "member %d hands out %d, %d was confirmed %d ms ago", m.process, version, confirmed, s.now-at)
		}
	}
}

// checkRemoval fails every removal: no host of the simulation ever fails.
func (s *sim) checkRemoval(m *member, id string) {
	for _, h := range s.hosts {
		if h.host.ID == id {
			s.fail(hostRemoved, "%s by member %d, acknowledged %d ms ago", id, m.process, s.now-h.ackedAt)
		}
	}
}

func (s *sim) checkStores(m *member) {
	for i := range s.stores {
		if m.stores.IsAway(uint64(i), m.clock()) {
			s.fail(storeRemoved, "%d by member %d", i, m.process)
		}
	}
}

// checkHostLists fails hosts that are acknowledged and not on the list of the primary in force.
func (s *sim) checkHostLists() {
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
			case h.ackedAt > h.unlistedSince+relistTimeout:
				s.fail(hostUnlisted, "%s at member %d", h.host.ID, m.process)
			}
		}
	}
}

// majorityConnected tells whether a majority of the members runs, is connected with each other, and with the operator.
func (s *sim) majorityConnected() bool {
	for first := range s.members {
		connectedMembers := []process{}
		for i := range s.members {
			p := process((first + i) % len(s.members))
			eligible := !s.members[p].frozen && s.connected(p, operatorProcess)
			for _, other := range connectedMembers {
				eligible = eligible && s.connected(p, other)
			}
			if eligible {
				connectedMembers = append(connectedMembers, p)
			}
		}
		if len(connectedMembers) > len(s.members)/2 {
			return true
		}
	}
	return false
}

func (s *sim) checkProgress() {
	if s.now-s.changedAt > settleTime+changeTimeout && s.now-s.operator.lastConfirmedAt > changeTimeout && s.majorityConnected() {
		s.fail(noProgress, "the last one was confirmed %d ms ago, the network is the same since %d ms", s.now-s.operator.lastConfirmedAt, s.now-s.changedAt)
	}
}

// checkElection fails a takeover from a primary that ran and had a majority around it for longer than any message takes.
func (s *sim) checkElection(m *member, replaced consensus.Record) {
	const healthyTime = 1500
	former := s.members[replaced.Primary-1]
	leads := former != m && former.group.IsReady() && former.group.View().Epoch == replaced.Epoch
	if leads && former.healthySince > 0 && s.now-former.healthySince > healthyTime {
		s.fail(needlessTakeover, "member %d, well since %d ms, by member %d", former.process, s.now-former.healthySince, m.process)
	}
}

// checkFinalState looks at the network when it has been whole for seconds.
func (s *sim) checkFinalState() {
	var primary *member
	for _, m := range s.members {
		if m.group.IsReady() && m.mayServe() {
			primary = m
		}
	}
	if primary == nil {
		s.fail(notRecovered, "no member leads")
	}
	applied := map[uint64]bool{}
	for _, version := range primary.machine.versions {
		applied[version] = true
	}
	for version := range s.operator.confirmed {
		if !applied[version] {
			s.fail(changeLost, "%d", version)
		}
	}
	s.checkSubscribers()
	if len(s.operator.confirmed) < minChanges {
		s.fail(notRecovered, "only %d orders were confirmed", len(s.operator.confirmed))
	}
}

const (
	// minChanges is how many orders have to be confirmed in a seed, so that it proves something.
	minChanges = 20
	// distributionTime is within how many milliseconds a confirmed order reaches every subscriber of a whole network.
	distributionTime = 3000
)

// checkSubscribers fails subscribers that hold an old configuration when the network has been whole for seconds.
func (s *sim) checkSubscribers() {
	for _, f := range s.subscribers {
		for version, at := range s.operator.confirmed {
			if version > f.version && at < s.now-distributionTime {
				s.fail(notRecovered, "subscriber %d holds %d, %d was confirmed %d ms ago", f.process, f.version, version, s.now-at)
			}
		}
	}
}
