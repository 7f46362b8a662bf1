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

// Decider makes the minds of a day's api gateways.
type Decider interface {
	Name() string
	// Mind makes the mind of an api gateway that starts; out is its way out.
	Mind(w *World, slot int, seed uint64, out policydriver.Output) (gatewaymodel.Mind, error)
	// Err is what ended the decider, if something did; End lets go of what it holds.
	Err() error
	End()
}

// World is a day being played.
type World struct {
	Day     *scenario.Day
	Seed    uint64
	Queue   *eventqueue.Queue
	Hosts   []*hostmodel.Host
	Edges   []*gatewaymodel.Edge
	Crowd   *workload.Crowd
	Counter *countermodel.Counter
	Referee *oracle.Referee
	Figures *metrics.Figures

	net    *network.Network
	list   *discoverymodel.Registry
	post   *gossip.Post
	byAddr map[string]*hostmodel.Host
	byKey  map[string]*model.Customer
	// Killer ends an api gateway that stands elsewhere, gently or not, and has it back after so many seconds.
	Killer  func(slot int, down float64, gently bool)
	decider Decider
	starts  uint64
	useful  float64
	alive   int
	err     error

	door workload.Door
	tell func(gateway int, change policy.HostEntry)

	// Heard is told all that is noted of invocations, where it is set.
	Heard func(from int, ref, text string)

	story string   // the invocation whose story is told
	lines []string // it
	prog  func(at float64)
}

// Option changes how a day is played.
type Option func(*World)

// Story has all that happens to one invocation written down.
func Story(ref string) Option { return func(w *World) { w.story = ref } }

// Outside has the day's api gateways stand elsewhere, on sockets: tries go to door, and tell is called when one of them is
// told of a change of the list. The world then has hosts, counter, list and customers of its own, and no edges.
func Outside(door workload.Door, tell func(gateway int, change policy.HostEntry)) Option {
	return func(w *World) { w.door, w.tell = door, tell }
}

// Progress is called each second of the day.
func Progress(f func(at float64)) Option { return func(w *World) { w.prog = f } }

// New makes the world of a day, drawn by a seed, with a decider.
func New(d *scenario.Day, seed uint64, dec Decider, opts ...Option) *World {
	w := &World{
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
	w.Referee = oracle.New(d, n, w.Queue.Now)
	w.Figures = metrics.New(d.Name, dec.Name(), seed)
	var list []policy.HostEntry
	for range d.Fleet.Hosts.N() {
		list = append(list, w.listed(w.newHost(0), "active"))
	}
	w.list = discoverymodel.New(w.Queue, &d.Discovery, n, seed, list, w.tell)
	w.post = gossip.New(w.Queue, &d.Peers, n, seed)
	for slot := range n {
		if w.door != w {
			break
		}
		w.Edges = append(w.Edges, gatewaymodel.New(slot, slot%zones, w.Queue, w.net, w.Counter, d, w))
	}
	w.Crowd = workload.New(w.Queue, d, seed, w.door)
	for _, c := range w.Crowd.Customers {
		w.byKey[c.Key] = c
	}
	return w
}

// newHost adds a host; since is its start, 0: long ago.
func (w *World) newHost(since float64) *hostmodel.Host {
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
		w.Referee.Fell(h, sent)
		w.list.Publish(w.listed(h, "left"))
	}
	w.Hosts = append(w.Hosts, h)
	w.byAddr[h.Addr] = h
	return h
}

// Zone is how a zone is called.
func Zone(n int) string { return fmt.Sprintf("zone-%d", n) }

func (w *World) listed(h *hostmodel.Host, state string) policy.HostEntry {
	return policy.HostEntry{Addr: h.Addr, Zone: Zone(h.Zone), Cell: h.Cell, State: state, StartedAt: h.StartedAt, Weight: 1}
}

// Settings are the start settings of an api gateway of this day, as the platform would give them.
func Settings(d *scenario.Day, slot int) simprotocol.Start {
	var s simprotocol.Start
	s.Balancers, s.Slot, s.Locality = d.Fleet.Gateways.N(), slot, Zone(slot%d.Fleet.Zones.N())
	s.Caps.Cancel, s.Caps.PeerMessages, s.Caps.TryLimit = d.Gateway.Cancel, d.Peers.Allowed, d.Gateway.Deliveries.N()
	s.Caps.Idle, s.Caps.Connect = d.Network.Idle.V(), d.Network.Dial.V()
	for _, o := range d.Operations {
		effect := map[string]string{"idempotent": "idempotent", "tokened": "deduplicated", "non-idempotent": "at_most_once"}[o.Effect]
		s.Classes = append(s.Classes, simprotocol.Class{
			Name: o.Name, Goal: o.Objective.V(), Limit: o.Timeout.V(), Gain: o.Value.V(),
			Late: o.Late.V(), Effect: effect, Group: o.Group, KeyTTL: o.TokenTime.V(),
		})
	}
	for _, p := range d.Plans {
		s.Plans = append(s.Plans, simprotocol.Plan{
			Name: p.Name, Rate: p.Rate.V(), Burst: p.Burst.V(), MaxOut: p.MaxOut.N(),
			NeverOver: p.CeilingRate.V(), HardBurst: p.CeilingBurst.V(),
		})
	}
	s.Contract.Start, s.Contract.Warm, s.Contract.Factor = d.Cold.Share.V(), d.Cold.Warm.V(), d.Cold.Factor.V()
	s.Extra.Counter, s.Extra.Limit, s.Extra.Settles = d.Counter.Present, d.Counter.Limit.V(), d.Counter.Settles
	s.Extra.Most = d.Clients.Units.V()
	if d.Peers.Allowed {
		s.Extra.Mail = d.Peers.Mail.V()
	}
	return s
}

// Run plays the day to its end and beyond, until every need is closed, and gives its figures.
func (w *World) Run() (*metrics.Figures, error) {
	defer w.decider.End()
	for slot := range w.Edges {
		w.start(slot)
	}
	if w.err != nil {
		return nil, w.err
	}
	w.Begin()
	w.Queue.Run(w.Ends())
	if w.err == nil {
		w.err = w.decider.Err()
	}
	if w.err != nil {
		return nil, w.err
	}
	return w.Close(), nil
}

// Begin lets customers ask and troubles come, from the present moment on.
func (w *World) Begin() {
	w.BeginWithout()
	w.Crowd.Start()
}

// BeginWithout lets troubles come and nobody ask.
func (w *World) BeginWithout() {
	w.Figures.Began = w.Queue.Now()
	for i := range w.Day.Troubles {
		w.trouble(i, &w.Day.Troubles[i])
	}
	w.Queue.ScheduleAfter(1, w.second)
}

// Ends is when every need is closed.
func (w *World) Ends() float64 {
	longest := 0.0
	for _, o := range w.Day.Operations {
		longest = max(longest, o.Timeout.V())
	}
	return w.Figures.Began + w.Day.Length.V() + longest + 1
}

// Close adds up the figures of a day that is over.
func (w *World) Close() *metrics.Figures {
	f := w.Figures
	f.End(w.Crowd.Customers)
	f.Mail, f.Events, f.Breaks, f.Broken = w.post.Sent, w.Queue.Fired, w.Referee.All, w.Referee.Breaks
	done := 0.0
	for _, h := range w.Hosts {
		done += h.BusyTime
	}
	if done > 0 {
		f.Wasted = max(0, 1-w.useful/done)
	}
	f.Seconds = f.Seconds[:min(len(f.Seconds), int(w.Day.Length.V())+1)]
	return f
}

// Net is the way between the day's machines; List what an api gateway was last told.
func (w *World) Net() *network.Network               { return w.net }
func (w *World) List(gateway int) []policy.HostEntry { return w.list.HostList(gateway) }

// Told is the story that was asked for, in time order.
func (w *World) Told() []string { return w.lines }

func (w *World) start(slot int) {
	if w.err != nil || w.Queue.Stopped() {
		return
	}
	e := w.Edges[slot]
	w.starts++
	mind, err := gatewaymodel.Shifted(w.Day.Gateway.Clock.V(), e, func(out policydriver.Output) (gatewaymodel.Mind, error) {
		return w.decider.Mind(w, slot, randstream.New(w.Seed, "mind", slot, int(w.starts)).Uint64()>>1, out)
	})
	if err != nil {
		w.err = err
		w.Queue.Stop()
		return
	}
	w.Referee.Started(slot)
	list := w.list.HostList(slot)
	for _, l := range list {
		w.Referee.Told(slot, w.byAddr[l.Addr].Number, l.State, l.StartedAt)
	}
	e.Start(mind, list)
	w.alive++
}

func (w *World) told(slot int, l policy.HostEntry) {
	if w.Edges[slot].Alive {
		w.Referee.Told(slot, w.byAddr[l.Addr].Number, l.State, l.StartedAt)
		w.Edges[slot].Told(l)
	}
}

// second takes the figures that stand at the end of each second.
func (w *World) second() {
	now := w.Queue.Now()
	s := w.Figures.At(now - 0.5)
	for _, e := range w.Edges {
		s.Out += float64(e.Out())
	}
	cores := 0.0
	for _, h := range w.Hosts {
		if h.State != hostmodel.Down {
			cores += float64(h.Cores)
			s.Busy += float64(min(h.Cores, h.Load()))
			s.Waiting += float64(h.Load())
			s.HostsUp++
		}
	}
	s.Busy /= max(1, cores)
	s.Alive = float64(w.alive)
	if w.Counter.DropExpired(); w.prog != nil {
		w.prog(now)
	}
	if w.decider.Err() != nil {
		w.Queue.Stop()
	}
	if now < w.Figures.Began+w.Day.Length.V() {
		w.Queue.ScheduleAfter(1, w.second)
	}
}

// What the crowd asks for.

func (w *World) Arrive(inv *model.Invocation) bool { return w.Edges[inv.Gateway].Arrive(inv) }
func (w *World) Admits(gateway int) bool           { return w.Edges[gateway].Admits }

func (w *World) Asked(n *model.Request) {
	w.Figures.First++
	w.Figures.At(w.Queue.Now()).First++
	if n.WithinQuota = w.Referee.Asked(n); n.WithinQuota {
		w.Figures.Count(n, metrics.Share{Asked: n.Value()})
	}
}

func (w *World) Closed(n *model.Request, took float64) {
	w.Figures.Close(n, took, w.Queue.Now())
}

// Done counts how a try ended for its client.
func (w *World) Done(how model.Outcome) { w.Figures.Try(how) }

func (w *World) Tried(inv *model.Invocation) {
	if w.Figures.Tries++; inv.ClientRetry {
		w.Figures.At(w.Queue.Now()).Repeats++
	}
	w.Note(inv.Gateway, inv.Ref, fmt.Sprintf("asked for by customer %s, %s, plan %s, %.0f units, gives up at %.3f s", inv.Request.Customer.Key,
		inv.Request.Operation.Name, inv.Request.Customer.Plan.Name, inv.Request.Units, inv.GiveUpAt))
}

// What api gateways meet.

func (w *World) Host(addr string) *hostmodel.Host { return w.byAddr[addr] }

func (w *World) Sent(d *model.Attempt) {
	w.Figures.Deliveries++
	w.Figures.At(w.Queue.Now()).Sends++
	w.Referee.Sent(d)
	w.Referee.Grouped(d, func(a, b int) bool {
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

// SentLate is Sent for a delivery that was held up on the way: when it set out isn't known.
func (w *World) SentLate(d *model.Attempt) {
	w.Swallowed()
	w.Referee.Repeated(d)
}

// Swallowed counts a delivery that no host will ever see.
func (w *World) Swallowed() {
	w.Figures.Deliveries++
	w.Figures.At(w.Queue.Now()).Sends++
}

func (w *World) Reached(d *model.Attempt) {
	first, beyond := w.Referee.Reached(d)
	w.Note(d.Invocation.Gateway, d.Invocation.Ref, fmt.Sprintf("delivery %d reaches host %d", d.Number, d.Host))
	if !first {
		return
	}
	n := d.Invocation.Request
	n.BeyondQuota = beyond
	s := metrics.Share{Sent: n.Value()}
	if beyond {
		s.Beyond = n.Value()
		s.BeyondCost = n.Value() * n.Customer.Plan.OverCost.V()
		s.Worth = -s.BeyondCost
	}
	w.Figures.Count(n, s)
}

func (w *World) Ran(d *model.Attempt) {
	w.Referee.Ran(d)
	w.Note(d.Invocation.Gateway, d.Invocation.Ref, fmt.Sprintf("delivery %d runs on host %d", d.Number, d.Host))
}

func (w *World) EndedAt(d *model.Attempt) { w.Referee.Ended(d) }

func (w *World) Answered(inv *model.Invocation, how model.Outcome) (room bool) {
	if how == model.Unanswered {
		w.Referee.Unanswered(inv)
		return false
	}
	if how == model.Throttled {
		room = w.Referee.Room(inv.Request.Customer, inv.Request.ActualUnits)
	}
	if how == model.Served {
		for _, d := range inv.Attempts {
			if d.Started && d.Ended {
				w.useful += inv.Request.Work / w.Hosts[d.Host].Speed
				break
			}
		}
	}
	w.Referee.Answered(inv, how)
	return room
}

func (w *World) Client(inv *model.Invocation, how model.Outcome, retryAfter float64, room bool) {
	w.Crowd.Ended(inv, how, retryAfter, room)
}

func (w *World) Mail(from, to int, text string) {
	if !w.Day.Peers.Allowed {
		return
	}
	for i, e := range w.Edges {
		if (to == membership.Broadcast && i != from || i == to) && e.Alive && !w.net.Partitioned(w.Edges[from].Zone, e.Zone) {
			w.post.Send(i, text, func() { e.Mailed(from, text) })
		}
	}
}

// Note takes down a line: of the one invocation whose story is told, or of an api gateway's log.
func (w *World) Note(from int, ref, text string) {
	if ref == "" {
		words := strings.Fields(text)
		w.Figures.Logs[strings.TrimRight(strings.Join(words[:min(len(words), 1)], " "), ":")]++
	}
	if w.Heard != nil && ref != "" {
		w.Heard(from, ref, text)
	}
	if w.story != "" && ref == w.story {
		w.lines = append(w.lines, fmt.Sprintf("%10.4f  api gateway %d: %s", w.Queue.Now(), from, text))
	}
}

func (w *World) Called(missed bool) {
	s := w.Figures.At(w.Queue.Now())
	s.Calls++
	if w.Figures.Calls++; missed {
		w.Figures.Missed++
		s.Missed++
	}
}

func (w *World) Dialled() {
	w.Figures.Dials++
	w.Figures.At(w.Queue.Now()).Dials++
}

// Room says whether a customer's quota has room for so many units, by what was really sent: for a decider that sees all.
func (w *World) Room(key string, units float64) bool {
	c := w.byKey[key]
	return c == nil || w.Referee.Room(c, units)
}
