package fleet

// This file owns the rig of a script being played: the links between all processes, the faults that wait, strike and
// end, and who is struck at present. All but the links themselves belongs to the pump's goroutine.

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"otterseam/harness/childprocess"
	"otterseam/harness/netproxy"
	"otterseam/harness/sockets"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
	"otterseam/sim/simulation"
)

// forever is a clock time at which nothing happens any more.
const forever = 1e18

// healing is for how long after a fault what it held up may still come, in seconds.
const healing = 1.0

// rig stands between the processes of one script.
type rig struct {
	script *scenario.Scenario // drawn
	seed   uint64
	world  *simulation.Simulation
	fleet  *sockets.Gateways
	logs   *logs

	mu      sync.Mutex
	links   map[string]*netproxy.Link
	mail    *netproxy.DatagramProxy
	mailed  int64
	down    map[int]time.Time // when nobody was found behind a door
	waiting []*wait
	spans   []*Span
	stories map[string][]string
	kept    map[string][]string // of invocations with which something was wrong
	struck  int
	over    bool
	keepers *keepers        // nil: none
	awaits  map[string]bool // events that some fault waits for
}

// Span is what was struck, and when: a row's bar in the timeline.
type Span struct {
	Kind   string  `json:"kind"`
	What   string  `json:"what"` // a link's name, or an api gateway's
	Edge   int     `json:"edge"` // -1: none in particular
	Begins float64 `json:"begins"`
	Ends   float64 `json:"ends"`
	to     string
}

// wait is a fault that waits for an event.
type wait struct {
	number int
	strike *scenario.ProcessFault
	by     []int
	seen   int
	done   bool
}

func newRig(script *scenario.Scenario, seed uint64) *rig {
	return &rig{
		script: script, seed: seed, links: map[string]*netproxy.Link{}, down: map[int]time.Time{},
		stories: map[string][]string{}, kept: map[string][]string{},
	}
}

func edge(n int) string { return fmt.Sprintf("edge %d", n) }

// link gives the link between two ends, made at its first use.
func (r *rig) link(from, to string) *netproxy.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := from + ">" + to
	l := r.links[key]
	if l == nil {
		l = netproxy.NewLink(from, to, r.seed)
		r.links[key] = l
	}
	return l
}

func (r *rig) ListenFor(e int, to string, each func(c net.Conn)) (string, error) {
	if to == "counter" && r.keepers != nil {
		each = func(c net.Conn) { r.keepers.door(e, c) }
	}
	return r.link(edge(e), to).ListenInProcess(each)
}

func (r *rig) ClientAddress(e int, addr string) (string, error) {
	return r.link("clients", edge(e)).Listen(func() (net.Conn, error) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			r.mu.Lock()
			r.down[e] = time.Now()
			r.mu.Unlock()
		}
		return c, err
	})
}

// UnreachableSince says that nobody was behind an api gateway's door at a time since a clock time.
func (r *rig) UnreachableSince(e int, since float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down[e].IsZero() && time.Since(r.down[e]).Seconds() <= r.world.Queue.Now()-since+0.05
}

func (r *rig) PeerAddresses(own []string) (known []string, err error) {
	r.mail, err = netproxy.NewDatagramProxy(own, func(from, to int) *netproxy.Link { return r.link(edge(from), edge(to)) }, func(from, to int) {
		r.mu.Lock()
		r.mailed++
		begun := r.fleet != nil && !r.over
		r.mu.Unlock()
		if begun {
			r.fleet.Do(func() { r.EventSeen("mail", from) })
		}
	})
	if err != nil {
		return nil, err
	}
	return r.mail.Addresses(), nil
}

// close ends all links.
func (r *rig) close() {
	r.mu.Lock()
	r.over = true
	var all []*netproxy.Link
	for _, l := range r.links {
		all = append(all, l)
	}
	r.mu.Unlock()
	for _, l := range all {
		l.Close()
	}
	if r.mail != nil {
		r.mail.Close()
	}
}

// awaited says that a fault waits for an event.
func (r *rig) awaited(event string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.awaits[event]
}

// Begin sets when faults strike, and what they wait for.
func (r *rig) Begin(w *simulation.Simulation, g *sockets.Gateways) {
	r.mu.Lock()
	r.world, r.fleet = w, g
	r.awaits = map[string]bool{}
	for i := range r.script.ProcessFaults {
		r.awaits[r.script.ProcessFaults[i].On] = true
	}
	r.mu.Unlock()
	for i := range r.script.ProcessFaults {
		s := &r.script.ProcessFaults[i]
		if s.On == "" {
			w.Queue.ScheduleAfter(s.At.Float(), func() { r.strike(i, s) })
			continue
		}
		by, _ := scenario.ParseNumbers(s.Gateways, r.script.Fleet.Gateways.Int()) // the reader has checked it
		r.waiting = append(r.waiting, &wait{number: i, strike: s, by: by})
	}
	r.logs.begin(r)
}

// EventSeen lets faults that wait for an event strike at once, so that they are in force before what follows from it.
func (r *rig) EventSeen(event string, e int) { r.seen(event, e, "") }

func (r *rig) seen(event string, e int, line string) {
	if r.world == nil {
		return
	}
	for _, w := range r.waiting {
		s := w.strike
		if w.done || s.On != event || !slices.Contains(w.by, e) || event == "log" && !strings.Contains(line, s.Text) {
			continue
		}
		if w.seen++; w.seen < s.Count.Int() {
			continue
		}
		w.done = true
		if s.At.Float() > 0 {
			r.world.Queue.ScheduleAfter(s.At.Float(), func() { r.strike(w.number, s) })
		} else {
			r.strike(w.number, s)
		}
	}
}

// FaultSince says whether a fault was in force since a clock time, or a moment before, on an api gateway itself or its way
// to clients (""), or on its way to a part. What strikes the api gateway holds up all its ways.
func (r *rig) FaultSince(e int, to string, since float64) bool {
	for _, s := range r.spans {
		if s.Edge == e && s.Ends+healing > since && (s.to == "" && s.excuses() || to != "" && s.to == to) {
			return true
		}
	}
	return false
}

// excuses says whether what struck an api gateway may leave clients without an answer.
func (s *Span) excuses() bool {
	return !slices.Contains([]string{"term", "twice", "full-disk", "start"}, s.Kind)
}

// TraceInvocation keeps what happens to each invocation, for as long as its story may be asked for.
func (r *rig) TraceInvocation(e int, ref, text string) {
	if len(r.stories[ref]) == 0 && r.world != nil {
		r.world.Queue.ScheduleAfter(10, func() { delete(r.stories, ref) })
	}
	at := 0.0
	if r.world != nil {
		at = r.world.Queue.Now()
	}
	if len(r.stories[ref]) < 64 {
		r.stories[ref] = append(r.stories[ref], fmt.Sprintf("%9.4f s  api gateway %d: %s", at, e, text))
	}
	if r.world == nil {
		return
	}
	for _, b := range r.world.Oracle.Violations {
		if b.Ref == ref && ref != "" {
			r.kept[ref] = r.stories[ref]
		}
	}
}

// strike lets a fault begin, on all that it is of, and sets when it ends.
func (r *rig) strike(n int, s *scenario.ProcessFault) {
	now, ends := r.world.Queue.Now(), forever
	if s.Lasts.Float() > 0 {
		ends = now + s.Lasts.Float()
	}
	later := func(do func()) {
		if ends < forever {
			r.world.Queue.ScheduleAfter(s.Lasts.Float(), do)
		}
	}
	if scenario.IsLinkFault(s.Kind) {
		for _, p := range r.ends(s) {
			r.onLink(s, p[0], p[1], now, ends, later)
		}
		return
	}
	if s.Keeper != "" {
		r.keepers.strike(n, s, now, ends, later)
		return
	}
	for _, e := range r.which(n, s) {
		r.onProcess(s, e, now, ends, later)
	}
}

// ends are the two ends of each link that a fault is of.
func (r *rig) ends(s *scenario.ProcessFault) (all [][2]string) {
	gateways := r.script.Fleet.Gateways.Int()
	list := func(end string) (names []string) {
		what, in, _ := scenario.ParseLinkEnd(end, gateways, len(r.world.Hosts)) // the reader has checked it
		if in == nil {
			return []string{what}
		}
		for _, i := range in {
			if what == "keeper" && (r.keepers == nil || i >= len(r.keepers.procs)) {
				continue
			}
			names = append(names, fmt.Sprintf("%s %d", what, i))
		}
		return names
	}
	for _, from := range list(s.From) {
		for _, to := range list(s.To) {
			if from != to {
				all = append(all, [2]string{from, to})
			}
		}
	}
	return all
}

func number(name string) int {
	n := -1
	fmt.Sscanf(name, "edge %d", &n)
	return n
}

// way is one direction of a link.
type way struct {
	link *netproxy.Link
	dir  netproxy.Direction
}

func (r *rig) onLink(s *scenario.ProcessFault, from, to string, now, ends float64, later func(func())) {
	l := r.link(from, to)
	// Datagrams go one way only; the way back is another link.
	mail := number(from) >= 0 && number(to) >= 0
	dirs := map[string][]netproxy.Direction{"both": {netproxy.Forward, netproxy.Backward}, "there": {netproxy.Forward}, "back": {netproxy.Backward}}[s.Way]
	var on []way
	for _, d := range dirs {
		if mail && d == netproxy.Backward {
			on = append(on, way{r.link(to, from), netproxy.Forward})
		} else {
			on = append(on, way{l, d})
		}
	}
	span := &Span{Kind: s.Kind, What: l.Name(), Edge: max(number(from), number(to)), Begins: now, Ends: ends, to: to}
	if from == "clients" {
		span.Edge, span.to = number(to), ""
	}
	if mail {
		span.Edge, span.to = -1, "mail"
	}
	hit := 1
	switch s.Kind {
	case "reset":
		hit = l.ResetConnections(dirs[0], max(0.05, s.Time.Float()))
		span.Ends = now + max(0.05, s.Time.Float())
	case "half-open":
		hit = l.HalfOpenConnections(dirs[0])
		span.Ends = now + 2
	default:
		f := faultOf(s, mail)
		for _, o := range on {
			o.link.AddFault(o.dir, f)
		}
		later(func() {
			for _, o := range on {
				o.link.RemoveFault(o.dir, f)
			}
		})
	}
	r.note(span, hit > 0)
}

func faultOf(s *scenario.ProcessFault, mail bool) *netproxy.Fault {
	f := &netproxy.Fault{}
	switch s.Kind {
	case "drop":
		if f.Stall, f.BlockConnects = true, true; mail && s.Part.Float() < 1 {
			f.Stall, f.BlockConnects, f.LossProbability = false, false, s.Part.Float()
		}
	case "stall":
		f.Stall = true
	case "delay":
		f.Delay, f.Jitter = s.Time.Float(), s.Jitter.Float()
	case "rate":
		f.Rate = s.Size.Float()
	case "double":
		f.DuplicateProbability = s.Part.Float()
	case "disorder":
		f.ReorderProbability, f.Delay = s.Part.Float(), s.Time.Float()
	case "refuse":
		f.RefuseConnects = true
	}
	return f
}

func (r *rig) note(s *Span, hit bool) {
	if !hit {
		return
	}
	r.struck++
	r.spans = append(r.spans, s)
}

// which are the api gateways that a fault of processes is of.
func (r *rig) which(n int, s *scenario.ProcessFault) (in []int) {
	gateways := r.script.Fleet.Gateways.Int()
	if s.Edges != "" {
		in, _ = scenario.ParseNumbers(s.Edges, gateways) // the reader has checked it
		return in
	}
	for i, hit := range randstream.New(r.seed, "fault", n).SampleShare(gateways, s.Part.Float()) {
		if hit {
			in = append(in, i)
		}
	}
	return in
}

func (r *rig) onProcess(s *scenario.ProcessFault, e int, now, ends float64, later func(func())) {
	p := r.fleet.Process(e)
	span := &Span{Kind: s.Kind, What: edge(e), Edge: e, Begins: now, Ends: ends}
	if s.Kind == "start" {
		if p == nil {
			r.fleet.RestartAfter(e, 0)
		}
		span.Ends = now
		r.note(span, p == nil)
		return
	}
	if p == nil {
		return
	}
	r.note(span, true)
	switch s.Kind {
	case "kill", "wipe":
		r.fleet.Kill(e)
		if s.Kind == "wipe" {
			<-p.Done()
			p.RemoveDir()
		}
		if ends < forever {
			r.fleet.RestartAfter(e, s.Lasts.Float())
		}
	case "term":
		r.fleet.Terminate(e)
		if ends < forever {
			r.fleet.RestartAfter(e, s.Lasts.Float())
		}
	case "freeze":
		p.Suspend()
		later(func() {
			p.Resume()
			r.world.Oracle.GatewayResumed(e, now)
		})
	case "starve":
		r.starve(p, s, ends)
	case "full-disk":
		p.LimitFileSize(int64(s.Size.Float()))
		later(func() { p.LimitFileSize(-1) })
	case "twice":
		span.Ends = now + 1
		err := r.fleet.StartSecond(e, func(err error) {
			if err == nil {
				r.world.Oracle.ExpectationFailed(fmt.Sprintf("a second process under the name of api gateway %d runs beside the first", e))
			}
		})
		if err != nil {
			r.world.Oracle.ExpectationFailed(err.Error())
		}
	}
}

// starve stops a process and lets it go in turn until a clock time.
func (r *rig) starve(p *childprocess.Process, s *scenario.ProcessFault, ends float64) {
	if r.world.Queue.Now() >= ends {
		return
	}
	if gone, _, _ := p.ExitState(); gone {
		return
	}
	period := s.Time.Float()
	if period == 0 {
		period = 0.02
	}
	p.Suspend()
	r.world.Queue.ScheduleAfter(period*(1-s.Size.Float()), func() {
		p.Resume()
		r.world.Queue.ScheduleAfter(period*s.Size.Float(), func() { r.starve(p, s, ends) })
	})
}
