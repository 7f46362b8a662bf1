// Package simulation owns a day being played: it makes all parts, lets them meet, and lets the day's troubles begin and end.
// It must never decide for an api gateway, nor judge.
package simulation

import (
	"fmt"
	"strings"

	"otterseam/gateway/membership"
	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/gateway/simprotocol"
	"otterseam/sim/countermodel"
	"otterseam/sim/discoverymodel"
	"otterseam/sim/eventqueue"
	"otterseam/sim/gatewaymodel"
	"otterseam/sim/gossip"
	"otterseam/sim/hostmodel"
	"otterseam/sim/metrics"
	"otterseam/sim/model"
	"otterseam/sim/network"
	"otterseam/sim/oracle"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
	"otterseam/sim/workload"
)

// PolicySource makes the minds of a day's api gateways.
type PolicySource interface {
	Name() string
	// Mind makes the mind of an api gateway that starts; out is its way out.
	NewPolicy(w *Simulation, slot int, seed uint64, out policydriver.Output) (gatewaymodel.Policy, error)
	// Err is what ended the decider, if something did; End lets go of what it holds.
	Err() error
	Close()
}

// Simulation is a day being played.
type Simulation struct {
	Day      *scenario.Day
	Seed     uint64
	Queue    *eventqueue.Queue
	Hosts    []*hostmodel.Host
	Gateways []*gatewaymodel.Gateway
	Workload *workload.Generator
	Counter  *countermodel.Counter
	Oracle   *oracle.Oracle
	Results  *metrics.Results

	net         *network.Network
	list        *discoverymodel.Registry
	peerNetwork *gossip.Network
	byAddr      map[string]*hostmodel.Host
	byKey       map[string]*model.Customer
	// Killer ends an api gateway that stands elsewhere, gently or not, and has it back after so many seconds.
	KillGateway func(slot int, down float64, gently bool)
	decider     PolicySource
	starts      uint64
	useful      float64
	alive       int
	err         error

	door workload.Environment
	tell func(gateway int, change policy.HostEntry)

	// Heard is told all that is noted of invocations, where it is set.
	OnTrace func(from int, ref, text string)

	story string   // the invocation whose story is told
	lines []string // it
	prog  func(at float64)
}

// Option changes how a day is played.
type Option func(*Simulation)

// WithStory has all that happens to one invocation written down.
func WithStory(ref string) Option { return func(w *Simulation) { w.story = ref } }

// ExternalGateways has the day's api gateways stand elsewhere, on sockets: tries go to door, and tell is called when one of them is
// told of a change of the list. The world then has hosts, counter, list and customers of its own, and no edges.
func ExternalGateways(door workload.Environment, tell func(gateway int, change policy.HostEntry)) Option {
	return func(w *Simulation) { w.door, w.tell = door, tell }
}

// WithProgress is called each second of the day.
func WithProgress(f func(at float64)) Option { return func(w *Simulation) { w.prog = f } }

// New makes the world of a day, drawn by a seed, with a decider.
func New(d *scenario.Day, seed uint64, dec PolicySource, opts ...Option) *Simulation {
	w := &Simulation{
		Day: d.Draw(seed), Seed: seed, Queue: &eventqueue.Queue{}, byAddr: map[string]*hostmodel.Host{}, byKey: map[string]*model.Customer{},
		decider: dec,
	}
	d = w.Day
	w.door, w.tell = w, w.told
	for _, o := range opts {
		o(w)
	}
	zones, n := d.Fleet.Zones.N(), d.Fleet.Gateways.N()
	w.net = network.New(&d.Network, zones, seed)
	w.Counter = countermodel.New(w.Queue, &d.Counter, seed)
	w.Oracle = oracle.New(d, n, w.Queue.Now)
	w.Results = metrics.New(d.Name, dec.Name(), seed)
	var list []policy.HostEntry
	for range d.Fleet.Hosts.N() {
		list = append(list, w.listed(w.newHost(0), "active"))
	}
	w.list = discoverymodel.New(w.Queue, &d.Discovery, n, seed, list, w.tell)
	w.peerNetwork = gossip.New(w.Queue, &d.Peers, n, seed)
	for slot := range n {
		if w.door != w {
			break
		}
		w.Gateways = append(w.Gateways, gatewaymodel.New(slot, slot%zones, w.Queue, w.net, w.Counter, d, w))
	}
	w.Workload = workload.New(w.Queue, d, seed, w.door)
	for _, c := range w.Workload.Customers {
		w.byKey[c.Key] = c
	}
	return w
}

// newHost adds a host; since is its start, 0: long ago.
func (w *Simulation) newHost(since float64) *hostmodel.Host {
	n, d := len(w.Hosts), w.Day
	whole := 0.0
	for i := range d.Hosts {
		whole += d.Hosts[i].Share.V()
	}
	kind := &d.Hosts[len(d.Hosts)-1]
	for u, i := randstream.New(w.Seed, "kind", n).Float64()*whole, 0; i < len(d.Hosts); i++ {
		if u -= d.Hosts[i].Share.V(); u < 0 {
			kind = &d.Hosts[i]
			break
		}
	}
	h := hostmodel.New(w.Queue, n, fmt.Sprintf("10.%d.%d.%d:9000", n>>16&255, n>>8&255, n&255), kind, &d.Cold, w.Seed)
	h.Zone, h.Cell, h.StartedAt = n%d.Fleet.Zones.N(), n/4, since
	h.OnOverload = func(sent []hostmodel.Arrival) {
		w.Oracle.HostOverloaded(h, sent)
		w.list.Publish(w.listed(h, "left"))
	}
	w.Hosts = append(w.Hosts, h)
	w.byAddr[h.Addr] = h
	return h
}

// ZoneName is how a zone is called.
func ZoneName(n int) string { return fmt.Sprintf("zone-%d", n) }

func (w *Simulation) listed(h *hostmodel.Host, state string) policy.HostEntry {
	return policy.HostEntry{Addr: h.Addr, Zone: ZoneName(h.Zone), Cell: h.Cell, State: state, StartedAt: h.StartedAt, Weight: 1}
}

// StartSettings are the start settings of an api gateway of this day, as the platform would give them.
func StartSettings(d *scenario.Day, slot int) simprotocol.Settings {
	var s simprotocol.Settings
	s.Gateways, s.Slot, s.Zone = d.Fleet.Gateways.N(), slot, ZoneName(slot%d.Fleet.Zones.N())
	s.Caps.Cancel, s.Caps.PeerMessages, s.Caps.MaxAttempts = d.Gateway.Cancel, d.Peers.Allowed, d.Gateway.Deliveries.N()
	s.Caps.IdleTimeout, s.Caps.DialTimeout = d.Network.Idle.V(), d.Network.Dial.V()
	for _, o := range d.Operations {
		effect := map[string]string{"idempotent": "idempotent", "tokened": "deduplicated", "non-idempotent": "at_most_once"}[o.Effect]
		s.Operations = append(s.Operations, simprotocol.Operation{
			Name: o.Name, LatencyTarget: o.Objective.V(), Timeout: o.Timeout.V(), Value: o.Value.V(),
			LateValue: o.Late.V(), Effect: effect, DedupScope: o.Group, DedupWindow: o.TokenTime.V(),
		})
	}
	for _, p := range d.Plans {
		s.Plans = append(s.Plans, simprotocol.Plan{
			Name: p.Name, Rate: p.Rate.V(), Burst: p.Burst.V(), MaxConcurrent: p.MaxOut.N(),
			CeilingRate: p.CeilingRate.V(), CeilingBurst: p.CeilingBurst.V(),
		})
	}
	s.SlowStart.InitialCapacity, s.SlowStart.Duration, s.SlowStart.OverloadFactor = d.Cold.Share.V(), d.Cold.Warm.V(), d.Cold.Factor.V()
	s.Shared.Counter, s.Shared.CounterTimeout, s.Shared.SettlesUnits = d.Counter.Present, d.Counter.Limit.V(), d.Counter.Settles
	s.Shared.MaxUnits = d.Clients.Units.V()
	if d.Peers.Allowed {
		s.Shared.PeerMessageRate = d.Peers.Mail.V()
	}
	return s
}

// Run plays the day to its end and beyond, until every need is closed, and gives its figures.
func (w *Simulation) Run() (*metrics.Results, error) {
	defer w.decider.Close()
	for slot := range w.Gateways {
		w.start(slot)
	}
	if w.err != nil {
		return nil, w.err
	}
	w.Begin()
	w.Queue.Run(w.EndTime())
	if w.err == nil {
		w.err = w.decider.Err()
	}
	if w.err != nil {
		return nil, w.err
	}
	return w.Finish(), nil
}

// Begin lets customers ask and troubles come, from the present moment on.
func (w *Simulation) Begin() {
	w.BeginWithoutClients()
	w.Workload.Start()
}

// BeginWithoutClients lets troubles come and nobody ask.
func (w *Simulation) BeginWithoutClients() {
	w.Results.StartedAt = w.Queue.Now()
	for i := range w.Day.Troubles {
		w.trouble(i, &w.Day.Troubles[i])
	}
	w.Queue.ScheduleAfter(1, w.second)
}

// EndTime is when every need is closed.
func (w *Simulation) EndTime() float64 {
	longest := 0.0
	for _, o := range w.Day.Operations {
		longest = max(longest, o.Timeout.V())
	}
	return w.Results.StartedAt + w.Day.Length.V() + longest + 1
}

// Finish adds up the figures of a day that is over.
func (w *Simulation) Finish() *metrics.Results {
	f := w.Results
	f.Finish(w.Workload.Customers)
	f.PeerMessages, f.Events, f.ViolationCount, f.Violations = w.peerNetwork.Sent, w.Queue.Fired, w.Oracle.Total, w.Oracle.Violations
	done := 0.0
	for _, h := range w.Hosts {
		done += h.BusyTime
	}
	if done > 0 {
		f.WastedWork = max(0, 1-w.useful/done)
	}
	f.Seconds = f.Seconds[:min(len(f.Seconds), int(w.Day.Length.V())+1)]
	return f
}

// Network is the way between the day's machines; List what an api gateway was last told.
func (w *Simulation) Network() *network.Network               { return w.net }
func (w *Simulation) HostList(gateway int) []policy.HostEntry { return w.list.HostList(gateway) }

// StoryLines is the story that was asked for, in time order.
func (w *Simulation) StoryLines() []string { return w.lines }

func (w *Simulation) start(slot int) {
	if w.err != nil || w.Queue.Stopped() {
		return
	}
	e := w.Gateways[slot]
	w.starts++
	mind, err := gatewaymodel.WithClockOffset(w.Day.Gateway.Clock.V(), e, func(out policydriver.Output) (gatewaymodel.Policy, error) {
		return w.decider.NewPolicy(w, slot, randstream.New(w.Seed, "mind", slot, int(w.starts)).Uint64()>>1, out)
	})
	if err != nil {
		w.err = err
		w.Queue.Stop()
		return
	}
	w.Oracle.GatewayStarted(slot)
	list := w.list.HostList(slot)
	for _, l := range list {
		w.Oracle.HostStateTold(slot, w.byAddr[l.Addr].Number, l.State, l.StartedAt)
	}
	e.Start(mind, list)
	w.alive++
}

func (w *Simulation) told(slot int, l policy.HostEntry) {
	if w.Gateways[slot].Alive {
		w.Oracle.HostStateTold(slot, w.byAddr[l.Addr].Number, l.State, l.StartedAt)
		w.Gateways[slot].HostChanged(l)
	}
}

// second takes the figures that stand at the end of each second.
func (w *Simulation) second() {
	now := w.Queue.Now()
	s := w.Results.SecondAt(now - 0.5)
	for _, e := range w.Gateways {
		s.AttemptsInFlight += float64(e.AttemptsInFlight())
	}
	cores := 0.0
	for _, h := range w.Hosts {
		if h.State != hostmodel.Down {
			cores += float64(h.Cores)
			s.CoreUtilization += float64(min(h.Cores, h.Load()))
			s.HostLoad += float64(h.Load())
			s.HostsUp++
		}
	}
	s.CoreUtilization /= max(1, cores)
	s.GatewaysAlive = float64(w.alive)
	if w.Counter.DropExpired(); w.prog != nil {
		w.prog(now)
	}
	if w.decider.Err() != nil {
		w.Queue.Stop()
	}
	if now < w.Results.StartedAt+w.Day.Length.V() {
		w.Queue.ScheduleAfter(1, w.second)
	}
}

// What the crowd asks for.

func (w *Simulation) Submit(inv *model.Invocation) bool { return w.Gateways[inv.Gateway].Submit(inv) }
func (w *Simulation) Admits(gateway int) bool           { return w.Gateways[gateway].Admits }

func (w *Simulation) RequestCreated(n *model.Request) {
	w.Results.FirstInvocations++
	w.Results.SecondAt(w.Queue.Now()).FirstInvocations++
	if n.WithinQuota = w.Oracle.RequestCreated(n); n.WithinQuota {
		w.Results.AddShare(n, metrics.Share{Requested: n.Value()})
	}
}

func (w *Simulation) RequestClosed(n *model.Request, took float64) {
	w.Results.CloseRequest(n, took, w.Queue.Now())
}

// InvocationEnded counts how a try ended for its client.
func (w *Simulation) InvocationEnded(how model.Outcome) { w.Results.CountOutcome(how) }

func (w *Simulation) InvocationSent(inv *model.Invocation) {
	if w.Results.Invocations++; inv.ClientRetry {
		w.Results.SecondAt(w.Queue.Now()).ClientRetries++
	}
	w.Trace(inv.Gateway, inv.Ref, fmt.Sprintf("asked for by customer %s, %s, plan %s, %.0f units, gives up at %.3f s", inv.Request.Customer.Key,
		inv.Request.Operation.Name, inv.Request.Customer.Plan.Name, inv.Request.Units, inv.GiveUpAt))
}

// What api gateways meet.

func (w *Simulation) Host(addr string) *hostmodel.Host { return w.byAddr[addr] }

func (w *Simulation) AttemptSent(d *model.Attempt) {
	w.Results.Attempts++
	w.Results.SecondAt(w.Queue.Now()).Attempts++
	w.Oracle.AttemptSent(d)
	w.Oracle.CheckGroup(d, func(a, b int) bool {
		x, y := w.Hosts[a], w.Hosts[b]
		switch d.Invocation.Request.Operation.Group {
		case "zone":
			return x.Zone == y.Zone
		case "cell":
			return x.Cell == y.Cell
		}
		return true
	})
}

// AttemptSentLate is Sent for a delivery that was held up on the way: when it set out isn't known.
func (w *Simulation) AttemptSentLate(d *model.Attempt) {
	w.AttemptSwallowed()
	w.Oracle.CheckRetry(d)
}

// AttemptSwallowed counts a delivery that no host will ever see.
func (w *Simulation) AttemptSwallowed() {
	w.Results.Attempts++
	w.Results.SecondAt(w.Queue.Now()).Attempts++
}

func (w *Simulation) AttemptReached(d *model.Attempt) {
	first, beyond := w.Oracle.AttemptReached(d)
	w.Trace(d.Invocation.Gateway, d.Invocation.Ref, fmt.Sprintf("delivery %d reaches host %d", d.Number, d.Host))
	if !first {
		return
	}
	n := d.Invocation.Request
	n.BeyondQuota = beyond
	s := metrics.Share{FirstSent: n.Value()}
	if beyond {
		s.BeyondQuota = n.Value()
		s.BeyondCost = n.Value() * n.Customer.Plan.OverCost.V()
		s.NetValue = -s.BeyondCost
	}
	w.Results.AddShare(n, s)
}

func (w *Simulation) AttemptStarted(d *model.Attempt) {
	w.Oracle.AttemptStarted(d)
	w.Trace(d.Invocation.Gateway, d.Invocation.Ref, fmt.Sprintf("delivery %d runs on host %d", d.Number, d.Host))
}

func (w *Simulation) AttemptReleased(d *model.Attempt) { w.Oracle.AttemptReleased(d) }

func (w *Simulation) InvocationAnswered(inv *model.Invocation, how model.Outcome) (room bool) {
	if how == model.Unanswered {
		w.Oracle.ClientGaveUp(inv)
		return false
	}
	if how == model.Throttled {
		room = w.Oracle.QuotaHasRoom(inv.Request.Customer, inv.Request.ActualUnits)
	}
	if how == model.Served {
		for _, d := range inv.Attempts {
			if d.Started && d.Ended {
				w.useful += inv.Request.Work / w.Hosts[d.Host].Speed
				break
			}
		}
	}
	w.Oracle.InvocationAnswered(inv, how)
	return room
}

func (w *Simulation) DeliverAnswer(inv *model.Invocation, how model.Outcome, retryAfter float64, room bool) {
	w.Workload.HandleOutcome(inv, how, retryAfter, room)
}

func (w *Simulation) SendPeerMessage(from, to int, text string) {
	if !w.Day.Peers.Allowed {
		return
	}
	for i, e := range w.Gateways {
		if (to == membership.Broadcast && i != from || i == to) && e.Alive && !w.net.Partitioned(w.Gateways[from].Zone, e.Zone) {
			w.peerNetwork.Send(i, text, func() { e.PeerMessage(from, text) })
		}
	}
}

// Trace takes down a line: of the one invocation whose story is told, or of an api gateway's log.
func (w *Simulation) Trace(from int, ref, text string) {
	if ref == "" {
		words := strings.Fields(text)
		w.Results.Logs[strings.TrimRight(strings.Join(words[:min(len(words), 1)], " "), ":")]++
	}
	if w.OnTrace != nil && ref != "" {
		w.OnTrace(from, ref, text)
	}
	if w.story != "" && ref == w.story {
		w.lines = append(w.lines, fmt.Sprintf("%10.4f  api gateway %d: %s", w.Queue.Now(), from, text))
	}
}

func (w *Simulation) CounterCalled(missed bool) {
	s := w.Results.SecondAt(w.Queue.Now())
	s.CounterCalls++
	if w.Results.CounterCalls++; missed {
		w.Results.CounterCallsFailed++
		s.CounterCallsFailed++
	}
}

func (w *Simulation) ConnectionDialled() {
	w.Results.Dials++
	w.Results.SecondAt(w.Queue.Now()).Dials++
}

// QuotaHasRoom says whether a customer's quota has room for so many units, by what was really sent: for a decider that sees all.
func (w *Simulation) QuotaHasRoom(key string, units float64) bool {
	c := w.byKey[key]
	return c == nil || w.Oracle.QuotaHasRoom(c, units)
}
