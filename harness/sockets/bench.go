package sockets

// This file owns a day on sockets as a whole: stand-ins, clients and api gateway processes of our own, started and ended
// here and nowhere else.

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

// nobody is the decider of a day whose api gateways stand elsewhere.
type nobody string

func (n nobody) Name() string { return string(n) }
func (n nobody) Err() error   { return nil }
func (n nobody) Close()       {}

func (n nobody) NewPolicy(*simulation.Simulation, int, uint64, policydriver.Output) (gatewaymodel.Policy, error) {
	return nil, errors.New("the api gateways of this day stand elsewhere")
}

// Check says what of a day can't be played on sockets.
func Check(d *scenario.Day) error {
	if n := int(d.Fleet.Gateways.Hi) * int(d.Fleet.Hosts.Hi); n > 4000 {
		return fmt.Errorf("%s: %d api gateways times %d hosts are more listeners than one machine should hold: at most 4000", d.Name,
			int(d.Fleet.Gateways.Hi), int(d.Fleet.Hosts.Hi))
	}
	for _, t := range d.Troubles {
		switch t.Kind {
		case "starve", "mail-loss":
			return fmt.Errorf("%s: the trouble %s can be played by the model only", d.Name, t.Kind)
		}
	}
	return nil
}

// RunStandIns plays a day's hosts, counter and discovery until it is over or ctx ends; configurations for the api gateways
// are written into dir first. ready is told their paths.
func RunStandIns(ctx context.Context, d *scenario.Day, seed uint64, dir string, listens []string, ready func(paths []string)) (*metrics.Results, error) {
	if err := Check(d); err != nil {
		return nil, err
	}
	door := &nobodyAsks{}
	var s *StandIns
	w := simulation.New(d, seed, nobody("stand-ins"), simulation.ExternalGateways(door, func(g int, l policy.HostEntry) { s.Told(g, l) }))
	w.Oracle.AllowsHedging = true
	p := newPump(w.Queue)
	n := w.Day.Fleet.Gateways.N()
	var err error
	if s, err = stand(w, p, n, nil); s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	s.base = float64(time.Now().UnixNano()) / 1e9
	paths, _, err := s.Write(dir, n, 64, listens)
	if err != nil {
		return nil, err
	}
	ready(paths)
	w.BeginWithoutClients()
	p.run(ctx, w.Day.Length.V()) // the day begins with the pump
	return w.Finish(), nil
}

// nobodyAsks is the door of a day without clients.
type nobodyAsks struct{}

func (nobodyAsks) Submit(*model.Invocation) bool         { return false }
func (nobodyAsks) Admits(int) bool                       { return true }
func (nobodyAsks) RequestCreated(*model.Request)         {}
func (nobodyAsks) RequestClosed(*model.Request, float64) {}
func (nobodyAsks) InvocationSent(*model.Invocation)      {}
func (nobodyAsks) InvocationEnded(model.Outcome)         {}

// RunClients lets a day's customers ask api gateways at addresses on loopback, and gives what they got. Nobody knows here
// whether there was room.
func RunClients(ctx context.Context, d *scenario.Day, seed uint64, addrs []string) (*metrics.Results, float64, error) {
	for _, a := range addrs {
		if err := loopback(a); err != nil {
			return nil, 0, err
		}
	}
	c := &Clients{addrs: addrs}
	w := simulation.New(d, seed, nobody("load"), simulation.ExternalGateways(c, func(int, policy.HostEntry) {}))
	c.attach(w)
	w.Begin()
	c.pump.run(ctx, w.EndTime())
	c.drain()
	return w.Finish(), c.pump.late, nil
}

func (c *Clients) attach(w *simulation.Simulation) {
	c.Simulation, c.pump = w, newPump(w.Queue)
	for range c.addrs {
		c.up = append(c.up, true)
		c.idle = append(c.idle, map[*client]bool{})
	}
}

// drain waits for what is still asked; its time is over anyway.
func (c *Clients) drain() {
	done := make(chan bool)
	go func() { c.flying.Wait(); close(done) }()
	for {
		select {
		case <-c.pump.in:
		case <-done:
			c.mu.Lock()
			for _, idle := range c.idle {
				for k := range idle {
					k.tcp.Close()
				}
			}
			c.mu.Unlock()
			return
		}
	}
}

// Options say with what a day is played on sockets.
type Options struct {
	Gateway string // the program of the api gateway
	Dir     string // for configurations and logs
	Memory  float64
	Tell    func(text string)
	Rig     Interceptor                     // nil: none
	Env     []string                // further variables for the api gateways
	EnvOf   func(slot int) []string // and for each of them; nil: none
}

// Play plays a day on sockets: it starts an api gateway process for each, lets the customers ask once all are ready, and
// ends the processes it started.
func Play(ctx context.Context, d *scenario.Day, seed uint64, o Options) (*metrics.Results, *simulation.Simulation, error) {
	if err := Check(d); err != nil {
		return nil, nil, err
	}
	outer := ctx
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := &Clients{judge: true}
	var s *StandIns
	w := simulation.New(d, seed, nobody("sockets"), simulation.ExternalGateways(c, func(g int, l policy.HostEntry) { s.Told(g, l) }))
	w.Oracle.AllowsHedging = true
	n := w.Day.Fleet.Gateways.N()
	for range n {
		c.addrs = append(c.addrs, "")
	}
	c.attach(w)
	var err error
	if s, err = stand(w, c.pump, n, o.Rig); s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, nil, err
	}
	c.rig = o.Rig
	w.OnTrace = s.rig.TraceInvocation
	s.base = float64(time.Now().UnixNano()) / 1e9
	s.lost = func(ref string) {
		w.Oracle.ForeignContent(ref, fmt.Sprintf("a host got %.40q, which no client has sent", ref))
	}
	c.began = func(inv *model.Invocation) { s.known[inv.Ref] = inv }
	c.ended = func(inv *model.Invocation) { w.Queue.ScheduleAfter(5, func() { delete(s.known, inv.Ref) }) }
	paths, addrs, err := s.Write(o.Dir, n, o.Memory, nil)
	if err != nil {
		return nil, nil, err
	}
	for g := range n {
		if c.addrs[g], err = s.rig.ClientAddress(g, addrs[g]); err != nil {
			return nil, nil, err
		}
		s.tell(g, s.HostList(g), true)
	}
	// The stand-ins must answer while the api gateways start; the day itself begins once all are ready.
	starting, ready := context.WithCancel(ctx)
	pumped := make(chan bool)
	go func() { c.pump.run(starting, 3600); close(pumped) }()
	g := &Gateways{ctx: ctx, o: o, clients: c, paths: paths, addrs: addrs, procs: make([]*childprocess.Process, n)}
	first := make([][]policy.HostEntry, n)
	for slot := range n {
		first[slot] = s.HostList(slot)
	}
	g.anew = func(slot int) {
		w.Oracle.GatewayStarted(slot)
		s.told[slot] = map[string]policy.HostEntry{}
		s.tell(slot, first[slot], true)
	}
	for slot := range n {
		if g.procs[slot], err = g.launch(slot); err == nil {
			err = healthy(ctx, addrs[slot], g.procs[slot])
		}
		if err != nil {
			ready()
			<-pumped
			g.end()
			return nil, nil, fmt.Errorf("api gateway %d does not come up: %w (its log is in %s)", slot, err, o.Dir)
		}
	}
	ready()
	<-pumped
	// The model's clock starts anew for the day: what has happened so far is connections and watches alone.
	w.Begin()
	w.KillGateway = func(slot int, down float64, gently bool) {
		o.Tell(fmt.Sprintf("%.1f s: api gateway %d ends", w.Queue.Now(), slot))
		if gently {
			g.Term(slot)
		} else {
			g.Kill(slot)
		}
		g.Back(slot, down)
	}
	g.begun = true
	s.rig.Begin(w, g)
	c.pump.resume(ctx, w.EndTime())
	s.rig.End(g)
	stop() // nobody comes back any more
	g.end()
	c.drain()
	f := w.Finish()
	if c.pump.late > 0.02 {
		o.Tell(fmt.Sprintf("this machine was too busy: an event came %.0f ms late", 1000*c.pump.late))
	}
	return f, w, outer.Err()
}
