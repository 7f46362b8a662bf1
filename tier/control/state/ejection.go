package state

import (
	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

func (c EjectHost) apply(s *State, index uint64) Result {
	if held, known := s.hosts[c.ID]; known && !held.departed {
		s.View.Put(feed.SectionEjection, c.ID, index, directory.EncodeEjectionDuration(c.TermMS))
	}
	return Result{Code: codes.OK}
}

func (c ReinstateHost) apply(s *State, index uint64) Result {
	s.reinstate(index, c.ID)
	return Result{Code: codes.OK}
}

// reinstate takes back that a host is ejected.
func (s *State) reinstate(index uint64, id string) {
	if _, ejected := s.View.Get(feed.SectionEjection, id); ejected {
		s.View.Delete(feed.SectionEjection, id, index)
	}
}

// EjectionTerms lists the hosts that are ejected, with their terms in milliseconds.
func (s *State) EjectionTerms() map[string]int64 {
	terms := map[string]int64{}
	for _, item := range s.View.All(feed.SectionEjection) {
		if term, err := directory.DecodeEjectionDuration(item.Data); err == nil {
			terms[item.Key] = term
		}
	}
	return terms
}
