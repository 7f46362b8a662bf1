package scenariogen

import "fmt"

// Check plays a day and says whether it still shows what is looked for.
type Check func(*Day) (bool, error)

// Shrink takes away from a day whatever isn't needed for the check to hold: the final fault, each disruption, what a
// disruption has beyond its least, and the seconds after the last one. It plays at most so many days. It gives the shortest day
// found and says each step that was kept.
func Shrink(day *Day, most int, holds Check, tell func(step string)) (*Day, error) {
	s := &shrinking{best: day.Clone(), left: most, holds: holds, tell: tell}
	for s.left > 0 {
		before := s.kept
		if err := s.round(); err != nil {
			return s.best, err
		}
		if s.kept == before {
			break
		}
	}
	return s.best, nil
}

type shrinking struct {
	best  *Day
	left  int
	kept  int
	holds Check
	tell  func(string)
}

// round tries each step once.
func (s *shrinking) round() error {
	if s.best.Closing != nil {
		if err := s.try("without the final fault", func(d *Day) { d.Closing = nil }); err != nil {
			return err
		}
	}
	for i := len(s.best.Disruptions) - 1; i >= 0; i-- {
		if err := s.tryWithout(i); err != nil {
			return err
		}
	}
	for i := range s.best.Disruptions {
		if err := s.trySimpler(i); err != nil {
			return err
		}
	}
	return s.tryShorter()
}

// try plays the best day with one change and keeps the change if the check holds.
func (s *shrinking) try(step string, change func(*Day)) error {
	if s.left == 0 {
		return nil
	}
	s.left--
	candidate := s.best.Clone()
	change(candidate)
	holds, err := s.holds(candidate)
	if err != nil || !holds {
		return err
	}
	s.best = candidate
	s.kept++
	s.tell(step)
	return nil
}

func (s *shrinking) tryWithout(i int) error {
	step := "without " + s.best.Disruptions[i].Kind
	return s.try(step, func(d *Day) { d.Disruptions = append(d.Disruptions[:i:i], d.Disruptions[i+1:]...) })
}

// longEnough is a time that isn't worth halving any more.
const longEnough = 1.0

func (s *shrinking) trySimpler(i int) error {
	now := s.best.Disruptions[i]
	if now.ForS > longEnough {
		half := rounded(now.ForS / 2)
		if err := s.try(fmt.Sprintf("%s for %s s", now.Kind, number(half)), func(d *Day) { d.Disruptions[i].ForS = half }); err != nil {
			return err
		}
	}
	if now.Count > 1 {
		return s.try(now.Kind+" of one", func(d *Day) { d.Disruptions[i].Count = 1 })
	}
	return nil
}

// afterLast is what a shortened day keeps after its last disruption.
const afterLast = 8.0

func (s *shrinking) tryShorter() error {
	end := afterLast
	for _, d := range s.best.Disruptions {
		end = max(end, d.At+lasts(d)+afterLast)
	}
	end = rounded(end)
	if s.best.LengthS <= end {
		return nil
	}
	return s.try("length "+number(end)+" s", func(d *Day) { d.LengthS = end })
}
