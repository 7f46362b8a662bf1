package state

import (
	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

func (c EjectHost) apply(s *State, index uint64) Result {
	if record, known := s.hosts[c.ID]; known && !record.deregistered {
		s.View.Put(feed.SectionEjection, c.ID, index, directory.EncodeEjectionDuration(c.DurationMS))
	}
	return Result{Code: codes.OK}
}

func (c ReinstateHost) apply(s *State, index uint64) Result {
	s.reinstate(index, c.ID)
	return Result{Code: codes.OK}
}

// reinstate ends the ejection of a host, if it is ejected.
func (s *State) reinstate(index uint64, id string) {
	if _, ejected := s.View.Get(feed.SectionEjection, id); ejected {
		s.View.Delete(feed.SectionEjection, id, index)
	}
}

// EjectionDurations returns the durations of all current ejections in milliseconds, by host ID.
func (s *State) EjectionDurations() map[string]int64 {
	durations := map[string]int64{}
	for _, item := range s.View.All(feed.SectionEjection) {
		if duration, err := directory.DecodeEjectionDuration(item.Data); err == nil {
			durations[item.Key] = duration
		}
	}
	return durations
}
