package scenariogen

import (
	"fmt"
)

// Check runs a day and reports whether it still shows the failure.
type Check func(*Day) (bool, error)

// Shrink simplifies a day as long as the check still holds: it removes the final fault and single disruptions, reduces the duration and
// the count of a disruption, and shortens the day after its last disruption. It runs at most budget days and calls onStep for each
// simplification that it keeps. It returns the shortest day found, even if it also returns an error.
func Shrink(day *Day, budget int, holds Check, onStep func(step string)) (*Day, error) {
	s := &shrinker{best: day.Clone(), budget: budget, holds: holds, onStep: onStep}
	for s.budget > 0 {
		before := s.applied
		if err := s.round(); err != nil {
			return s.best, err
		}
		if s.applied == before {
			break
		}
	}
	return s.best, nil
}

// shrinker holds the shortest day found so far.
type shrinker struct {
	best    *Day
	budget  int // number of runs left
	applied int // number of simplifications kept
	holds   Check
	onStep  func(string)
}

// round tries each simplification once.
func (s *shrinker) round() error {
	if s.best.FinalFault != nil {
		if err := s.try("without the final fault", func(d *Day) { d.FinalFault = nil }); err != nil {
			return err
		}
	}
	for i := len(s.best.Disruptions) - 1; i >= 0; i-- {
		if err := s.tryRemoving(i); err != nil {
			return err
		}
	}
	for i := range s.best.Disruptions {
		if err := s.trySimplifying(i); err != nil {
			return err
		}
	}
	return s.tryShortening()
}

// try runs the best day with one change and keeps the change if the check holds.
func (s *shrinker) try(step string, change func(*Day)) error {
	if s.budget == 0 {
		return nil
	}
	s.budget--
	candidate := s.best.Clone()
	change(candidate)
	holds, err := s.holds(candidate)
	if err != nil || !holds {
		return err
	}
	s.best = candidate
	s.applied++
	s.onStep(step)
	return nil
}

func (s *shrinker) tryRemoving(i int) error {
	step := "without " + s.best.Disruptions[i].Kind
	return s.try(step, func(d *Day) { d.Disruptions = append(d.Disruptions[:i:i], d.Disruptions[i+1:]...) })
}

// minHalvedDuration is the duration in seconds up to which a disruption is not shortened any further.
const minHalvedDuration = 1.0

func (s *shrinker) trySimplifying(i int) error {
	now := s.best.Disruptions[i]
	if now.Duration > minHalvedDuration {
		half := rounded(now.Duration / 2)
		if err := s.try(fmt.Sprintf("%s for %s s", now.Kind, number(half)), func(d *Day) { d.Disruptions[i].Duration = half }); err != nil {
			return err
		}
	}
	if now.Count > 1 {
		return s.try(now.Kind+" of one", func(d *Day) { d.Disruptions[i].Count = 1 })
	}
	return nil
}

// keptTail is the time in seconds that a shortened day keeps after its last disruption.
const keptTail = 8.0

func (s *shrinker) tryShortening() error {
	end := keptTail
	for _, d := range s.best.Disruptions {
		end = max(end, d.At+durationOf(d)+keptTail)
	}
	end = rounded(end)
	if s.best.Length <= end {
		return nil
	}
	return s.try("length "+number(end)+" s", func(d *Day) { d.Length = end })
}
