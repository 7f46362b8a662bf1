package hostmodel

import (
	"slices"

	"otterseam/sim/eventqueue"
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// State determines how a host handles new work.
type State int

// The states of a host.
const (
	Up       State = iota
	Draining       // rejects new work
	Down           // refuses connections
)

// Arrival is a job that arrived at a cold host.
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
	ConnectWork float64 // cost of a new connection, in seconds on a core of speed 1
	StartedAt   float64 // clock time of the last start; 0 means long ago
	State       State
	Incarnation int // counts starts and stops; events of an earlier incarnation are ignored
	Connections int
	OnOverload  func(arrivals []Arrival) // called when the host goes down from overload

	// BusyTime is the total of core seconds spent on jobs.
	BusyTime float64

	clock          *eventqueue.Queue
	random         randstream.Stream
	queueLimit     int
	maxConnections int
	cold           *scenario.ColdStart

	running  []*Job
	busy     int // cores that run a job
	queue    jobQueue
	arrivals []Arrival // within the window for detecting overload
	faults   faults
}

// New returns a host of a kind. Its speed is drawn at random.
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

// Warmth returns the fraction of its full capacity that a host has now. It grows linearly from the cold share to 1.
func (h *Host) Warmth() float64 {
	if h.StartedAt <= 0 || h.cold.Warm.Float() <= 0 {
		return 1
	}
	age := max(0, h.clock.Now()-h.StartedAt)
	return min(1, h.cold.Share.Float()+(1-h.cold.Share.Float())*age/h.cold.Warm.Float())
}

// CoreSpeed returns the work that one core currently does in a second.
func (h *Host) CoreSpeed() float64 {
	return h.Speed * h.Warmth() / h.faults.slowdowns.Product()
}

// Load returns the number of jobs that are running or queued.
func (h *Host) Load() int { return h.busy + h.queue.len() }

// IsSilent reports whether the host answers nothing, including new connections.
func (h *Host) IsSilent() bool { return h.faults.silences > 0 }

// AcceptsConnection reports whether the host has room for a new connection.
func (h *Host) AcceptsConnection() bool {
	return h.State != Down && float64(h.Connections) < float64(h.maxConnections)*h.faults.connectionFactors.Product()
}

// OpenConnection accepts a new connection if there is room for one, and reports whether it did.
func (h *Host) OpenConnection() bool {
	if !h.AcceptsConnection() {
		return false
	}
	h.Connections++
	return true
}

// Stop takes the host down. Its running and queued jobs are lost and its connections are reset.
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

// Start starts the host cold, under its previous address.
func (h *Host) Start() {
	h.Stop()
	h.State = Up
	h.StartedAt = h.clock.Now()
}
