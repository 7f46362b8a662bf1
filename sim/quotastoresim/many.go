package quotastoresim

// This file owns many seeds at once.

import (
	"context"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// Drawn gives what a seed is played with: three or five copies, with disks or without, now and then with a keeper to spare.
func Drawn(seed uint64, length float64) Options {
	o := Options{Keepers: 3, Copies: 3, Disk: seed%2 == 0, Length: length}
	if seed%4 > 1 {
		o.Keepers, o.Copies = 5, 5
	}
	if seed%8 == 3 {
		o.Keepers, o.Copies = 6, 3
	}
	return o
}

// Sum is what became of many seeds.
type Sum struct {
	Seeds, Lost, Twice, Second, Stuck                    int
	Answered, Refused, Unknown, Faults, Wipes, Undecided int
	Bad                                                  []*Verdict // the first of them
}

// Add adds one.
func (s *Sum) Add(v *Verdict) {
	s.Seeds++
	s.Lost, s.Twice, s.Second, s.Stuck = s.Lost+len(v.Lost), s.Twice+len(v.Twice), s.Second+len(v.Second), s.Stuck+len(v.Stuck)
	s.Answered, s.Refused, s.Unknown = s.Answered+v.Answered, s.Refused+v.Refused, s.Unknown+v.Unknown
	s.Faults, s.Wipes, s.Undecided = s.Faults+v.Faults, s.Wipes+v.Wipes, s.Undecided+v.Undecided
	if !v.OK() && len(s.Bad) < 8 {
		s.Bad = append(s.Bad, v)
	}
}

// OK says that all that was promised held.
func (s *Sum) OK() bool { return s.Lost+s.Twice+s.Second+s.Stuck == 0 }

// Many plays seeds on all cores, until stop says so of a verdict.
func Many(ctx context.Context, first uint64, seeds int, length float64, stop func(*Verdict) bool) *Sum {
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
					all <- Play(seed, Drawn(seed, length))
				}
				return nil
			})
		}
		g.Wait()
		close(all)
	}()
	s := &Sum{}
	for v := range all {
		s.Add(v)
		if stop(v) {
			end()
		}
	}
	return s
}
