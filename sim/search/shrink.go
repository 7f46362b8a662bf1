package search

import (
	"context"
	"fmt"
	"slices"

	"otterseam/sim/scenario"
)

// scoreLimit returns the highest score at which a smaller scenario keeps enough of the loss. If the worst run violates a rule, the
// smaller scenario must violate one too.
func (s *searcher) scoreLimit(median float64) float64 {
	if s.best.Score < violationLimit {
		return violationLimit
	}
	return median - s.KeepLoss*(median-s.best.Score)
}

// shrink tries to remove each fault, and then to set each value to the mild end of its range. It keeps the changes with which the
// score stays at or below limit.
func (s *searcher) shrink(ctx context.Context, limit float64) error {
	faults := len(s.best.Day.Faults)
	if err := s.dropFaults(ctx, limit); err != nil {
		return err
	}
	if len(s.best.Day.Faults) != faults { // the paths of values contain indices of faults, which have changed
		return nil
	}
	return s.useMildValues(ctx, limit)
}

func (s *searcher) dropFaults(ctx context.Context, limit float64) error {
	for i := len(s.best.Day.Faults) - 1; i >= 0; i-- {
		smaller := s.best.Day.Clone()
		kind := smaller.Faults[i].Kind
		smaller.Faults = slices.Delete(smaller.Faults, i, i+1)
		if err := s.try(ctx, smaller, limit, "without the trouble "+kind); err != nil {
			return err
		}
	}
	return nil
}

func (s *searcher) useMildValues(ctx context.Context, limit float64) error {
	for _, path := range s.spans {
		mildest := s.from.SpanAt(path).Lo
		value := s.best.Day.SpanAt(path)
		if value == nil || value.Lo == mildest {
			continue
		}
		milder := s.best.Day.Clone()
		*milder.SpanAt(path) = withValue(*milder.SpanAt(path), mildest)
		if err := s.try(ctx, milder, limit, path+" at the mild end"); err != nil {
			return err
		}
	}
	return nil
}

// withValue returns the span with both ends set to a value.
func withValue(span scenario.Span, value float64) scenario.Span {
	span.Lo = value
	span.Hi = value
	return span
}

// try runs a smaller scenario and keeps it if its score is at or below the limit.
func (s *searcher) try(ctx context.Context, smaller *scenario.Scenario, limit float64, step string) error {
	scores, err := s.scores(ctx, []candidate{{smaller, s.best.Seed}})
	if err != nil {
		return err
	}
	if scores[0] > limit {
		return nil
	}
	s.best.Day = smaller
	s.best.Score = scores[0]
	s.best.Steps = append(s.best.Steps, fmt.Sprintf("%s (%.3f)", step, scores[0]))
	s.Progress(step)
	return nil
}
