package sockets

import (
	"context"
	"errors"
	"fmt"
	"time"

	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/harness/childprocess"
	"otterseam/sim/gatewaymodel"
	"otterseam/sim/metrics"
	"otterseam/sim/model"
	"otterseam/sim/scenario"
	"otterseam/sim/simulation"
)

const (
	// maxListeners is the maximum number of host listeners on one machine.
	maxListeners = 4000
	// maxStartTime is the maximum time that the loop runs while the api gateways start, in seconds.
	maxStartTime = 3600
	// endedInvocationTTL is the time for which an ended invocation is kept, in seconds.
	endedInvocationTTL = 5
	// minReportedLateness is the event delay above which the delay is reported, in seconds.
	minReportedLateness = 0.02
)

// UnplayableError reports why a scenario can't be played on sockets.
type UnplayableError struct {
	Scenario string
	Reason   string
}

// Error returns the scenario's name and the reason.
func (e *UnplayableError) Error() string { return e.Scenario + ": " + e.Reason }

// Check returns an *UnplayableError if a scenario has too many listeners or a fault that can't be played on sockets.
func Check(d *scenario.Scenario) error {
	gateways := int(d.Fleet.Gateways.Hi)
	hosts := int(d.Fleet.Hosts.Hi)
	if gateways*hosts > maxListeners {
		return &UnplayableError{Scenario: d.Name, Reason: fmt.Sprintf(
			"%d api gateways times %d hosts are more listeners than one machine should hold: at most %d", gateways, hosts, maxListeners)}
	}
	for _, trouble := range d.Faults {
		switch trouble.Kind {
		case "starve", "mail-loss":
			return &UnplayableError{Scenario: d.Name, Reason: fmt.Sprintf("the trouble %s can be played by the model only", trouble.Kind)}
		}
	}
	return nil
}

// externalPolicy is the policy name of api gateways that run outside the simulation.
type externalPolicy string

// Name returns the policy name.
func (p externalPolicy) Name() string { return string(p) }

// Err returns nil.
func (p externalPolicy) Err() error { return nil }

// Close does nothing.
func (p externalPolicy) Close() {}

var errExternalGateways = errors.New("the api gateways of this scenario run outside the simulation")

// NewPolicy returns an error, since the simulation has no api gateway of its own.
func (p externalPolicy) NewPolicy(*simulation.Simulation, int, uint64, policydriver.Output) (gatewaymodel.Policy, error) {
	return nil, errExternalGateways
}

// Options configures how a scenario is played on sockets.
type Options struct {
	Gateway     string                     // path of the api gateway's executable
	Dir         string                     // for configurations and logs
	MemoryMB    float64                    // memory limit in the api gateways' configuration, in megabytes
	Report      func(text string)          // called with messages about process exits, failed starts and late events
	Interceptor Interceptor                // nil: none
	Env         []string                   // additional environment variables of all api gateways
	EnvOf       func(gateway int) []string // additional environment variables by api gateway; nil: none
}

// run is a scenario that is played on sockets.
type run struct {
	options    Options
	simulation *simulation.Simulation
	clients    *Clients
	standIns   *StandIns
	gateways   *Gateways
}

// Play plays a scenario on sockets. It starts a process for each api gateway, sends the customers' requests once all are ready, and stops the
// processes at the end. If ctx is done early, it returns the results so far and ctx's error.
func Play(ctx context.Context, d *scenario.Scenario, seed uint64, o Options) (*metrics.Results, *simulation.Simulation, error) {
	if err := Check(d); err != nil {
		return nil, nil, err
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	r := newRun(d, seed, o)
	err := r.open(runCtx)
	if r.standIns != nil {
		defer r.standIns.Close()
	}
	if err != nil {
		return nil, nil, err
	}
	if err := r.startGateways(runCtx); err != nil {
		return nil, nil, err
	}
	r.begin()
	r.clients.loop.resume(runCtx, r.simulation.EndTime())
	r.standIns.interceptor.End(r.gateways)
	stop() // no api gateway is restarted from here on
	r.gateways.end()
	r.clients.waitForAnswers()
	results := r.simulation.Finish()
	if lateness := r.clients.loop.maxLateness; lateness > minReportedLateness {
		o.Report(fmt.Sprintf("this machine was too busy: an event ran %.0f ms late", 1000*lateness))
	}
	return results, r.simulation, ctx.Err()
}

func newRun(d *scenario.Scenario, seed uint64, o Options) *run {
	r := &run{options: o, clients: &Clients{reportToOracle: true}}
	external := simulation.ExternalGateways(r.clients, func(gateway int, host policy.HostEntry) { r.standIns.HostChanged(gateway, host) })
	r.simulation = simulation.New(d, seed, externalPolicy("sockets"), external)
	r.simulation.Oracle.AllowsHedging = true
	r.clients.addresses = make([]string, r.simulation.Day.Fleet.Gateways.Int())
	r.clients.attach(r.simulation)
	return r
}

// open opens the listeners of the stand-ins and writes the configurations of the api gateways.
func (r *run) open(ctx context.Context) error {
	w := r.simulation
	count := len(r.clients.addresses)
	var err error
	if r.standIns, err = newStandIns(w, r.clients.loop, count, r.options.Interceptor); err != nil {
		return err
	}
	s := r.standIns
	r.clients.interceptor = r.options.Interceptor
	w.OnTrace = s.interceptor.TraceInvocation
	s.startUnix = unixNow()
	s.onUnknownRef = func(ref string) {
		w.Oracle.ForeignContent(ref, fmt.Sprintf("a host got %.40q, which no client has sent", ref))
	}
	r.clients.onSend = func(inv *model.Invocation) { s.invocations[inv.Ref] = inv }
	r.clients.onEnd = func(inv *model.Invocation) {
		w.Queue.ScheduleAfter(endedInvocationTTL, func() { delete(s.invocations, inv.Ref) })
	}
	paths, addresses, err := s.writeConfigs(r.options.Dir, count, r.options.MemoryMB, nil)
	if err != nil {
		return err
	}
	for gateway := range count {
		if r.clients.addresses[gateway], err = s.interceptor.ClientAddress(gateway, addresses[gateway]); err != nil {
			return err
		}
		s.hostsDelivered(gateway, s.HostList(gateway), true)
	}
	r.gateways = &Gateways{
		ctx:       ctx,
		options:   r.options,
		clients:   r.clients,
		configs:   paths,
		addresses: addresses,
		current:   make([]*childprocess.Process, count),
		onRestart: r.hostResetFunc(),
	}
	return nil
}

// hostResetFunc returns the function to call before a process restarts. That function resets the hosts known to the api gateway to those of
// its configuration, which are the hosts at the time when hostResetFunc is called.
func (r *run) hostResetFunc() func(gateway int) {
	s := r.standIns
	configured := make([][]policy.HostEntry, len(r.clients.addresses))
	for gateway := range configured {
		configured[gateway] = s.HostList(gateway)
	}
	return func(gateway int) {
		r.simulation.Oracle.GatewayStarted(gateway)
		s.delivered[gateway] = map[string]policy.HostEntry{}
		s.hostsDelivered(gateway, configured[gateway], true)
	}
}

// startGateways starts the processes. The event loop runs in the meantime, because the stand-ins must answer while api gateways start. The
// scenario itself begins later.
func (r *run) startGateways(ctx context.Context) error {
	startCtx, cancelStart := context.WithCancel(ctx)
	loopDone := make(chan struct{})
	go func() {
		r.clients.loop.run(startCtx, maxStartTime)
		close(loopDone)
	}()
	err := r.gateways.startAll()
	cancelStart()
	<-loopDone
	if err != nil {
		r.gateways.end()
	}
	return err
}

// begin starts the scenario. Before it, the api gateways have only opened connections and watches.
func (r *run) begin() {
	w := r.simulation
	w.Begin()
	w.KillGateway = func(gateway int, down float64, gently bool) {
		r.options.Report(fmt.Sprintf("%.1f s: stopping api gateway %d", w.Queue.Now(), gateway))
		if gently {
			r.gateways.Terminate(gateway)
		} else {
			r.gateways.Kill(gateway)
		}
		r.gateways.RestartAfter(gateway, down)
	}
	r.gateways.running = true
	r.standIns.interceptor.Begin(w, r.gateways)
}

// unixNow returns the current Unix time in seconds.
func unixNow() float64 { return float64(time.Now().UnixNano()) / 1e9 }
