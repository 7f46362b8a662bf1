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

// secondEffectRule is the oracle's rule that nothing runs twice.
const secondEffectRule = 2

// Options say with what a script is played.
type Options struct {
	Gateway    string            // path of the api gateway's program
	QuotaStore string            // path of the quota store's; "": beside it
	Dir        string            // for configurations, folders and logs
	MemoryMB   float64           // limit that the api gateways are told, in megabytes
	Env        []string          // further variables of the api gateways
	Report     func(text string) // told of what happens to processes

	directPeers bool // members of the quota store reach each other without a link between them
}

// Play plays a script.
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
		defer f.store.end()
		if err != nil {
			return nil, err
		}
		if envOf, err = f.store.gatewayEnvironments(gateways); err != nil {
			return nil, err
		}
	}
	return f.play(ctx, o, envOf)
}

// removeLogs removes the logs of an earlier play in the same folder.
func removeLogs(dir string, gateways int) error {
	for gateway := range gateways {
		if err := os.Remove(logPath(dir, gateway)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

// play plays the script once the quota store runs, and judges it.
func (f *injector) play(ctx context.Context, o Options, envOf func(int) []string) (*Result, error) {
	gateways := f.script.Fleet.Gateways.Int()
	observed := &endObserver{injector: f, runs: make([]bool, gateways)}
	figures, world, err := sockets.Play(ctx, f.script, f.seed, sockets.Options{
		Gateway:     o.Gateway,
		Dir:         o.Dir,
		MemoryMB:    o.MemoryMB,
		Env:         o.Env,
		EnvOf:       envOf,
		Report:      o.Report,
		Interceptor: observed,
	})
	if f.world != nil {
		f.logs.end()
	}
	if err != nil {
		return nil, err
	}
	result := &Result{
		Script:   f.script,
		Seed:     f.seed,
		Gateways: gateways,
		Figures:  figures,
		Spans:    f.spans,
		Lines:    f.logs.all(),
		Datagrams:     float64(f.datagramCount()),
		FaultsApplied:   f.struck,
		Runs:     observed.runs,
	}
	if f.store != nil {
		result.Audit = f.store.audit()
		for _, violation := range world.Oracle.Violations {
			if violation.Rule == secondEffectRule {
				result.Audit.SecondEffects = append(result.Audit.SecondEffects, violation.String())
			}
		}
	}
	result.checkPromises(world.Oracle.ExpectationFailed)
	figures.ViolationCount = world.Oracle.Total
	figures.Violations = world.Oracle.Violations
	result.Broken = f.stories(world.Oracle.Violations)
	return result, nil
}

// endObserver is the injector, which also looks, as the scenario ends, at who runs.
type endObserver struct {
	*injector
	runs []bool // by api gateway
}

// End looks at who runs.
func (e *endObserver) End(g *sockets.Gateways) {
	for gateway := range e.runs {
		e.runs[gateway] = g.Process(gateway) != nil
	}
}

func logPath(dir string, gateway int) string {
	return filepath.Join(dir, fmt.Sprintf("edge-%d.log", gateway))
}
