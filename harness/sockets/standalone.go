package sockets

import (
	"context"

	"otterseam/gateway/policy"
	"otterseam/sim/metrics"
	"otterseam/sim/model"
	"otterseam/sim/scenario"
	"otterseam/sim/simulation"
)

// standAloneMemoryMB is the memory limit in the configurations that RunStandIns writes, in megabytes.
const standAloneMemoryMB = 64

// RunStandIns runs a scenario's hosts, counter and discovery until the end of the scenario or until ctx is done. It first writes
// configurations for api gateways with the given listen addresses into dir and calls ready with their paths.
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
	s.startUnix = unixNow()
	paths, _, err := s.writeConfigs(dir, count, standAloneMemoryMB, listens)
	if err != nil {
		return nil, err
	}
	ready(paths)
	w.BeginWithoutClients()
	loop.run(ctx, w.Day.Length.Float()) // the loop's clock starts with the scenario
	return w.Finish(), nil
}

// RunClients sends the requests of a scenario's customers to api gateways at addresses on loopback. It returns the results and the largest
// delay of an event in seconds. Whether the quota had room for a throttled request is unknown here and assumed false. RunClients returns an
// *AddressError for an address that is not on loopback.
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

// noClients takes the place of the clients in a scenario without clients.
type noClients struct{}

// Submit returns false: no invocation is accepted.
func (noClients) Submit(*model.Invocation) bool { return false }

// Admits returns true.
func (noClients) Admits(int) bool { return true }

// RequestCreated does nothing.
func (noClients) RequestCreated(*model.Request) {}

// RequestClosed does nothing.
func (noClients) RequestClosed(*model.Request, float64) {}

// InvocationSent does nothing.
func (noClients) InvocationSent(*model.Invocation) {}

// InvocationEnded does nothing.
func (noClients) InvocationEnded(model.Outcome) {}
