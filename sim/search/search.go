package search

import (
	"context"
	"fmt"
	"math"
	"slices"

	"otterseam/sim/batch"
	"otterseam/sim/metrics"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

const (
	// A run that violates rules scores violationScore minus the logarithm of the number of violations, which is worse than any run
	// without violations. Runs without violations score above violationLimit.
	violationScore = -10
	violationLimit = -5
	// A round of samples near the worst scenario runs Options.Samples/samplesDivisor scenarios, but at least minSamplesPerRound.
	samplesDivisor     = 4
	minSamplesPerRound = 4
	// minRedrawn is the minimum probability with which each value of the worst scenario is redrawn.
	minRedrawn = 0.25
)

// Options configures a search.
type Options struct {
	Decider  string  // a name in policies.Names, or wire:PATH
	Samples  int     // scenarios drawn; at least 1
	Rounds   int     // rounds of samples near the worst scenario so far
	Seed     uint64  // of the search itself
	Workers  int     // 0 for one per core
	KeepLoss float64 // the fraction of the loss found that a smaller scenario must keep
	Progress func(text string)
}

// Result is the worst run, after its scenario was made smaller.
type Result struct {
	Day   *scenario.Scenario
	Seed  uint64
	Score float64
	Steps []string // the changes that made the scenario smaller
}

// candidate is a scenario and the seed to run it with.
type candidate struct {
	day  *scenario.Scenario
	seed uint64
}

// searcher is the state of the search in one scenario.
type searcher struct {
	Options
	from  *scenario.Scenario
	spans []string // paths of the values with ranges
	best  Result
}

// Worst searches for the worst run of a scenario with ranges or faults. A run that violates a rule is worse than any other.
func Worst(ctx context.Context, from *scenario.Scenario, options Options) (*Result, error) {
	s := &searcher{Options: options, from: from, spans: from.RangePaths()}
	median, err := s.sample(ctx)
	if err != nil {
		return nil, err
	}
	for round := range s.Rounds {
		if err := s.sampleNearWorst(ctx, round); err != nil {
			return nil, err
		}
	}
	if err := s.shrink(ctx, s.scoreLimit(median)); err != nil {
		return nil, err
	}
	s.best.Day.Name = from.Name + "-worst"
	s.best.Day.About = fmt.Sprintf("found by a search of %s with seed %d; run it with seed %d", from.Name, s.Seed, s.best.Seed)
	return &s.best, nil
}

// sample draws scenarios from the ranges, runs them and returns the median of their scores.
func (s *searcher) sample(ctx context.Context) (median float64, err error) {
	var candidates []candidate
	for i := range s.Samples {
		seed := randstream.New(s.Seed, "search", i).Uint64() >> 1
		candidates = append(candidates, candidate{s.from.Draw(seed), seed})
	}
	scores, err := s.runAll(ctx, candidates)
	if err != nil {
		return 0, err
	}
	slices.Sort(scores)
	median = scores[len(scores)/2]
	s.Progress(fmt.Sprintf("%d days drawn: worst %.3f, median %.3f", len(candidates), s.best.Score, median))
	return median, nil
}

// sampleNearWorst runs variants of the worst scenario in which some values are redrawn.
func (s *searcher) sampleNearWorst(ctx context.Context, round int) error {
	redrawn := max(minRedrawn, 1/float64(len(s.spans)))
	var candidates []candidate
	for i := range max(minSamplesPerRound, s.Samples/samplesDivisor) {
		random := randstream.New(s.Seed, "near", round, i)
		other := s.from.Draw(random.Uint64() >> 1)
		near := s.best.Day.Clone()
		for _, path := range s.spans {
			if random.Chance(redrawn) {
				*near.SpanAt(path) = *other.SpanAt(path)
			}
		}
		candidates = append(candidates, candidate{near, s.best.Seed})
	}
	if _, err := s.runAll(ctx, candidates); err != nil {
		return err
	}
	s.Progress(fmt.Sprintf("round %d: worst %.3f", round+1, s.best.Score))
	return nil
}

// runAll runs candidates and returns their scores. It updates the worst run so far.
func (s *searcher) runAll(ctx context.Context, candidates []candidate) ([]float64, error) {
	scores, err := s.scores(ctx, candidates)
	if err != nil {
		return nil, err
	}
	for i, score := range scores {
		if s.best.Day == nil || score < s.best.Score {
			s.best = Result{Day: candidates[i].day, Seed: candidates[i].seed, Score: score}
		}
	}
	return scores, nil
}

func (s *searcher) scores(ctx context.Context, candidates []candidate) ([]float64, error) {
	plans := make([]batch.Plan, len(candidates))
	for i, each := range candidates {
		plans[i] = batch.Plan{Day: each.day, Decider: s.Decider, Seed: each.seed}
	}
	runs, err := batch.RunAll(ctx, plans, s.Workers, nil)
	if err != nil {
		return nil, err
	}
	scores := make([]float64, len(runs))
	for i, run := range runs {
		scores[i] = score(run.Results)
	}
	return scores, nil
}

func score(results *metrics.Results) float64 {
	if results.ViolationCount > 0 {
		return violationScore - math.Log10(float64(results.ViolationCount))
	}
	return results.Score()
}
