package state

import (
	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// hostRecord is the content of a host's newest accepted heartbeat.
type hostRecord struct {
	host           directory.Host
	seq            uint64
	deregistered   bool   // the host deregistered
	deregisteredAt uint64 // log index of the deregistration
}

// apply adds or updates a host unless a newer heartbeat was applied. A draining host never becomes ready again in the same
// incarnation.
func (c PutHost) apply(s *State, index uint64) Result {
	record, known := s.hosts[c.Host.ID]
	if known && (record.deregistered || c.Seq < record.seq || (record.host.Draining && !c.Host.Draining)) {
		return Result{Code: codes.HostStale}
	}
	s.hosts[c.Host.ID] = hostRecord{host: c.Host, seq: c.Seq}
	if !known || record.host != c.Host {
		s.View.Put(feed.SectionHost, c.Host.ID, index, c.Host.Encode())
	}
	return Result{Code: codes.OK}
}

// apply removes a host from the host list. The ID of a deregistered host is retained, so that its late heartbeats are recognized.
func (c RemoveHost) apply(s *State, index uint64) Result {
	record, known := s.hosts[c.ID]
	if known && !record.deregistered {
		s.View.Delete(feed.SectionHost, c.ID, index)
		s.reinstate(index, c.ID)
	}
	if c.Deregistered {
		s.markDeregistered(c.ID, index)
	} else if !record.deregistered {
		delete(s.hosts, c.ID)
	}
	return Result{Code: codes.OK}
}

// Hosts returns the listed hosts by ID.
func (s *State) Hosts() map[string]directory.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := make(map[string]directory.Host, len(s.hosts))
	for id, record := range s.hosts {
		if !record.deregistered {
			hosts[id] = record.host
		}
	}
	return hosts
}

// Host returns a listed host.
func (s *State) Host(id string) (directory.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, known := s.hosts[id]
	return record.host, known && !record.deregistered
}
