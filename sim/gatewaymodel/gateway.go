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

// ownZone is the word by which a scenario puts a counter into the zone of each api gateway.
const ownZone = "own"

// Gateway is the machine of one api gateway.
type Gateway struct {
	Slot, Zone    int
	Alive         bool
	Admits        bool // the load balancer in front sends it invocations
	SeesSplitCopy bool // while the counter is split, its calls go to the second replica
	Policy        Policy

	clock       *eventqueue.Queue
	network     *network.Network
	counter     *countermodel.Counter
	counterZone int
	scenario    *scenario.Scenario
	environment Environment

	costPerEvent float64 // seconds for each thing that it handles, at its share of a core
	cpuFactor    float64 // part of that share which faults leave it
	busyUntil    float64
	incarnation  int // counts its starts and ends: what belongs to an earlier one is void

	pending          map[string]*model.Invocation // by ref
	inFlight         map[*model.Attempt]*flight
	idleConnections  map[*hostmodel.Host][]connection // the one used last at the end
	lastCounterReply map[int]float64                  // by partition: when its last reply arrives; replies keep their order
}

var _ policydriver.Output = (*Gateway)(nil)

// New makes an api gateway; Start starts it.
func New(
	slot, zone int, clock *eventqueue.Queue, paths *network.Network, counter *countermodel.Counter, day *scenario.Scenario,
	environment Environment,
) *Gateway {
	gateway := &Gateway{
		Slot:         slot,
		Zone:         zone,
		clock:        clock,
		network:      paths,
		counter:      counter,
		scenario:     day,
		environment:  environment,
		costPerEvent: day.Gateway.Cost.Float() / day.Gateway.CoreShare.Float(),
		cpuFactor:    1,
	}
	if day.Counter.Zone == ownZone {
		gateway.counterZone = zone
	}
	return gateway
}

// Start begins an incarnation that holds nothing, with the list of hosts as it was last told.
func (g *Gateway) Start(decide Policy, list []policy.HostEntry) {
	g.incarnation++
	g.Alive = true
	g.Admits = true
	g.Policy = decide
	g.busyUntil = g.clock.Now()
	g.pending = map[string]*model.Invocation{}
	g.inFlight = map[*model.Attempt]*flight{}
	g.idleConnections = map[*hostmodel.Host][]connection{}
	g.lastCounterReply = map[int]float64{}
	decide.UpdateHosts(g.clock.Now(), list, true)
	decide.SetTimers(g.clock.Now())
}

// PendingInvocations is how many invocations it holds.
func (g *Gateway) PendingInvocations() int { return len(g.pending) }

// AttemptsInFlight is how many attempts have not ended for it.
func (g *Gateway) AttemptsInFlight() int { return len(g.inFlight) }

// ScaleCPU leaves it a part of its share of a core, or gives that back.
func (g *Gateway) ScaleCPU(factor float64, begin bool) {
	if begin {
		g.cpuFactor *= factor
	} else {
		g.cpuFactor /= factor
	}
}

// handle has the policy deal with something once the gateway has had a turn on its core.
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

// afterDelayTo calls back once a message from the gateway's zone has reached another.
func (g *Gateway) afterDelayTo(zone int, callback func()) {
	g.clock.ScheduleAfter(g.network.Delay(g.Zone, zone), callback)
}

// HostChanged brings a change of the list of hosts.
func (g *Gateway) HostChanged(change policy.HostEntry) {
	if g.Alive {
		g.handle(func(now float64) { g.Policy.UpdateHosts(now, []policy.HostEntry{change}, false) })
	}
}

// PeerMessage brings a message of another api gateway.
func (g *Gateway) PeerMessage(from int, text string) {
	if g.Alive {
		g.handle(func(now float64) { g.Policy.PeerMessage(now, from, text) })
	}
}

// SendPeer sends a message to an api gateway or to all others.
func (g *Gateway) SendPeer(to int, text string) { g.environment.SendPeerMessage(g.Slot, to, text) }

// Log writes a line of the gateway's log.
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

// Kill ends the gateway without a shutdown: what it holds is lost to its clients, what it has sent goes on.
func (g *Gateway) Kill() {
	if !g.Alive {
		return
	}
	g.Alive = false
	g.Admits = false
	g.incarnation++
	for _, each := range g.sortedFlights() {
		each.attempt.Ended = true
		g.closeConnection(each)
		g.environment.AttemptReleased(each.attempt)
	}
	for host, connections := range g.idleConnections { // each host's own sum: the order does not show
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

// breakConnection has a client's connection end without an answer.
func (g *Gateway) breakConnection(invocation *model.Invocation) {
	invocation.Outcome = model.Broken
	g.environment.Trace(g.Slot, invocation.Ref, "its api gateway is killed")
	g.afterDelayTo(g.Zone, func() { g.environment.DeliverAnswer(invocation, model.Broken, 0, false) })
}

func (g *Gateway) sortedFlights() []*flight {
	flights := make([]*flight, 0, len(g.inFlight))
	for _, each := range g.inFlight {
		flights = append(flights, each)
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
	for _, each := range g.pending {
		invocations = append(invocations, each)
	}
	slices.SortFunc(invocations, func(a, b *model.Invocation) int { return cmp.Compare(a.Number, b.Number) })
	return invocations
}
