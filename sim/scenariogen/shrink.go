package scenariogen

import (
	"fmt"
)

// Check plays a day and reports whether it still shows what is looked for.
type Check func(*Day) (bool, error)

// Shrink takes away from a day whatever isn't needed for the check to hold: the final fault, each disruption, what a
// disruption has beyond its least, and the seconds after the last one. It plays no more days than the budget, calls onStep for
// each step that was kept, and returns the shortest day found, also with an error.
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
	budget  int // plays left
	applied int // steps that were kept
	holds   Check
	onStep  func(string)
}

// round tries each step once.
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

// try plays the best day with one change and keeps the change if the check holds.
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

// minHalvedDuration is a time that isn't worth halving any more.
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

// keptTail is what a shortened day keeps after its last disruption.
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
