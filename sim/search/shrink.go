package search

import (
	"context"
	"fmt"
	"slices"

	"otterseam/sim/scenario"
)

// scoreLimit is the score up to which a smaller scenario keeps enough of the loss: where a rule is violated it must stay so.
func (s *searcher) scoreLimit(median float64) float64 {
	if s.best.Score < violationLimit {
		return violationLimit
	}
	return median - s.KeepLoss*(median-s.best.Score)
}

// shrink leaves out each fault, then puts each value at the mild end of its range, as long as the score stays within a limit.
func (s *searcher) shrink(ctx context.Context, limit float64) error {
	faults := len(s.best.Day.Faults)
	if err := s.dropFaults(ctx, limit); err != nil {
		return err
	}
	if len(s.best.Day.Faults) != faults { // the paths of values mean others now
		return nil
	}
	return s.calmValues(ctx, limit)
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

func (s *searcher) calmValues(ctx context.Context, limit float64) error {
	for _, path := range s.spans {
		mildest := s.from.SpanAt(path).Lo
		value := s.best.Day.SpanAt(path)
		if value == nil || value.Lo == mildest {
			continue
		}
		calmer := s.best.Day.Clone()
		*calmer.SpanAt(path) = withValue(*calmer.SpanAt(path), mildest)
		if err := s.try(ctx, calmer, limit, path+" at the mild end"); err != nil {
			return err
		}
	}
	return nil
}

// withValue is a span of one value.
func withValue(span scenario.Span, value float64) scenario.Span {
	span.Lo = value
	span.Hi = value
	return span
}

// try runs a smaller scenario and keeps it if its score is within the limit.
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
