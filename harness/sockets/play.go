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
	// maxListeners is how many listeners of hosts one machine should hold.
	maxListeners = 4000
	// startLimit is how long the loop runs at most until all api gateways are ready, in seconds.
	startLimit = 3600
	// forgetAfter is how long an invocation that has ended is still known, in seconds.
	forgetAfter = 5
	// reportedLateness is how late an event has to come, in seconds, for that to be reported.
	reportedLateness = 0.02
)

// UnplayableError says what of a scenario can't be played on sockets.
type UnplayableError struct {
	Scenario string
	Reason   string
}

// Error names the scenario and the reason.
func (e *UnplayableError) Error() string { return e.Scenario + ": " + e.Reason }

// Check returns an *UnplayableError if something of a scenario can't be played on sockets.
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

// externalPolicy stands for the policy of api gateways that run elsewhere; its text names them.
type externalPolicy string

// Name is the text.
func (p externalPolicy) Name() string { return string(p) }

// Err is never one.
func (p externalPolicy) Err() error { return nil }

// Close does nothing.
func (p externalPolicy) Close() {}

var errExternalGateways = errors.New("the api gateways of this day stand elsewhere")

// NewPolicy makes none: the simulation has no api gateway of its own.
func (p externalPolicy) NewPolicy(*simulation.Simulation, int, uint64, policydriver.Output) (gatewaymodel.Policy, error) {
	return nil, errExternalGateways
}

// Options say with what a scenario is played on sockets.
type Options struct {
	Gateway     string                     // path of the api gateway's program
	Dir         string                     // for configurations and logs
	MemoryMB    float64                    // limit that an api gateway is told, in megabytes
	Report      func(text string)          // told of what happens to processes
	Interceptor Interceptor                // nil: none
	Env         []string                   // further variables for the api gateways
	EnvOf       func(gateway int) []string // and for each of them; nil: none
}

// run is a scenario that is played on sockets.
type run struct {
	options    Options
	simulation *simulation.Simulation
	clients    *Clients
	standIns   *StandIns
	gateways   *Gateways
}

// Play plays a scenario on sockets: it starts a process for each api gateway, lets the customers send requests once all are ready, and
// ends the processes it started. It returns ctx's error, with the results so far, if ctx ended.
func Play(ctx context.Context, d *scenario.Scenario, seed uint64, o Options) (*metrics.Results, *simulation.Simulation, error) {
	if err := Check(d); err != nil {
		return nil, nil, err
	}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	r := newRun(d, seed, o)
	err := r.open(playing)
	if r.standIns != nil {
		defer r.standIns.Close()
	}
	if err != nil {
		return nil, nil, err
	}
	if err := r.startGateways(playing); err != nil {
		return nil, nil, err
	}
	r.begin()
	r.clients.loop.resume(playing, r.simulation.EndTime())
	r.standIns.interceptor.End(r.gateways)
	stop() // no api gateway comes back any more
	r.gateways.end()
	r.clients.waitForAnswers()
	results := r.simulation.Finish()
	if lateness := r.clients.loop.maxLateness; lateness > reportedLateness {
		o.Report(fmt.Sprintf("this machine was too busy: an event came %.0f ms late", 1000*lateness))
	}
	return results, r.simulation, ctx.Err()
}

func newRun(d *scenario.Scenario, seed uint64, o Options) *run {
	r := &run{options: o, clients: &Clients{judge: true}}
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
	s.beginsAt = unixNow()
	s.onForeignRef = func(ref string) {
		w.Oracle.ForeignContent(ref, fmt.Sprintf("a host got %.40q, which no client has sent", ref))
	}
	r.clients.onSend = func(inv *model.Invocation) { s.invocations[inv.Ref] = inv }
	r.clients.onEnd = func(inv *model.Invocation) {
		w.Queue.ScheduleAfter(forgetAfter, func() { delete(s.invocations, inv.Ref) })
	}
	paths, addresses, err := s.writeConfigs(r.options.Dir, count, r.options.MemoryMB, nil)
	if err != nil {
		return err
	}
	for gateway := range count {
		if r.clients.addresses[gateway], err = s.interceptor.ClientAddress(gateway, addresses[gateway]); err != nil {
			return err
		}
		s.hostsTold(gateway, s.HostList(gateway), true)
	}
	r.gateways = &Gateways{
		ctx:       ctx,
		options:   r.options,
		clients:   r.clients,
		configs:   paths,
		addresses: addresses,
		current:   make([]*childprocess.Process, count),
		onRestart: r.forgetHostsTold(),
	}
	return nil
}

// forgetHostsTold gives what is to be done when a process starts anew: it knows the hosts of its configuration, as they are now.
func (r *run) forgetHostsTold() func(gateway int) {
	s := r.standIns
	configured := make([][]policy.HostEntry, len(r.clients.addresses))
	for gateway := range configured {
		configured[gateway] = s.HostList(gateway)
	}
	return func(gateway int) {
		r.simulation.Oracle.GatewayStarted(gateway)
		s.told[gateway] = map[string]policy.HostEntry{}
		s.hostsTold(gateway, configured[gateway], true)
	}
}

// startGateways starts the processes. The stand-ins must answer meanwhile, so that the loop runs; the scenario itself begins later.
func (r *run) startGateways(ctx context.Context) error {
	starting, ready := context.WithCancel(ctx)
	looped := make(chan struct{})
	go func() {
		r.clients.loop.run(starting, startLimit)
		close(looped)
	}()
	err := r.gateways.startAll()
	ready()
	<-looped
	if err != nil {
		r.gateways.end()
	}
	return err
}

// begin begins the scenario. What has happened until now is connections and watches alone.
func (r *run) begin() {
	w := r.simulation
	w.Begin()
	w.KillGateway = func(gateway int, down float64, gently bool) {
		r.options.Report(fmt.Sprintf("%.1f s: api gateway %d ends", w.Queue.Now(), gateway))
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

// unixNow is the present time in seconds since 1970.
func unixNow() float64 { return float64(time.Now().UnixNano()) / 1e9 }
