package hostmodel

import (
	"slices"

	"otterseam/sim/eventqueue"
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// State is what a host does with new work.
type State int

// The states of a host.
const (
	Up       State = iota
	Draining       // rejects new work
	Down           // refuses connections
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
	ConnectWork float64 // what a new connection costs it, in seconds on a core of speed 1
	StartedAt   float64 // clock time of its last start; 0: long ago
	State       State
	Incarnation int // counts its starts and stops: what belongs to an earlier one is void
	Connections int
	OnOverload  func(arrivals []Arrival) // called when overload takes it down

	// BusyTime adds up the core seconds of work done.
	BusyTime float64

	clock          *eventqueue.Queue
	random         randstream.Stream
	queueLimit     int
	maxConnections int
	cold           *scenario.ColdStart

	running  []*Job
	busy     int // cores at work
	queue    jobQueue
	arrivals []Arrival // within the window by which overload is judged
	faults   faults
}

// New makes a host of a kind; its speed is drawn.
func New(clock *eventqueue.Queue, number int, addr string, kind *scenario.HostKind, cold *scenario.ColdStart, seed uint64) *Host {
	random := randstream.New(seed, "host", number)
	return &Host{
		Number:      number,
		Addr:        addr,
		Cores:       kind.Cores.Int(),
		Speed:       random.Uniform(kind.Speed.Lo, kind.Speed.Hi),
		ConnectWork: kind.ConnectWork.Float(),

		clock:          clock,
		random:         random,
		queueLimit:     kind.Queue.Int(),
		maxConnections: kind.Connections.Int(),
		cold:           cold,
		faults:         faults{silencedOperations: map[int]*overlap.Values{}},
	}
}

// Warmth is the part of its capacity that a host has now: it grows evenly from the cold share to 1.
func (h *Host) Warmth() float64 {
	if h.StartedAt <= 0 || h.cold.Warm.Float() <= 0 {
		return 1
	}
	age := max(0, h.clock.Now()-h.StartedAt)
	return min(1, h.cold.Share.Float()+(1-h.cold.Share.Float())*age/h.cold.Warm.Float())
}

// CoreSpeed is the work that one core does in a second, at present.
func (h *Host) CoreSpeed() float64 {
	return h.Speed * h.Warmth() / h.faults.slowdowns.Product()
}

// Load is how many jobs run or wait.
func (h *Host) Load() int { return h.busy + h.queue.len() }

// IsSilent says that it answers nothing, not even a new connection.
func (h *Host) IsSilent() bool { return h.faults.silences > 0 }

// AcceptsConnection says whether there is room for a new connection.
func (h *Host) AcceptsConnection() bool {
	return h.State != Down && float64(h.Connections) < float64(h.maxConnections)*h.faults.connectionFactors.Product()
}

// OpenConnection takes a new connection if there is room for one.
func (h *Host) OpenConnection() bool {
	if !h.AcceptsConnection() {
		return false
	}
	h.Connections++
	return true
}

// Stop takes the host down: the jobs that it holds are lost and its connections reset.
func (h *Host) Stop() {
	h.State = Down
	h.Incarnation++
	lost := slices.Concat(h.running, h.queue.waiting())
	h.running = nil
	h.busy = 0
	h.queue = jobQueue{}
	h.arrivals = nil
	h.Connections = 0
	for _, job := range lost {
		if !job.cancelled {
			job.queued = false
			job.OnAnswer(Reset)
		}
	}
}

// Start starts the host cold, under its old address.
func (h *Host) Start() {
	h.Stop()
	h.State = Up
	h.StartedAt = h.clock.Now()
}
