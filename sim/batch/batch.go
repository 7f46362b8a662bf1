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
	Day     *scenario.Day
	Decider string // a name of policy.Names, or wire:PATH
	Seed    uint64
	Over    map[string]string // what was changed in the day, for the report
}

// Run is a day that was played.
type Run struct {
	Over     map[string]string `json:"over,omitempty"`
	Troubles []Trouble         `json:"troubles,omitempty"`
	Length   float64           `json:"length"`
	Gateways int               `json:"gateways"`
	Hosts    int               `json:"hosts"`
	Capacity float64           `json:"counter_capacity"` // calls a second; 0: there is none
	*metrics.Figures
}

// Trouble is one trouble of a day, for the report.
type Trouble struct {
	Kind string  `json:"kind"`
	At   float64 `json:"at"`
	Ends float64 `json:"ends"`
}

// Decider makes a decider by its name.
func Decider(name string) (simulation.Decider, error) {
	if path, ok := strings.CutPrefix(name, "wire:"); ok {
		return policyprocess.Start(path)
	}
	return policies.New(name)
}

// One plays one day.
func One(p Plan, opts ...simulation.Option) (*Run, *simulation.World, error) {
	dec, err := Decider(p.Decider)
	if err != nil {
		return nil, nil, err
	}
	w := simulation.New(p.Day, p.Seed, dec, opts...)
	f, err := w.Run()
	if err != nil {
		return nil, w, err
	}
	return Of(p, w, f), w, nil
}

// Of puts a played day's figures beside what the day was.
func Of(p Plan, w *simulation.World, f *metrics.Figures) *Run {
	r := &Run{Over: p.Over, Length: w.Day.Length.V(), Gateways: w.Day.Fleet.Gateways.N(), Hosts: w.Day.Fleet.Hosts.N(), Figures: f}
	if w.Day.Counter.Present {
		r.Capacity = w.Day.Counter.Capacity.V()
	}
	for _, t := range w.Day.Troubles {
		r.Troubles = append(r.Troubles, Trouble{t.Kind, t.At.V(), t.At.V() + t.Lasts.V()})
	}
	return r
}

// Story plays a day again and gives all that happened to one invocation.
func Story(p Plan, ref string) ([]string, error) {
	_, w, err := One(p, simulation.Story(ref))
	if err != nil {
		return nil, err
	}
	return w.Told(), nil
}

// All plays days on all cores; done is told how many are.
func All(ctx context.Context, plans []Plan, workers int, done func(n int)) ([]*Run, error) {
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
			r, _, err := One(p)
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

// Writable says early that a file can't be written, before a long run ends in that.
func Writable(path string) error {
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
	return Put(path, append(b, '\n'))
}

// Put writes a file beside its place first.
func Put(path string, b []byte) error {
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
		if r == nil || r.Figures == nil {
			return nil, fmt.Errorf("%s holds no results: entry %d is empty", path, i)
		}
	}
	return rs, nil
}
