package gatewaymodel

import (
	"cmp"
	"slices"

	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/sim/countermodel"
	"otterseam/sim/eventqueue"
	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/network"
	"otterseam/sim/scenario"
)

// ownZone is the value with which a scenario places a counter in the zone of each api gateway.
const ownZone = "own"

// Gateway is the machine of one api gateway.
type Gateway struct {
	Slot, Zone    int
	Alive         bool
	Admits        bool // the load balancer in front sends invocations to the gateway
	SeesSplitCopy bool // while the counter is split, the gateway's calls go to the second replica
	Policy        Policy

	clock       *eventqueue.Queue
	network     *network.Network
	counter     *countermodel.Counter
	counterZone int
	scenario    *scenario.Scenario
	environment Environment

	costPerEvent float64 // seconds for each event, at the gateway's share of a core
	cpuFactor    float64 // fraction of that share that faults leave
	busyUntil    float64
	incarnation  int // counts starts and ends; events of an earlier incarnation are ignored

	pending          map[string]*model.Invocation // by ref
	inFlight         map[*model.Attempt]*flight
	idleConnections  map[*hostmodel.Host][]connection // the most recently used last
	lastCounterReply map[int]float64                  // by partition: arrival of the last reply, as replies keep their order
}

var _ policydriver.Output = (*Gateway)(nil)

// New returns an api gateway that is not started.
func New(
	slot, zone int, clock *eventqueue.Queue, links *network.Network, counter *countermodel.Counter, config *scenario.Scenario,
	environment Environment,
) *Gateway {
	gateway := &Gateway{
		Slot:         slot,
		Zone:         zone,
		clock:        clock,
		network:      links,
		counter:      counter,
		scenario:     config,
		environment:  environment,
		costPerEvent: config.Gateway.Cost.Float() / config.Gateway.CoreShare.Float(),
		cpuFactor:    1,
	}
	if config.Counter.Zone == ownZone {
		gateway.counterZone = zone
	}
	return gateway
}

// Start begins an incarnation with no pending invocations. list holds the hosts as last published to this gateway.
func (g *Gateway) Start(decisionPolicy Policy, list []policy.HostEntry) {
	g.incarnation++
	g.Alive = true
	g.Admits = true
	g.Policy = decisionPolicy
	g.busyUntil = g.clock.Now()
	g.pending = map[string]*model.Invocation{}
	g.inFlight = map[*model.Attempt]*flight{}
	g.idleConnections = map[*hostmodel.Host][]connection{}
	g.lastCounterReply = map[int]float64{}
	decisionPolicy.UpdateHosts(g.clock.Now(), list, true)
	decisionPolicy.SetTimers(g.clock.Now())
}

// PendingInvocations returns the number of invocations that the gateway holds.
func (g *Gateway) PendingInvocations() int { return len(g.pending) }

// AttemptsInFlight returns the number of attempts that have not ended for the gateway.
func (g *Gateway) AttemptsInFlight() int { return len(g.inFlight) }

// ScaleCPU reduces the gateway's share of a core to the given fraction, or ends that reduction.
func (g *Gateway) ScaleCPU(factor float64, begin bool) {
	if begin {
		g.cpuFactor *= factor
	} else {
		g.cpuFactor /= factor
	}
}

// handle runs an event once the gateway has core time for it, and then has the policy set its timers.
func (g *Gateway) handle(event func(now float64)) {
	incarnation := g.incarnation
	g.busyUntil = max(g.clock.Now(), g.busyUntil) + g.costPerEvent/g.cpuFactor
	g.clock.Schedule(g.busyUntil, func() {
		if g.incarnation == incarnation && g.Alive {
			event(g.clock.Now())
			g.Policy.SetTimers(g.clock.Now())
		}
	})
}

// afterDelayTo calls back after the network delay from the gateway's zone to another.
func (g *Gateway) afterDelayTo(zone int, callback func()) {
	g.clock.ScheduleAfter(g.network.Delay(g.Zone, zone), callback)
}

// HostChanged delivers a change of the host list.
func (g *Gateway) HostChanged(change policy.HostEntry) {
	if g.Alive {
		g.handle(func(now float64) { g.Policy.UpdateHosts(now, []policy.HostEntry{change}, false) })
	}
}

// PeerMessage delivers a message from another api gateway.
func (g *Gateway) PeerMessage(from int, text string) {
	if g.Alive {
		g.handle(func(now float64) { g.Policy.PeerMessage(now, from, text) })
	}
}

// SendPeer sends a message to an api gateway or to all others.
func (g *Gateway) SendPeer(to int, text string) { g.environment.SendPeerMessage(g.Slot, to, text) }

// Log writes a line to the gateway's log.
func (g *Gateway) Log(text string) { g.environment.Trace(g.Slot, "", text) }

// SetTimer has the policy's TimerFired called at a clock time.
func (g *Gateway) SetTimer(nonce uint64, at float64) {
	incarnation := g.incarnation
	g.clock.Schedule(at, func() {
		if g.incarnation == incarnation && g.Alive {
			g.handle(func(now float64) { g.Policy.TimerFired(now, nonce) })
		}
	})
}

// Kill ends the gateway without a shutdown. Clients of pending invocations lose their connections, and attempts already sent go on at
// their hosts.
func (g *Gateway) Kill() {
	if !g.Alive {
		return
	}
	g.Alive = false
	g.Admits = false
	g.incarnation++
	for _, f := range g.sortedFlights() {
		f.attempt.Ended = true
		g.closeConnection(f)
		g.environment.AttemptReleased(f.attempt)
	}
	for host, connections := range g.idleConnections { // each host has its own count, so the order has no effect
		for _, idle := range connections {
			if idle.incarnation == host.Incarnation {
				host.Connections--
			}
		}
	}
	for _, invocation := range g.sortedPending() {
		if invocation.Outcome == model.Pending {
			g.breakConnection(invocation)
		}
	}
	g.pending = nil
	g.inFlight = nil
	g.idleConnections = nil
}

// breakConnection closes a client's connection without an answer.
func (g *Gateway) breakConnection(invocation *model.Invocation) {
	invocation.Outcome = model.Broken
	g.environment.Trace(g.Slot, invocation.Ref, "its api gateway is killed")
	g.afterDelayTo(g.Zone, func() { g.environment.DeliverAnswer(invocation, model.Broken, 0, false) })
}

func (g *Gateway) sortedFlights() []*flight {
	flights := make([]*flight, 0, len(g.inFlight))
	for _, f := range g.inFlight {
		flights = append(flights, f)
	}
	slices.SortFunc(flights, func(a, b *flight) int {
		return cmp.Or(
			cmp.Compare(a.attempt.Invocation.Number, b.attempt.Invocation.Number),
			cmp.Compare(a.attempt.Number, b.attempt.Number))
	})
	return flights
}

func (g *Gateway) sortedPending() []*model.Invocation {
	invocations := make([]*model.Invocation, 0, len(g.pending))
	for _, invocation := range g.pending {
		invocations = append(invocations, invocation)
	}
	slices.SortFunc(invocations, func(a, b *model.Invocation) int { return cmp.Compare(a.Number, b.Number) })
	return invocations
}
