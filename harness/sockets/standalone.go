package sockets

import (
	"context"

	"otterseam/gateway/policy"
	"otterseam/sim/metrics"
	"otterseam/sim/model"
	"otterseam/sim/scenario"
	"otterseam/sim/simulation"
)

// standAloneMemoryMB is the memory limit that api gateways of RunStandIns are told, in megabytes.
const standAloneMemoryMB = 64

// RunStandIns plays a scenario's hosts, counter and discovery until its length is over or ctx ends. Configurations for api gateways, which
// listen at the addresses given, are written into dir first; ready is told their paths.
func RunStandIns(ctx context.Context, d *scenario.Scenario, seed uint64, dir string, listens []string, ready func(paths []string)) (*metrics.Results, error) {
	if err := Check(d); err != nil {
		return nil, err
	}
	var s *StandIns
	external := simulation.ExternalGateways(&noClients{}, func(gateway int, host policy.HostEntry) { s.HostChanged(gateway, host) })
	w := simulation.New(d, seed, externalPolicy("stand-ins"), external)
	w.Oracle.AllowsHedging = true
	loop := newEventLoop(w.Queue)
	count := w.Day.Fleet.Gateways.Int()
	s, err := newStandIns(w, loop, count, nil)
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	s.beginsAt = unixNow()
	paths, _, err := s.writeConfigs(dir, count, standAloneMemoryMB, listens)
	if err != nil {
		return nil, err
	}
	ready(paths)
	w.BeginWithoutClients()
	loop.run(ctx, w.Day.Length.Float()) // the scenario begins with the loop
	return w.Finish(), nil
}

// RunClients lets a scenario's customers send requests to api gateways at addresses on loopback. It returns what they got, and how late an
// event came at most, in seconds. Nobody knows here whether there was quota left. It returns an *AddressError for an address elsewhere.
func RunClients(ctx context.Context, d *scenario.Scenario, seed uint64, addresses []string) (*metrics.Results, float64, error) {
	for _, address := range addresses {
		if err := checkLoopback(address); err != nil {
			return nil, 0, err
		}
	}
	c := &Clients{addresses: addresses}
	w := simulation.New(d, seed, externalPolicy("load"), simulation.ExternalGateways(c, func(int, policy.HostEntry) {}))
	c.attach(w)
	w.Begin()
	c.loop.run(ctx, w.EndTime())
	c.waitForAnswers()
	return w.Finish(), c.loop.maxLateness, nil
}

// noClients is the way to api gateways of a scenario without clients.
type noClients struct{}

// Submit accepts nothing.
func (noClients) Submit(*model.Invocation) bool { return false }

// Admits is always so.
func (noClients) Admits(int) bool { return true }

// RequestCreated does nothing.
func (noClients) RequestCreated(*model.Request) {}

// RequestClosed does nothing.
func (noClients) RequestClosed(*model.Request, float64) {}

// InvocationSent does nothing.
func (noClients) InvocationSent(*model.Invocation) {}

// InvocationEnded does nothing.
func (noClients) InvocationEnded(model.Outcome) {}
