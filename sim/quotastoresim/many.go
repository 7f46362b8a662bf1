package quotastoresim

// This file owns many seeds at once.

import (
	"context"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// Drawn gives what a seed is played with: three or five copies, with disks or without, now and then with a keeper to spare.
func OptionsForSeed(seed uint64, length float64) Options {
	o := Options{Servers: 3, Replicas: 3, Durable: seed%2 == 0, FaultSeconds: length}
	if seed%4 > 1 {
		o.Servers, o.Replicas = 5, 5
	}
	if seed%8 == 3 {
		o.Servers, o.Replicas = 6, 3
	}
	return o
}

// Sum is what became of many seeds.
type Summary struct {
	Seeds, Lost, DoubleCounted, DuplicateEffects, NotRecovered int
	Answered, Rejected, Unknown, Faults, Wipes, Undecided      int
	Failed                                                     []*Verdict // the first of them
}

// Add adds one.
func (s *Summary) Add(v *Verdict) {
	s.Seeds++
	s.Lost, s.DoubleCounted, s.DuplicateEffects, s.NotRecovered = s.Lost+len(v.Lost), s.DoubleCounted+len(v.DoubleCounted), s.DuplicateEffects+len(v.DuplicateEffects), s.NotRecovered+len(v.NotRecovered)
	s.Answered, s.Rejected, s.Unknown = s.Answered+v.Answered, s.Rejected+v.Rejected, s.Unknown+v.Unknown
	s.Faults, s.Wipes, s.Undecided = s.Faults+v.Faults, s.Wipes+v.Wipes, s.Undecided+v.Undecided
	if !v.OK() && len(s.Failed) < 8 {
		s.Failed = append(s.Failed, v)
	}
}

// OK says that all that was promised held.
func (s *Summary) OK() bool { return s.Lost+s.DoubleCounted+s.DuplicateEffects+s.NotRecovered == 0 }

// Many plays seeds on all cores, until stop says so of a verdict.
func RunSeeds(ctx context.Context, first uint64, seeds int, length float64, stop func(*Verdict) bool) *Summary {
	ctx, end := context.WithCancel(ctx)
	defer end()
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	all := make(chan *Verdict, 64)
	go func() {
		for i := range seeds {
			if ctx.Err() != nil {
				break
			}
			g.Go(func() error {
				if ctx.Err() == nil {
					seed := first + uint64(i)
					all <- RunSeed(seed, OptionsForSeed(seed, length))
				}
				return nil
			})
		}
		g.Wait()
		close(all)
	}()
	s := &Summary{}
	for v := range all {
		s.Add(v)
		if stop(v) {
			end()
		}
	}
	return s
}
