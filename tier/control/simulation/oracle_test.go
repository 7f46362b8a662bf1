package simulation

import (
	"fmt"

	"otterseam/tier/consensus"
	"otterseam/tier/lease"
)

// violation is a reason to fail a seed.
type violation string

const (
	staleConfiguration violation = "an old configuration was served after its lease expired"
	changeLost         violation = "a confirmed change was lost"
	staleRead          violation = "a read missed a confirmed change"
	hostRemoved        violation = "a live host was removed"
	hostUnregistered   violation = "an acknowledged host is not registered"
	storeRemoved       violation = "a live store counts as away"
	noProgress         violation = "a connected majority accepts no changes"
	needlessTakeover   violation = "the primary of an undisturbed majority was replaced"
	notRecovered       violation = "control did not recover after the network healed"
)

func (s *sim) fail(what violation, format string, args ...any) {
	s.t.Fatalf("at %d: %s: %s", s.now, what, fmt.Sprintf(format, args...))
}

// checkServedConfig fails the seed if a member serves a configuration that was replaced longer ago than a lease lasts.
func (s *sim) checkServedConfig(m *member, version uint64) {
	for confirmed, at := range s.operator.confirmed {
		if confirmed > version && at < s.now-lease.TTL {
			s.fail(staleConfiguration, "member %d serves version %d, version %d was confirmed %d ms ago", m.process, version, confirmed, s.now-at)
		}
	}
}

// checkRemoval fails the seed at any removal of a host, because the simulated hosts never fail.
func (s *sim) checkRemoval(m *member, id string) {
	for _, h := range s.hosts {
		if h.host.ID == id {
			s.fail(hostRemoved, "host %s by member %d, acknowledged %d ms ago", id, m.process, s.now-h.ackedAt)
		}
	}
}

func (s *sim) checkStores(m *member) {
	for i := range s.stores {
		if m.stores.IsAway(uint64(i), m.clock()) {
			s.fail(storeRemoved, "store %d by member %d", i, m.process)
		}
	}
}

// checkHostRegistrations fails the seed if a host has been acknowledged without being registered at the current primary for longer than
// registrationTimeout.
func (s *sim) checkHostRegistrations() {
	for _, m := range s.members {
		if m.frozen || !m.group.IsReady() || !m.mayServe() {
			continue
		}
		for _, h := range s.hosts {
			_, listed := m.machine.Host(h.host.ID)
			switch {
			case listed:
				h.unregisteredSince = 0
			case h.unregisteredSince == 0:
				h.unregisteredSince = s.now
			case h.ackedAt > h.unregisteredSince+registrationTimeout:
				s.fail(hostUnregistered, "host %s at member %d", h.host.ID, m.process)
			}
		}
	}
}

// majorityConnected reports whether a majority of the members is running, fully connected and connected with the operator.
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
		s.fail(noProgress, "the last change was confirmed %d ms ago, the network has been unchanged for %d ms", s.now-s.operator.lastConfirmedAt, s.now-s.changedAt)
	}
}

// checkElection fails the seed at a takeover from a primary that had been running and connected with a majority for longer than any
// message takes.
func (s *sim) checkElection(m *member, replaced consensus.Record) {
	const healthyTime = 1500
	former := s.members[replaced.Primary-1]
	leads := former != m && former.group.IsReady() && former.group.View().Epoch == replaced.Epoch
	if leads && former.healthySince > 0 && s.now-former.healthySince > healthyTime {
		s.fail(needlessTakeover, "member %d, healthy for %d ms, by member %d", former.process, s.now-former.healthySince, m.process)
	}
}

// checkFinalState checks the simulation after the network has been whole for several seconds.
func (s *sim) checkFinalState() {
	var primary *member
	for _, m := range s.members {
		if m.group.IsReady() && m.mayServe() {
			primary = m
		}
	}
	if primary == nil {
		s.fail(notRecovered, "there is no primary")
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
		s.fail(notRecovered, "only %d changes were confirmed", len(s.operator.confirmed))
	}
}

const (
	// minChanges is the number of changes that have to be confirmed for a seed to be meaningful.
	minChanges = 20
	// distributionTime is the time, in milliseconds, within which a confirmed change reaches every subscriber of a whole network.
	distributionTime = 3000
)

// checkSubscribers fails the seed if a subscriber has an old configuration after the network has been whole for several seconds.
func (s *sim) checkSubscribers() {
	for _, f := range s.subscribers {
		for version, at := range s.operator.confirmed {
			if version > f.version && at < s.now-distributionTime {
				s.fail(notRecovered, "subscriber %d has version %d, version %d was confirmed %d ms ago", f.process, f.version, version, s.now-at)
			}
		}
	}
}
