package fleet

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"otterseam/harness/sockets"
	"otterseam/sim/scenario"
)

// duplicateExecutionRule is the number of the oracle's rule that nothing runs twice.
const duplicateExecutionRule = 2

// Options configure a run of a script.
type Options struct {
	Gateway    string            // path of the api gateway's program
	QuotaStore string            // path of the quota store's program; "": otterseam-quotastore in the folder of Gateway
	Dir        string            // folder for configurations, data and logs
	MemoryMB   float64           // memory limit in the configuration of the api gateways, in megabytes
	Env        []string          // additional environment variables of the api gateways
	Report     func(text string) // called with errors of processes

	directPeers bool // members of the quota store connect to each other without links
}

// Play runs a script with the values that the seed draws, and returns the result.
func Play(ctx context.Context, script *scenario.Scenario, seed uint64, o Options) (*Result, error) {
	if err := Check(script); err != nil {
		return nil, err
	}
	drawn := script.Draw(seed)
	gateways := drawn.Fleet.Gateways.Int()
	if err := removeLogs(o.Dir, gateways); err != nil {
		return nil, err
	}
	f := newInjector(drawn, seed)
	f.logs = newLogFollower(o.Dir, gateways)
	defer f.close()
	var envOf func(int) []string
	if drawn.QuotaStore.Count.Int() > 0 {
		if o.QuotaStore == "" {
			o.QuotaStore = filepath.Join(filepath.Dir(o.Gateway), "otterseam-quotastore")
		}
		var err error
		f.store, err = startStore(ctx, f, o, &drawn.QuotaStore, seed)
		defer f.store.stop()
		if err != nil {
			return nil, err
		}
		if envOf, err = f.store.gatewayEnvironments(gateways); err != nil {
			return nil, err
		}
	}
	return f.play(ctx, o, envOf)
}

// removeLogs removes the logs of an earlier run in the same folder.
func removeLogs(dir string, gateways int) error {
	for gateway := range gateways {
		if err := os.Remove(logPath(dir, gateway)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

// play runs the script after the quota store has started, and evaluates the result.
func (f *injector) play(ctx context.Context, o Options, envOf func(int) []string) (*Result, error) {
	gateways := f.script.Fleet.Gateways.Int()
	recorder := &finalStateRecorder{injector: f, running: make([]bool, gateways)}
	figures, world, err := sockets.Play(ctx, f.script, f.seed, sockets.Options{
		Gateway:     o.Gateway,
		Dir:         o.Dir,
		MemoryMB:    o.MemoryMB,
		Env:         o.Env,
		EnvOf:       envOf,
		Report:      o.Report,
		Interceptor: recorder,
	})
	if f.world != nil {
		f.logs.stop()
	}
	if err != nil {
		return nil, err
	}
	result := &Result{
		Script:        f.script,
		Seed:          f.seed,
		Gateways:      gateways,
		Figures:       figures,
		Spans:         f.spans,
		Lines:         f.logs.snapshot(),
		Datagrams:     float64(f.datagramCount()),
		FaultsApplied: f.faultsApplied,
		Running:       recorder.running,
	}
	if f.store != nil {
		result.Audit = f.store.audit()
		for _, violation := range world.Oracle.Violations {
			if violation.Rule == duplicateExecutionRule {
				result.Audit.SecondEffects = append(result.Audit.SecondEffects, violation.String())
			}
		}
	}
	result.checkExpectations(world.Oracle.ExpectationFailed)
	figures.ViolationCount = world.Oracle.Total
	figures.Violations = world.Oracle.Violations
	result.Broken = f.describeViolations(world.Oracle.Violations)
	return result, nil
}

// finalStateRecorder is the injector, extended to record which api gateways run when the scenario ends.
type finalStateRecorder struct {
	*injector
	running []bool // by api gateway
}

// End records which api gateways run.
func (e *finalStateRecorder) End(g *sockets.Gateways) {
	for gateway := range e.running {
		e.running[gateway] = g.Process(gateway) != nil
	}
}

func logPath(dir string, gateway int) string {
	return filepath.Join(dir, fmt.Sprintf("edge-%d.log", gateway))
}
