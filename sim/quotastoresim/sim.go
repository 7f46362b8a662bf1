// Package quotastoresim plays keepers on a simulated network: their true decisions, with streams, disks and clocks as the
// adversary, and judges what callers were told. It must never let a fault strike that the promise does not cover.
package quotastoresim

import (
	"fmt"
	"slices"

	"otterseam/internal/mutation"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
	"otterseam/sim/eventqueue"
	"otterseam/sim/randstream"
)

// Options say what is played.
type Options struct {
	Servers, Replicas int
	Durable           bool                                      // copies lie on disks too; without, a process that ends has lost all
	FaultSeconds      float64                                   // seconds of faults
	NoFaults          bool                                      // no faults
	OnLogLine         func(at float64, keeper int, line string) // hears what keepers log; nil: nobody
}

// Verdict is what became of one seed.
type Verdict struct {
	Seed                                           uint64
	Lost                                           []string // promised and lost
	DoubleCounted                                  []string // put back twice
	DuplicateEffects                               []string // second effects
	NotRecovered                                   []string // not whole again at the end
	Answered, Rejected, Unknown, Faults, Undecided int
	Wipes                                          int
}

// OK says that all that was promised held.
func (v *Verdict) OK() bool {
	return len(v.Lost)+len(v.DoubleCounted)+len(v.DuplicateEffects)+len(v.NotRecovered) == 0
}

func (v *Verdict) String() string {
	s := fmt.Sprintf("seed %d: %d answered, %d refused, %d unknown, %d faults, %d wipes; promised and lost: %d; put back twice: %d; second effects: %d; not whole: %d",
		v.Seed, v.Answered, v.Rejected, v.Unknown, v.Faults, v.Wipes, len(v.Lost), len(v.DoubleCounted), len(v.DuplicateEffects), len(v.NotRecovered))
	for _, list := range [][]string{v.Lost, v.DoubleCounted, v.DuplicateEffects, v.NotRecovered} {
		for _, x := range list[:min(9, len(list))] {
			s += "\n  " + x
		}
	}
	return s
}

// node is the process of one keeper, with its disk.
type node struct {
	number  int
	core    *replication.Node
	up      bool
	run     int // of its processes; what is meant for one before is not for this one
	life    uint32
	cluster uint64
	disk    map[int]*replication.PersistentState
	offset  float64 // of its clock
	frozen  bool
	busy    bool // writing
	writing []replication.Write
	slow    float64
	backlog []func()
	open    map[*op]bool // asked here and not answered
}

type op struct {
	nth int
	cut func()
}

type world struct {
	o       Options
	q       eventqueue.Queue
	dice    randstream.Stream
	seed    uint64
	nodes   []*node
	peers   []replication.Peer
	cut     map[[2]int]int     // links on which nothing gets through
	streams map[[2]int]int     // the number of the stream on each link: frames of one before are lost
	lastAt  map[[2]int]float64 // frames of a stream arrive in order
	lives   uint32
	runs    uint64
	v       *Verdict
	load    *load
	quiet   bool
	terms   replication.Config
}

// Play plays one seed.
func RunSeed(seed uint64, o Options) (v *Verdict) {
	v = &Verdict{Seed: seed}
	defer func() {
		if r := recover(); r != nil { // the consensus library ends a process whose log can't be what it was told
			v.Lost = append(v.Lost, fmt.Sprint("a keeper ended: ", r))
		}
	}()
	w := &world{
		o: o, dice: randstream.New(seed, "keepers"), seed: seed, cut: map[[2]int]int{}, streams: map[[2]int]int{},
		lastAt: map[[2]int]float64{}, v: v, lives: 100,
		terms: replication.Config{Groups: 2, Replicas: o.Replicas, MaxLogEntries: []int{24, 4096}[seed/8%2], SnapshotRate: 1e6, ReplaceAfter: 2},
	}
	for n := range o.Servers {
		w.peers = append(w.peers, replication.Peer{Name: fmt.Sprintf("k%d", n), Zone: fmt.Sprint(n % 3)})
	}
	for n := range o.Servers {
		x := &node{number: n, disk: map[int]*replication.PersistentState{}, offset: w.dice.Between(0, 400), slow: 0.002}
		w.nodes = append(w.nodes, x)
		w.wipe(x)
		w.start(x)
	}
	w.found()
	w.load = newLoad(w)
	if !o.NoFaults {
		w.q.At(1.5, w.trouble)
	}
	w.q.Run(o.FaultSeconds)
	w.heal()
	w.q.Run(o.FaultSeconds + 2)
	w.load.stop()
	w.q.Run(o.FaultSeconds + 14) // leases run out, debts are put back, copies are made
	w.load.last()
	w.q.Run(o.FaultSeconds + 18)
	w.judge()
	return v
}

func (w *world) found() {
	f := &protocol.Bootstrap{Cluster: 77, Groups: w.terms.Groups, Replicas: w.terms.Replicas}
	for _, x := range w.nodes {
		f.Members = append(f.Members, protocol.NewReplicaID(x.number, x.life))
	}
	for _, x := range w.nodes {
		w.do(x, func() {
			writes, err := x.core.Bootstrap(w.clock(x), f)
			if err != nil {
				panic(err)
			}
			x.cluster = f.Cluster
			w.write(x, writes)
		})
	}
}

func (w *world) clock(x *node) float64 { return w.q.Now() + x.offset }

// wipe takes all that a keeper had; it will have another life.
func (w *world) wipe(x *node) {
	x.disk, x.cluster = map[int]*replication.PersistentState{}, 0
	if !mutation.KeepEmptyVote || x.life == 0 {
		w.lives++
		x.life = w.lives
	}
}

func (w *world) start(x *node) {
	saved := map[int]*replication.PersistentState{}
	for g, s := range x.disk {
		saved[g] = s.AfterSnapshot()
	}
	w.runs++
	core, err := replication.New(x.number, x.life, x.cluster, w.peers, w.terms, w.seed<<16+w.runs, saved)
	if err != nil {
		w.v.NotRecovered = append(w.v.NotRecovered, fmt.Sprintf("keeper %d does not start: %v", x.number, err))
		return
	}
	x.core, x.up, x.busy, x.backlog, x.open = core, true, false, nil, map[*op]bool{}
	x.run++
	run := x.run
	var tick func()
	tick = func() {
		if x.run != run || !x.up {
			return
		}
		w.do(x, func() { x.core.Tick(w.clock(x)) })
		w.q.After(0.04, tick)
	}
	w.q.After(w.dice.Between(0, 0.04), tick)
}

// stop ends a process outright. What was being written is on its disk or not.
func (w *world) stop(x *node) {
	if !x.up {
		return
	}
	x.up, x.core = false, nil
	if x.writing != nil && w.dice.Chance(0.3) { // it had got there, unheard
		w.write(x, x.writing)
	}
	x.writing = nil
	x.run++
	for _, o := range w.load.openAt(x) {
		o.cut()
	}
	x.open = nil
	for _, y := range w.nodes {
		if y == x {
			continue
		}
		w.streams[[2]int{x.number, y.number}]++
		w.streams[[2]int{y.number, x.number}]++
		if w.cut[[2]int{x.number, y.number}]+w.cut[[2]int{y.number, x.number}] == 0 && w.dice.Chance(0.7) {
			w.q.After(0.005, func() { w.do(y, func() { y.core.PeerDown(w.clock(y), x.number) }) })
		}
	}
}

// do lets something happen in a process, once it is awake and has written what it was writing.
func (w *world) do(x *node, what func()) {
	if !x.up {
		return
	}
	if x.busy && !x.frozen && w.seed%3 > 0 { // all else goes on while it writes, as in the true program
		what()
		w.post(x)
		return
	}
	if x.frozen || x.busy {
		if len(x.backlog) < 20000 {
			x.backlog = append(x.backlog, what)
		}
		return
	}
	what()
	w.drain(x)
}

func (w *world) write(x *node, all []replication.Write) {
	for i := range all {
		s := x.disk[all[i].Group]
		if s == nil {
			s = &replication.PersistentState{}
			x.disk[all[i].Group] = s
		}
		s.Apply(&all[i])
	}
}

func (w *world) drain(x *node) {
	for {
		for _, line := range x.core.TakeLogLines() {
			if w.o.OnLogLine != nil {
				w.o.OnLogLine(w.q.Now(), x.number, line)
			}
		}
		work := x.core.Ready()
		w.post(x) // a leader's messages need not wait for its disk
		if err := x.core.Err(); err != nil {
			w.v.NotRecovered = append(w.v.NotRecovered, fmt.Sprintf("keeper %d: %v", x.number, err))
			w.stop(x)
			return
		}
		if c := x.core.Cluster(); c != x.cluster {
			x.cluster = c
		}
		if work == nil {
			return
		}
		if !w.o.Durable || len(work.Writes) == 0 {
			x.core.Advance(work)
			continue
		}
		x.busy, x.writing = true, work.Writes
		run := x.run
		w.q.After(x.slow*w.dice.Between(0.2, 2), func() {
			if x.run != run {
				return
			}
			w.write(x, work.Writes)
			x.busy, x.writing = false, nil
			if x.frozen { // it has written, and goes on when it wakes
				x.backlog = append([]func(){func() { x.core.Advance(work) }}, x.backlog...)
				return
			}
			x.core.Advance(work)
			w.drain(x)
			w.wake(x)
		})
		return
	}
}

// wake lets happen what waited.
func (w *world) wake(x *node) {
	for len(x.backlog) > 0 && !x.busy && !x.frozen && x.up {
		what := x.backlog[0]
		x.backlog = x.backlog[1:]
		what()
		w.drain(x)
	}
}

// post sends what a keeper has to say: in order on each stream, lost with it.
func (w *world) post(x *node) {
	for _, l := range x.core.TakeMessages() {
		to, link := w.nodes[l.To], [2]int{x.number, l.To}
		text, err := l.Frame.Encode()
		if err != nil {
			panic(err)
		}
		if w.cut[link] > 0 {
			if l.Bulk {
				w.unsent(x, l.To)
			}
			continue
		}
		delay := w.dice.Between(0.0002, 0.004)
		if w.dice.Chance(0.01) {
			delay += w.dice.Between(0, 0.3)
		}
		if l.Bulk {
			delay += w.dice.Between(0, 0.2)
		}
		at := max(w.q.Now()+delay, w.lastAt[link])
		if !l.Bulk {
			w.lastAt[link] = at
		}
		stream, run := w.streams[link], to.run
		w.q.At(at, func() {
			if w.streams[link] != stream || w.cut[link] > 0 || to.run != run {
				if l.Bulk {
					w.unsent(x, l.To)
				}
				return
			}
			f, err := protocol.DecodeFrame(text)
			if err != nil {
				panic(err)
			}
			w.do(to, func() { to.core.Receive(w.clock(to), x.number, f) })
		})
	}
}

// unsent: a keeper finds out that a large letter has not got there; now and then it does not.
func (w *world) unsent(x *node, to int) {
	if run := x.run; w.dice.Chance(0.8) {
		w.q.After(0.2, func() {
			if x.run == run {
				w.do(x, func() { x.core.SnapshotFailed(w.clock(x), to) })
			}
		})
	}
}

// whole says that no copy of a life that is over is counted on, as all copies know, so that another machine may be lost.
func (w *world) whole() bool {
	for g := range w.terms.Groups {
		ok := false
		for _, x := range w.nodes {
			if !x.up || x.frozen {
				continue
			}
			if h := x.core.Health()[g]; h.IsLeader {
				ok = len(h.Replicas) >= min(w.o.Replicas, w.o.Servers) && h.Stable && h.AllInSync
				for _, id := range h.Replicas {
					// A copy that has not heard yet that a change is over would want votes of those that left.
					y := w.nodes[id.Number()]
					if id.Incarnation() != y.life || !y.up {
						ok = false
						continue
					}
					own := y.core.Health()[g]
					ok = ok && own.Stable && slices.Equal(own.Replicas, h.Replicas)
				}
			}
		}
		if !ok {
			return false
		}
	}
	return true
}

// lostNow is how many machines with their disks may be lost at once.
func (w *world) lostNow() int { return (w.o.Replicas - 1) / 2 }

func (w *world) trouble() {
	if w.quiet {
		return
	}
	w.q.After(w.dice.Between(0.1, 1.2), w.trouble)
	x := w.nodes[w.dice.IntN(len(w.nodes))]
	w.v.Faults++
	switch w.dice.IntN(7) {
	case 0: // ended and started again
		if !w.o.Durable {
			w.lose(x)
			return
		}
		w.stop(x)
		run := x.run
		w.q.After(w.dice.Between(0.05, 3), func() {
			if x.run == run && !x.up {
				w.start(x)
			}
		})
	case 1:
		w.lose(x)
	case 2: // stands still
		if x.frozen || !x.up {
			return
		}
		x.frozen = true
		run := x.run
		w.q.After(w.dice.Pareto(1.2)*0.15, func() {
			if x.run == run && x.frozen {
				x.frozen = false
				w.wake(x)
			}
		})
	case 3, 4: // a link, one way or both
		y := w.nodes[w.dice.IntN(len(w.nodes))]
		w.break_(x, y, w.dice.Between(0.2, 3))
		if w.dice.Chance(0.5) {
			w.break_(y, x, w.dice.Between(0.2, 3))
		}
	case 5: // cut off from all
		for _, y := range w.nodes {
			w.break_(x, y, w.dice.Between(0.2, 3))
			w.break_(y, x, w.dice.Between(0.2, 3))
		}
	case 6: // a slow disk
		x.slow = 0.08
		w.q.After(w.dice.Between(0.5, 3), func() { x.slow = 0.002 })
	}
}

func (w *world) break_(x, y *node, lasts float64) {
	if x == y {
		return
	}
	link := [2]int{x.number, y.number}
	w.cut[link]++
	w.streams[link]++
	w.q.After(lasts, func() {
		if w.cut[link] > 0 && !w.quiet {
			w.cut[link]--
		}
	})
}

// lose takes machines with their disks, as many as the promise covers.
func (w *world) lose(x *node) {
	if !w.whole() {
		return
	}
	n := 1 + w.dice.IntN(w.lostNow())
	for i := range n {
		y := w.nodes[(x.number+i)%len(w.nodes)]
		w.v.Wipes++
		w.stop(y)
		y.frozen = false
		w.wipe(y)
		run := y.run
		w.q.After(w.dice.Between(0.05, 4), func() {
			if y.run == run && !y.up {
				w.start(y)
			}
		})
	}
}

func (w *world) heal() {
	w.quiet = true
	clear(w.cut)
	for _, x := range w.nodes {
		x.slow = 0.002
		if x.frozen {
			x.frozen = false
			w.wake(x)
		}
		if !x.up {
			w.start(x)
		}
	}
}

// leader is the keeper that leads a group.
func (w *world) leader(g int) *node {
	for _, x := range w.nodes {
		if x.up && x.core.Health()[g].IsLeader {
			return x
		}
	}
	return nil
}

func (w *world) judge() {
	for g := range w.terms.Groups {
		lead := w.leader(g)
		if lead == nil {
			w.v.NotRecovered = append(w.v.NotRecovered, fmt.Sprintf("group %d has no leader at the end", g))
			continue
		}
		state := lead.core.GroupState(g)
		bytes := string(state.Snapshot())
		for _, id := range lead.core.Health()[g].Replicas {
			x := w.nodes[id.Number()]
			if x.up && x.life == id.Incarnation() && x.core.GroupState(g) != nil && x.core.AppliedIndex(g) == lead.core.AppliedIndex(g) && string(x.core.GroupState(g).Snapshot()) != bytes {
				w.v.Lost = append(w.v.Lost, fmt.Sprintf("group %d: keeper %d holds other bytes than the leader, keeper %d", g, x.number, lead.number))
			}
		}
	}
	if !w.whole() {
		w.v.NotRecovered = append(w.v.NotRecovered, "not all copies are made again at the end")
	}
	w.load.judge(func(name string) *statemachine.State {
		g := replication.GroupOf(name, w.terms.Groups)
		if lead := w.leader(g); lead != nil {
			return lead.core.GroupState(g)
		}
		return nil
	})
}

// up gives a keeper that runs, by chance.
func (w *world) some() *node {
	var all []*node
	for _, x := range w.nodes {
		if x.up {
			all = append(all, x)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[w.dice.IntN(len(all))]
}

// ask asks a keeper; then hears of the answer, or that the connection broke.
func (w *world) ask(x *node, name string, e statemachine.Command, then func(how replication.Outcome, r statemachine.Reply)) {
	done := false
	l := w.load
	l.asked++
	o := &op{nth: l.asked}
	say := func(how replication.Outcome, r statemachine.Reply) {
		if done {
			return
		}
		done = true
		delete(x.open, o)
		switch how {
		case replication.Answered:
			w.v.Answered++
		case replication.Rejected:
			w.v.Rejected++
		default:
			w.v.Unknown++
		}
		then(how, r)
	}
	o.cut = func() { say(replication.Unknown, statemachine.Reply{}) }
	x.open[o] = true
	run := x.run
	w.do(x, func() {
		x.core.Submit(x.core.GroupOf(name), e, func(how replication.Outcome, r statemachine.Reply) {
			w.q.After(0.0005, func() { // the way back; lost with the process
				if x.run == run {
					say(how, r)
				}
			})
		})
	})
}

func (l *load) openAt(x *node) []*op {
	var all []*op
	for o := range x.open {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b *op) int { return a.nth - b.nth })
	return all
}
