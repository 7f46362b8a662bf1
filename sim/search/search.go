// Package search looks for the day on which a decider does worst within a day's ranges, then takes away what does not
// matter, so that the day that is left shows its cause.
package search

import (
	"context"
	"fmt"
	"math"
	"slices"

	"otterseam/sim/batch"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// Options say how long to look.
type Options struct {
	Decider  string
	Samples  int    // days drawn
	Rounds   int    // rounds of drawing near the worst so far
	Seed     uint64 // of the search itself
	Workers  int
	KeepLoss float64 // part of the loss found that a smaller day must keep
	Progress func(text string)
}

// Result is the worst day.
type Result struct {
	Day   *scenario.Day
	Seed  uint64
	Score float64
	Steps []string // what was taken away
}

// Worst looks for it in a day that has ranges or troubles. A broken rule is worse than any score.
func Worst(ctx context.Context, d *scenario.Day, o Options) (*Result, error) {
	play := func(days []*scenario.Day, seeds []uint64) ([]float64, error) {
		plans := make([]batch.Plan, len(days))
		for i := range days {
			plans[i] = batch.Plan{Day: days[i], Decider: o.Decider, Seed: seeds[i]}
		}
		rs, err := batch.RunAll(ctx, plans, o.Workers, nil)
		if err != nil {
			return nil, err
		}
		scores := make([]float64, len(rs))
		for i, r := range rs {
			if scores[i] = r.Score(); r.ViolationCount > 0 {
				scores[i] = -10 - math.Log10(float64(r.ViolationCount))
			}
		}
		return scores, nil
	}
	take := func(days []*scenario.Day, seeds []uint64, scores []float64, best *Result) {
		for i, s := range scores {
			if best.Day == nil || s < best.Score {
				*best = Result{Day: days[i], Seed: seeds[i], Score: s}
			}
		}
	}
	best := &Result{}
	var days []*scenario.Day
	var seeds []uint64
	for i := range o.Samples {
		seed := randstream.New(o.Seed, "search", i).Uint64() >> 1
		days, seeds = append(days, d.Draw(seed)), append(seeds, seed)
	}
	scores, err := play(days, seeds)
	if err != nil {
		return nil, err
	}
	take(days, seeds, scores, best)
	usual := slices.Clone(scores)
	slices.Sort(usual)
	middle := usual[len(usual)/2]
	o.Progress(fmt.Sprintf("%d days drawn: worst %.3f, middle %.3f", len(days), best.Score, middle))

	// Near the worst: some of its figures drawn anew.
	spans := d.Spans()
	for round := range o.Rounds {
		days, seeds = nil, nil
		for i := range max(4, o.Samples/4) {
			s := randstream.New(o.Seed, "near", round, i)
			other, c := d.Draw(s.Uint64()>>1), best.Day.Clone()
			for _, path := range spans {
				if s.Chance(max(0.25, 1/float64(len(spans)))) {
					*c.At(path) = *other.At(path)
				}
			}
			days, seeds = append(days, c), append(seeds, best.Seed)
		}
		if scores, err = play(days, seeds); err != nil {
			return nil, err
		}
		take(days, seeds, scores, best)
		o.Progress(fmt.Sprintf("round %d: worst %.3f", round+1, best.Score))
	}

	// Smaller: each trouble left out, then each figure at its range's mild end, as long as most of the loss stays.
	limit := middle - o.KeepLoss*(middle-best.Score)
	if best.Score < -5 {
		limit = -5 // the rule must stay broken
	}
	worst := *best
	try := func(c *scenario.Day, what string) error {
		s, err := play([]*scenario.Day{c}, []uint64{best.Seed})
		if err != nil {
			return err
		}
		if s[0] <= limit {
			best.Day, best.Score = c, s[0]
			best.Steps = append(best.Steps, fmt.Sprintf("%s (%.3f)", what, s[0]))
			o.Progress(what)
		}
		return nil
	}
	for i := len(best.Day.Troubles) - 1; i >= 0; i-- {
		c := best.Day.Clone()
		kind := c.Troubles[i].Kind
		c.Troubles = slices.Delete(c.Troubles, i, i+1)
		if err := try(c, "without the trouble "+kind); err != nil {
			return nil, err
		}
	}
	if len(best.Day.Troubles) == len(worst.Day.Troubles) { // the paths still mean the same
		for _, path := range spans {
			from, to := d.At(path), best.Day.At(path)
			if to == nil || to.Lo == from.Lo {
				continue
			}
			c := best.Day.Clone()
			c.At(path).Lo, c.At(path).Hi = from.Lo, from.Lo
			if err := try(c, path+" at the mild end"); err != nil {
				return nil, err
			}
		}
	}
	best.Day.Name = d.Name + "-worst"
	best.Day.About = fmt.Sprintf("found by a search of %s with seed %d; play it with seed %d", d.Name, o.Seed, best.Seed)
	return best, nil
}
