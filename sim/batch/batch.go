package batch

import (
	"context"
	"fmt"
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

// programPrefix marks the name of a policy as the path of a program.
const programPrefix = "wire:"

// Plan describes one simulation to run.
type Plan struct {
	Day       *scenario.Scenario
	Decider   string // a name of policies.Names, or wire:PATH
	Seed      uint64
	Overrides map[string]string // overridden keys of the scenario, for the report
}

// Run holds the results of a simulation with the main sizes of its scenario. Its JSON keys stay as they are in saved files.
type Run struct {
	Overrides map[string]string `json:"over,omitempty"`
	Faults    []Fault           `json:"troubles,omitempty"`
	Length    float64           `json:"length"` // seconds
	Gateways  int               `json:"gateways"`
	Hosts     int               `json:"hosts"`
	Capacity  float64           `json:"counter_capacity"` // calls per second; 0 without a counter
	*metrics.Results
}

// Fault is one fault of a scenario, for the report. Its times are seconds from the start.
type Fault struct {
	Kind string  `json:"kind"`
	At   float64 `json:"at"`
	Ends float64 `json:"ends"`
}

// NewPolicySource creates the source of policies for a name: one of policies.Names, or wire:PATH for a program.
func NewPolicySource(name string) (simulation.PolicySource, error) {
	if path, ok := strings.CutPrefix(name, programPrefix); ok {
		return policyprocess.Start(path)
	}
	return policies.New(name)
}

// RunOne runs one plan. If the run fails, the simulation is returned with the error; it is nil if it could not be created.
func RunOne(plan Plan, options ...simulation.Option) (*Run, *simulation.Simulation, error) {
	source, err := NewPolicySource(plan.Decider)
	if err != nil {
		return nil, nil, err
	}
	simulated := simulation.New(plan.Day, plan.Seed, source, options...)
	results, err := simulated.Run()
	if err != nil {
		return nil, simulated, err
	}
	return NewRun(plan, simulated, results), simulated, nil
}

// NewRun combines the results of a simulation with the main sizes of its scenario.
func NewRun(plan Plan, simulated *simulation.Simulation, results *metrics.Results) *Run {
	day := simulated.Day
	run := &Run{
		Overrides: plan.Overrides,
		Length:    day.Length.Float(),
		Gateways:  day.Fleet.Gateways.Int(),
		Hosts:     day.Fleet.Hosts.Int(),
		Results:   results,
	}
	if day.Counter.Present {
		run.Capacity = day.Counter.Capacity.Float()
	}
	for i := range day.Faults {
		fault := &day.Faults[i]
		run.Faults = append(run.Faults, Fault{Kind: fault.Kind, At: fault.At.Float(), Ends: fault.At.Float() + fault.Lasts.Float()})
	}
	return run
}

// TraceInvocation runs a plan and returns the trace lines of one invocation.
func TraceInvocation(plan Plan, ref string) ([]string, error) {
	_, simulated, err := RunOne(plan, simulation.WithInvocationTrace(ref))
	if err != nil {
		return nil, err
	}
	return simulated.TraceLines(), nil
}

// RunAll runs plans on a number of workers, or on one worker per core if workers is 0. If progress is not nil, several goroutines call it
// with the number of completed plans. The first error ends the remaining runs.
func RunAll(ctx context.Context, plans []Plan, workers int, progress func(done int)) ([]*Run, error) {
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	runs := make([]*Run, len(plans))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	var finished atomic.Int64
	for i, plan := range plans {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			run, _, err := RunOne(plan)
			if err != nil {
				return fmt.Errorf("%s, seed %d, %s: %w", plan.Day.Name, plan.Seed, plan.Decider, err)
			}
			runs[i] = run
			done := finished.Add(1)
			if progress != nil {
				progress(int(done))
			}
			return nil
		})
	}
	return runs, group.Wait()
}
