package quotastoresim

import (
	"context"
	"fmt"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// Options configures a simulation.
type Options struct {
	Servers, Replicas int
	Durable           bool    // replicas are stored on disks; otherwise a process that ends loses all state
	FaultSeconds      float64 // duration of fault injection
	NoFaults          bool
	OnLogLine         func(at float64, server int, line string) // receives the log lines of servers; may be nil
}

// OptionsForSeed returns the options of a seed: three or five replicas, with or without disks, for some seeds with spare servers.
func OptionsForSeed(seed uint64, faultSeconds float64) Options {
	o := Options{Servers: 3, Replicas: 3, Durable: seed%2 == 0, FaultSeconds: faultSeconds}
	if seed%4 > 1 {
		o.Servers = 5
		o.Replicas = 5
	}
	if seed%8 == 3 {
		o.Servers = 6
		o.Replicas = 3
	}
	return o
}

// Counts holds the numbers of events in one or more runs.
type Counts struct {
	Answered, Rejected, Unknown int // client calls
	Faults                      int
	MachinesLost                int // with their disks
	Undecided                   int // histories whose check timed out
}

func (c *Counts) add(o *Counts) {
	c.Answered += o.Answered
	c.Rejected += o.Rejected
	c.Unknown += o.Unknown
	c.Faults += o.Faults
	c.MachinesLost += o.MachinesLost
	c.Undecided += o.Undecided
}

// Verdict is the result of one seed.
type Verdict struct {
	Seed uint64
	Counts
	Lost             []string // acknowledged data that was lost
	DoubleCounted    []string // usage that was recovered or collected twice
	DuplicateEffects []string // invocations whose marker was granted more than once
	NotRecovered     []string // servers and groups that did not recover by the end
}

// OK reports whether all guarantees held.
func (v *Verdict) OK() bool {
	return len(v.Lost)+len(v.DoubleCounted)+len(v.DuplicateEffects)+len(v.NotRecovered) == 0
}

// shownFindings is the maximum number of findings of each kind in a verdict's text.
const shownFindings = 9

func (v *Verdict) String() string {
	s := fmt.Sprintf("seed %d: %d answered, %d refused, %d unknown, %d faults, %d wipes; promised and lost: %d; put back twice: %d; second effects: %d; not whole: %d",
		v.Seed, v.Answered, v.Rejected, v.Unknown, v.Faults, v.MachinesLost, len(v.Lost), len(v.DoubleCounted), len(v.DuplicateEffects), len(v.NotRecovered))
	for _, findings := range [][]string{v.Lost, v.DoubleCounted, v.DuplicateEffects, v.NotRecovered} {
		for _, f := range findings[:min(shownFindings, len(findings))] {
			s += "\n  " + f
		}
	}
	return s
}

func (v *Verdict) addLost(format string, args ...any) {
	v.Lost = append(v.Lost, fmt.Sprintf(format, args...))
}

func (v *Verdict) addDoubleCounted(format string, args ...any) {
	v.DoubleCounted = append(v.DoubleCounted, fmt.Sprintf(format, args...))
}

func (v *Verdict) addNotRecovered(format string, args ...any) {
	v.NotRecovered = append(v.NotRecovered, fmt.Sprintf(format, args...))
}

// maxFailed is the maximum number of failed verdicts that a Summary keeps.
const maxFailed = 8

// Summary is the combined result of many seeds.
type Summary struct {
	Seeds int
	Counts
	Lost, DoubleCounted, DuplicateEffects, NotRecovered int
	Failed                                              []*Verdict // the first failed verdicts, at most maxFailed
}

// Add adds a verdict to the summary.
func (s *Summary) Add(v *Verdict) {
	s.Seeds++
	s.add(&v.Counts)
	s.Lost += len(v.Lost)
	s.DoubleCounted += len(v.DoubleCounted)
	s.DuplicateEffects += len(v.DuplicateEffects)
	s.NotRecovered += len(v.NotRecovered)
	if !v.OK() && len(s.Failed) < maxFailed {
		s.Failed = append(s.Failed, v)
	}
}

// OK reports whether all guarantees held.
func (s *Summary) OK() bool {
	return s.Lost+s.DoubleCounted+s.DuplicateEffects+s.NotRecovered == 0
}

// RunSeeds runs seeds on all cores and returns their summary. It starts no more seeds once stop returns true for a verdict.
func RunSeeds(ctx context.Context, first uint64, seeds int, faultSeconds float64, stop func(*Verdict) bool) *Summary {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	verdicts := make(chan *Verdict, 64)
	go func() {
		defer close(verdicts)
		var g errgroup.Group
		g.SetLimit(runtime.GOMAXPROCS(0))
		for i := range seeds {
			if ctx.Err() != nil {
				break
			}
			g.Go(func() error {
				if ctx.Err() == nil {
					seed := first + uint64(i)
					verdicts <- RunSeed(seed, OptionsForSeed(seed, faultSeconds))
				}
				return nil
			})
		}
		_ = g.Wait() // no seed returns an error
	}()
	s := &Summary{}
	for v := range verdicts {
		s.Add(v)
		if stop(v) {
			cancel()
		}
	}
	return s
}
