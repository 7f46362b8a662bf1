// Package batch plays many days at once and keeps their figures in files. The order of the results is that of the plan,
// whatever the number of workers, so that the same plan gives the same bytes.
package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"otterseam/sim/metrics"
	"otterseam/sim/policies"
	"otterseam/sim/policyprocess"
	"otterseam/sim/scenario"
	"otterseam/sim/simulation"
)

// Plan is one day to be played.
type Plan struct {
	Day       *scenario.Day
	Decider   string // a name of policy.Names, or wire:PATH
	Seed      uint64
	Overrides map[string]string // what was changed in the day, for the report
}

// Run is a day that was played.
type Run struct {
	Overrides map[string]string `json:"over,omitempty"`
	Faults    []Fault           `json:"troubles,omitempty"`
	Length    float64           `json:"length"`
	Gateways  int               `json:"gateways"`
	Hosts     int               `json:"hosts"`
	Capacity  float64           `json:"counter_capacity"` // calls a second; 0: there is none
	*metrics.Results
}

// Fault is one trouble of a day, for the report.
type Fault struct {
	Kind string  `json:"kind"`
	At   float64 `json:"at"`
	Ends float64 `json:"ends"`
}

// NewPolicySource makes a decider by its name.
func NewPolicySource(name string) (simulation.PolicySource, error) {
	if path, ok := strings.CutPrefix(name, "wire:"); ok {
		return policyprocess.Start(path)
	}
	return policies.New(name)
}

// RunOne plays one day.
func RunOne(p Plan, opts ...simulation.Option) (*Run, *simulation.Simulation, error) {
	dec, err := NewPolicySource(p.Decider)
	if err != nil {
		return nil, nil, err
	}
	w := simulation.New(p.Day, p.Seed, dec, opts...)
	f, err := w.Run()
	if err != nil {
		return nil, w, err
	}
	return NewRun(p, w, f), w, nil
}

// NewRun puts a played day's figures beside what the day was.
func NewRun(p Plan, w *simulation.Simulation, f *metrics.Results) *Run {
	r := &Run{Overrides: p.Overrides, Length: w.Day.Length.V(), Gateways: w.Day.Fleet.Gateways.N(), Hosts: w.Day.Fleet.Hosts.N(), Results: f}
	if w.Day.Counter.Present {
		r.Capacity = w.Day.Counter.Capacity.V()
	}
	for _, t := range w.Day.Troubles {
		r.Faults = append(r.Faults, Fault{t.Kind, t.At.V(), t.At.V() + t.Lasts.V()})
	}
	return r
}

// Story plays a day again and gives all that happened to one invocation.
func Story(p Plan, ref string) ([]string, error) {
	_, w, err := RunOne(p, simulation.WithStory(ref))
	if err != nil {
		return nil, err
	}
	return w.StoryLines(), nil
}

// RunAll plays days on all cores; done is told how many are.
func RunAll(ctx context.Context, plans []Plan, workers int, done func(n int)) ([]*Run, error) {
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	results := make([]*Run, len(plans))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	var n atomic.Int64
	for i, p := range plans {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r, _, err := RunOne(p)
			if err != nil {
				return fmt.Errorf("%s, seed %d, %s: %w", p.Day.Name, p.Seed, p.Decider, err)
			}
			results[i] = r
			if n := n.Add(1); done != nil {
				done(int(n))
			}
			return nil
		})
	}
	return results, group.Wait()
}

// CheckWritable says early that a file can't be written, before a long run ends in that.
func CheckWritable(path string) error {
	if path == "" || path == "-" {
		return nil
	}
	_, err := os.Stat(path)
	fresh := os.IsNotExist(err)
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	// A disk that takes no page now will take no report later.
	if fresh {
		if _, err = f.Write(make([]byte, 4096)); err == nil {
			err = f.Sync()
		}
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if fresh {
		os.Remove(path)
	}
	return err
}

// Save writes results; a file that is not whole is never left under the name.
func Save(path string, rs []*Run) error {
	b, err := json.MarshalIndent(rs, "", " ")
	if err != nil {
		return err
	}
	return WriteFile(path, append(b, '\n'))
}

// WriteFile writes a file beside its place first.
func WriteFile(path string, b []byte) error {
	if path == "-" {
		_, err := os.Stdout.Write(b)
		return err
	}
	if err := os.WriteFile(path+".part", b, 0o644); err != nil {
		os.Remove(path + ".part")
		return err
	}
	return os.Rename(path+".part", path)
}

// Load reads results back.
func Load(path string) ([]*Run, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var rs []*Run
	if err := json.Unmarshal(b, &rs); err != nil {
		return nil, fmt.Errorf("%s holds no results: %w", path, err)
	}
	for i, r := range rs {
		if r == nil || r.Results == nil {
			return nil, fmt.Errorf("%s holds no results: entry %d is empty", path, i)
		}
	}
	return rs, nil
}
