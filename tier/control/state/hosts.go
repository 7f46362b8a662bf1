package state

import (
	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// hostRecord is what a host's newest accepted heartbeat said.
type hostRecord struct {
	host       directory.Host
	seq        uint64
	departed   bool   // it deregistered
	departedAt uint64 // index of the command that said so
}

// apply takes what a host says of itself unless something newer has been taken. A host that drains never becomes ready again in
// the same incarnation.
func (c PutHost) apply(s *State, index uint64) Result {
	held, known := s.hosts[c.Host.ID]
	if known && (held.departed || c.Seq < held.seq || (held.host.Draining && !c.Host.Draining)) {
		return Result{Code: codes.HostStale}
	}
	s.hosts[c.Host.ID] = hostRecord{host: c.Host, seq: c.Seq}
	if !known || held.host != c.Host {
		s.View.Put(feed.SectionHost, c.Host.ID, index, c.Host.Encode())
	}
	return Result{Code: codes.OK}
}

// apply takes a host off the list; of one that deregistered the id stays known, so that a late heartbeat is.
func (c RemoveHost) apply(s *State, index uint64) Result {
	held, known := s.hosts[c.ID]
	if known && !held.departed {
		s.View.Delete(feed.SectionHost, c.ID, index)
		s.reinstate(index, c.ID)
	}
	if c.Deregistered {
		s.markDeparted(c.ID, index)
	} else if !held.departed {
		delete(s.hosts, c.ID)
	}
	return Result{Code: codes.OK}
}

// Hosts returns the hosts on the list, by id.
func (s *State) Hosts() map[string]directory.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := make(map[string]directory.Host, len(s.hosts))
	for id, held := range s.hosts {
		if !held.departed {
			hosts[id] = held.host
		}
	}
	return hosts
}

// Host returns one host on the list.
func (s *State) Host(id string) (directory.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.hosts[id]
	return held.host, known && !held.departed
}
