// Package host owns the model of one host: cores, a line of work, connections, a cold start and falling over under more
// than it can bear. It must never know who sends, what a rule says, or how an answer travels.
package host

import (
	"otterseam/lab/day"
	"otterseam/lab/dice"
	"otterseam/lab/event"
)

// Job is a piece of work that has arrived whole.
type Job struct {
	Operation int
	Work      float64 // seconds on a core of speed 1
	Gateway   int     // who sent it, for the account of a fall
	Runs      func()  // it has begun, and so may have its effect
	Answers   func(Answer)
	waits     bool
	dropped   bool
}

// Answer is what a host has to say.
type Answer int

const (
	Good Answer = iota
	Error
	TurnedAway
	Spoilt
	Reset // it went down under the work
)

// State is what a host does with what comes.
type State int

const (
	Up State = iota
	Draining
	Down // refuses connections
)

// Sent is work that a cold host was sent.
type Sent struct {
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
	Started     float64 // clock time of its last start; 0: long ago
	State       State
	Life        int // which start this is
	Connections int
	Fell        func(sent []Sent) // told when it falls over

	q                       *event.Queue
	dice                    dice.Stream
	queue, most             int
	cold                    *day.Cold
	busy                    int
	line                    []*Job
	head                    int
	running                 map[*Job]bool
	sent                    []Sent
	silent                  int
	slow, errs, spoilt, few []float64
	mute                    map[int][]float64
	// BusyTime adds up core seconds of work done.
	BusyTime float64
}

// New makes a host of a kind; its speed is drawn.
func New(q *event.Queue, number int, addr string, kind *day.HostKind, cold *day.Cold, seed uint64) *Host {
	d := dice.New(seed, "host", number)
	return &Host{Number: number, Addr: addr, Cores: kind.Cores.N(), Speed: d.Between(kind.Speed.Lo, kind.Speed.Hi),
		q: q, dice: d, queue: kind.Queue.N(), most: kind.Connections.N(), cold: cold, running: map[*Job]bool{},
		mute: map[int][]float64{}}
}

// Warmth is the part of its capacity that it has now.
func (h *Host) Warmth() float64 {
	if h.Started <= 0 || h.cold.Warm.V() <= 0 {
		return 1
	}
	age := max(0, h.q.Now()-h.Started)
	return min(1, h.cold.Share.V()+(1-h.cold.Share.V())*age/h.cold.Warm.V())
}

// Pace is what one core does in a second, at present.
func (h *Host) Pace() float64 {
	p := h.Speed * h.Warmth()
	for _, s := range h.slow {
		p /= s
	}
	return p
}

// Waiting is how much work is in hand, running or in line.
func (h *Host) Waiting() int { return h.busy + len(h.line) - h.head }

// Silent says that it answers nothing, not even a new connection.
func (h *Host) Silent() bool { return h.silent > 0 }

// Open takes a new connection if there is room for one.
func (h *Host) Open() bool {
	most := float64(h.most)
	for _, f := range h.few {
		most *= f
	}
	if h.State == Down || float64(h.Connections) >= most {
		return false
	}
	h.Connections++
	return true
}

// Arrive takes work that has come whole.
func (h *Host) Arrive(j *Job) {
	h.bear(j)
	switch {
	case h.silent > 0 || h.State == Down:
	case h.State == Draining, h.busy >= h.Cores && len(h.line)-h.head >= h.queue:
		j.Answers(TurnedAway)
	case h.busy < h.Cores:
		h.start(j)
	default:
		j.waits = true
		h.line = append(h.line, j)
	}
}

// Withdraw drops work that waits; what runs goes on.
func (h *Host) Withdraw(j *Job) {
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
	h.running[j] = true
	j.Runs()
	took, life := j.Work/max(1e-6, h.Pace()), h.Life
	h.q.After(took, func() {
		if h.Life != life {
			return
		}
		h.busy--
		h.BusyTime += took
		delete(h.running, j)
		h.next()
		if h.silent == 0 && !h.hit(h.mute[j.Operation]) {
			switch {
			case h.hit(h.errs):
				j.Answers(Error)
			case h.hit(h.spoilt):
				j.Answers(Spoilt)
			default:
				j.Answers(Good)
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

func (h *Host) hit(shares []float64) bool {
	for _, p := range shares {
		if h.dice.Chance(p) {
			return true
		}
	}
	return false
}

// bear keeps account of what a cold host is sent; past its budget for the window it falls over and stays down. All that
// reaches it pushes, what it turns away too.
func (h *Host) bear(j *Job) {
	now, window := h.q.Now(), h.cold.Window.V()
	if h.State == Down || h.Warmth() >= 1 {
		h.sent = nil
		return
	}
	h.sent = append(h.sent, Sent{now, j.Work, j.Gateway})
	for len(h.sent) > 0 && h.sent[0].At < now-window {
		h.sent = h.sent[1:]
	}
	sum, slack := 0.0, 0.0
	for _, s := range h.sent {
		sum += s.Work
		slack = max(slack, s.Work)
	}
	if budget := h.cold.Factor.V() * float64(h.Cores) * h.Pace() * window; sum > budget+2*slack {
		sent := h.sent
		h.Stop()
		if h.Fell != nil {
			h.Fell(sent)
		}
	}
}

// Stop ends the host: what it holds is gone, connections are reset.
func (h *Host) Stop() {
	h.State = Down
	h.Life++
	h.busy, h.line, h.head, h.sent, h.Connections = 0, nil, 0, nil, 0
	clear(h.running)
}

// Start starts it cold, under its old address.
func (h *Host) Start() {
	h.Stop()
	h.State, h.Started = Up, h.q.Now()
}

// The troubles. Each begins and ends by itself; they overlap.

// Mute makes it silent; the work it holds waits, what ends meanwhile is not told.
func (h *Host) Mute(begin bool) {
	if begin {
		h.silent++
	} else if h.silent--; h.silent == 0 {
		h.next()
	}
}

// Slow makes it so many times slower.
func (h *Host) Slow(by float64, begin bool) { h.slow = change(h.slow, by, begin) }

// Errs makes it answer a share with an error; Spoils makes a share of its answers unreadable; Few leaves a part of its
// connections.
func (h *Host) Errs(share float64, begin bool)   { h.errs = change(h.errs, share, begin) }
func (h *Host) Spoils(share float64, begin bool) { h.spoilt = change(h.spoilt, share, begin) }
func (h *Host) Few(part float64, begin bool)     { h.few = change(h.few, part, begin) }

// MuteFor leaves a share of one operation's work unanswered.
func (h *Host) MuteFor(operation int, share float64, begin bool) {
	h.mute[operation] = change(h.mute[operation], share, begin)
}

func change(list []float64, x float64, begin bool) []float64 {
	if begin {
		return append(list, x)
	}
	for i := range list {
		if list[i] == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
