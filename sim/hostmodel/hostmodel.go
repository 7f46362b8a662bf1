// Package hostmodel owns the model of one host: cores, a line of work, connections, a cold start and falling over under more
// than it can bear. It must never know who sends, what a rule says, or how an answer travels.
package hostmodel

import (
	"slices"

	"otterseam/sim/eventqueue"
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// Job is a piece of work that has arrived whole.
type Job struct {
	Operation int
	Work      float64 // seconds on a core of speed 1
	Gateway   int     // who sent it, for the account of a fall
	OnStart   func()  // it has begun, and so may have its effect
	OnAnswer  func(Answer)
	waits     bool
	dropped   bool
}

// Answer is what a host has to say.
type Answer int

const (
	Succeeded Answer = iota
	Failed
	Rejected
	Corrupted
	Reset // it went down under the work
)

func (a Answer) String() string {
	return [...]string{"answered", "answered with an error", "turned away", "answered with noise", "reset"}[a]
}

// State is what a host does with what comes.
type State int

const (
	Up State = iota
	Draining
	Down // refuses connections
)

// Arrival is work that a cold host was sent.
type Arrival struct {
	At, Work float64
	Gateway  int
}

// Host is one machine.
type Host struct {
	Number      int
	Addr        string
	Zone, Cell  int
	Cores       int
	Speed       float64
	ConnectWork float64 // what a new connection costs it, in seconds
	StartedAt   float64 // clock time of its last start; 0: long ago
	State       State
	Incarnation int // which start this is
	Connections int
	OnOverload  func(sent []Arrival) // told when it falls over

	q                       *eventqueue.Queue
	dice                    randstream.Stream
	queue, most             int
	cold                    *scenario.Cold
	busy                    int
	line                    []*Job
	head                    int
	running                 []*Job
	sent                    []Arrival
	silent                  int
	slow, errs, spoilt, few overlap.Values
	mute                    map[int]*overlap.Values
	// BusyTime adds up core seconds of work done.
	BusyTime float64
}

// New makes a host of a kind; its speed is drawn.
func New(q *eventqueue.Queue, number int, addr string, kind *scenario.HostKind, cold *scenario.Cold, seed uint64) *Host {
	d := randstream.New(seed, "host", number)
	return &Host{
		Number: number, Addr: addr, Cores: kind.Cores.N(), Speed: d.Uniform(kind.Speed.Lo, kind.Speed.Hi),
		ConnectWork: kind.ConnectWork.V(), q: q, dice: d, queue: kind.Queue.N(), most: kind.Connections.N(), cold: cold,
		mute: map[int]*overlap.Values{},
	}
}

// Warmth is the part of its capacity that it has now.
func (h *Host) Warmth() float64 {
	if h.StartedAt <= 0 || h.cold.Warm.V() <= 0 {
		return 1
	}
	age := max(0, h.q.Now()-h.StartedAt)
	return min(1, h.cold.Share.V()+(1-h.cold.Share.V())*age/h.cold.Warm.V())
}

// CoreSpeed is what one core does in a second, at present.
func (h *Host) CoreSpeed() float64 {
	return h.Speed * h.Warmth() / h.slow.Product()
}

// Load is how much work is in hand, running or in line.
func (h *Host) Load() int { return h.busy + len(h.line) - h.head }

// IsSilent says that it answers nothing, not even a new connection.
func (h *Host) IsSilent() bool { return h.silent > 0 }

// AcceptsConnection says whether there is room for a new connection.
func (h *Host) AcceptsConnection() bool {
	return h.State != Down && float64(h.Connections) < float64(h.most)*h.few.Product()
}

// OpenConnection takes a new connection if there is room for one.
func (h *Host) OpenConnection() bool {
	if !h.AcceptsConnection() {
		return false
	}
	h.Connections++
	return true
}

// Submit takes work that has come whole.
func (h *Host) Submit(j *Job) {
	h.bear(j)
	switch {
	case h.silent > 0 || h.State == Down:
	case h.State == Draining, h.busy >= h.Cores && len(h.line)-h.head >= h.queue:
		j.OnAnswer(Rejected)
	case h.busy < h.Cores:
		h.start(j)
	default:
		j.waits = true
		h.line = append(h.line, j)
	}
}

// Cancel drops work that waits; what runs goes on.
func (h *Host) Cancel(j *Job) {
	j.dropped = true
	if !j.waits {
		return
	}
	for i := h.head; i < len(h.line); i++ {
		if h.line[i] == j {
			h.line = append(h.line[:i], h.line[i+1:]...)
			j.waits = false
			return
		}
	}
}

func (h *Host) start(j *Job) {
	h.busy++
	j.waits = false
	h.running = append(h.running, j)
	j.OnStart()
	took, life := j.Work/max(1e-6, h.CoreSpeed()), h.Incarnation
	h.q.ScheduleAfter(took, func() {
		if h.Incarnation != life {
			return
		}
		h.busy--
		h.BusyTime += took
		i := slices.Index(h.running, j)
		h.running = append(h.running[:i], h.running[i+1:]...)
		h.next()
		mute := h.mute[j.Operation]
		if h.silent == 0 && (mute == nil || !h.hit(*mute)) {
			switch {
			case h.hit(h.errs):
				j.OnAnswer(Failed)
			case h.hit(h.spoilt):
				j.OnAnswer(Corrupted)
			default:
				j.OnAnswer(Succeeded)
			}
		}
	})
}

func (h *Host) next() {
	for h.busy < h.Cores && h.head < len(h.line) && h.silent == 0 {
		j := h.line[h.head]
		h.line[h.head] = nil
		h.head++
		h.start(j)
	}
	if h.head == len(h.line) {
		h.line, h.head = h.line[:0], 0
	} else if h.head > 64 && h.head > len(h.line)/2 {
		h.line, h.head = append(h.line[:0], h.line[h.head:]...), 0
	}
}

func (h *Host) hit(shares overlap.Values) bool { return shares.Any(h.dice.Chance) }

// bear keeps account of what a cold host is sent; past its budget for the window it falls over and stays down. All that
// reaches it pushes, what it turns away too.
func (h *Host) bear(j *Job) {
	now, window := h.q.Now(), h.cold.Window.V()
	if h.State == Down || h.Warmth() >= 1 {
		h.sent = nil
		return
	}
	h.sent = append(h.sent, Arrival{now, j.Work, j.Gateway})
	for len(h.sent) > 0 && h.sent[0].At < now-window {
		h.sent = h.sent[1:]
	}
	sum, slack := 0.0, 0.0
	for _, s := range h.sent {
		sum += s.Work
		slack = max(slack, s.Work)
	}
	if budget := h.cold.Factor.V() * float64(h.Cores) * h.CoreSpeed() * window; sum > budget+2*slack {
		sent := h.sent
		h.Stop()
		if h.OnOverload != nil {
			h.OnOverload(sent)
		}
	}
}

// Stop ends the host: what it holds is gone, connections are reset.
func (h *Host) Stop() {
	h.State = Down
	h.Incarnation++
	held := append(h.running, h.line[h.head:]...)
	h.busy, h.running, h.line, h.head, h.sent, h.Connections = 0, nil, nil, 0, nil, 0
	for _, j := range held {
		if !j.dropped {
			j.waits = false
			j.OnAnswer(Reset)
		}
	}
}

// Start starts it cold, under its old address.
func (h *Host) Start() {
	h.Stop()
	h.State, h.StartedAt = Up, h.q.Now()
}

// The troubles. Each begins and ends by itself; they overlap.

// Silence makes it silent; the work it holds waits, what ends meanwhile is not told.
func (h *Host) Silence(begin bool) {
	if begin {
		h.silent++
	} else if h.silent--; h.silent == 0 {
		h.next()
	}
}

// SlowDown makes it so many times slower.
func (h *Host) SlowDown(by float64, begin bool) { h.slow.Toggle(by, begin) }

// FailShare makes it answer a share with an error; Spoils makes a share of its answers unreadable; Few leaves a part of its
// connections.
func (h *Host) FailShare(share float64, begin bool)           { h.errs.Toggle(share, begin) }
func (h *Host) CorruptShare(share float64, begin bool)        { h.spoilt.Toggle(share, begin) }
func (h *Host) ScaleConnectionLimit(part float64, begin bool) { h.few.Toggle(part, begin) }

// SilenceOperation leaves a share of one operation's work unanswered.
func (h *Host) SilenceOperation(operation int, share float64, begin bool) {
	if h.mute[operation] == nil {
		h.mute[operation] = &overlap.Values{}
	}
	h.mute[operation].Toggle(share, begin)
}
