package countermodel

import (
	"maps"
	"math"

	"otterseam/sim/eventqueue"
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// significantDigits is how many digits of a sum an answer has. It is the same in the platform's counter.
const significantDigits = 7

// Outcome is the result of a call.
type Outcome int

// The outcomes of a call.
const (
	Added             Outcome = iota
	Rejected                  // the counter is overloaded, or the name has no leader
	ConnectionRefused         // the connection was refused
)

// sum is the sum of one name.
type sum struct {
	value     float64
	expiresAt float64
}

// partition holds the sums of a subset of the names.
type partition struct {
	freeAt float64 // when all calls that have arrived are processed
	sums   map[uint64]sum
}

// The replicas of the counter. The second one exists only while the counter is split.
const (
	mainReplica = iota
	splitReplica
	replicaCount
)

// Counter is the shared counter.
type Counter struct {
	queue       *eventqueue.Queue
	random      randstream.Stream
	capacity    float64 // calls a second of one partition
	maxBacklog  float64 // calls queued at one partition
	serviceTime float64 // seconds from the end of a call's wait in the queue to its answer

	replicas  [replicaCount][]partition
	snapshots [][]map[uint64]sum // of the main replica's sums by partition

	// Faults in force.
	splits           int
	silences         int
	refusals         int
	capacityFactors  overlap.Values
	answeredShares   overlap.Values
	leaderlessShares map[uint64]float64 // by the salt that selects the names: share of the names without a leader

	// Calls counts the calls that reached the counter, Answered those it answered and Unanswered those it did not answer.
	Calls, Answered, Unanswered float64
}

// New returns the counter of a scenario.
func New(queue *eventqueue.Queue, config *scenario.Counter, seed uint64) *Counter {
	partitions := config.Partitions.Int()
	counter := &Counter{
		queue:       queue,
		random:      randstream.New(seed, "counter"),
		capacity:    config.Capacity.Float() / float64(partitions),
		maxBacklog:  config.Queue.Float(),
		serviceTime: config.ServiceTime.Float(),

		leaderlessShares: map[uint64]float64{},
	}
	for replica := range counter.replicas {
		counter.replicas[replica] = make([]partition, partitions)
		for i := range counter.replicas[replica] {
			counter.replicas[replica][i].sums = map[uint64]sum{}
		}
	}
	return counter
}

// AcceptsConnections reports whether the counter accepts connections.
func (c *Counter) AcceptsConnections() bool { return c.refusals == 0 }

// Add adds an amount to the sum of a name once the calls queued before it are processed. A new name expires after lifetime seconds.
// done is called with the outcome and the sum at that moment, unless the counter does not answer. A caller on the farSide uses the
// split replica while there is one.
func (c *Counter) Add(farSide bool, name uint64, amount, lifetime float64, done func(Outcome, float64)) {
	c.Calls++
	if c.refusals > 0 {
		done(ConnectionRefused, 0)
		return
	}
	if c.silences > 0 {
		c.Unanswered++
		return
	}
	if c.leaderless(name) {
		c.Answered++
		done(Rejected, 0)
		return
	}
	target := c.partitionOf(farSide, name)
	perCall := 1 / (c.capacity * c.capacityFactors.Product())
	now := c.queue.Now()
	if (target.freeAt-now)/perCall > c.maxBacklog {
		c.Answered++
		done(Rejected, 0)
		return
	}
	target.freeAt = max(now, target.freeAt) + perCall
	c.queue.Schedule(target.freeAt+c.serviceTime, func() { c.serve(target, name, amount, lifetime, done) })
}

func (c *Counter) partitionOf(farSide bool, name uint64) *partition {
	replica := c.replicas[mainReplica]
	if farSide && c.splits > 0 {
		replica = c.replicas[splitReplica]
	}
	return &replica[name%uint64(len(replica))]
}

// serve processes a call at the front of the queue.
func (c *Counter) serve(target *partition, name uint64, amount, lifetime float64, done func(Outcome, float64)) {
	if c.silences > 0 || c.refusals > 0 { // the counter became unavailable while the call was queued
		c.Unanswered++
		return
	}
	current, known := target.sums[name]
	if !known || current.expiresAt <= c.queue.Now() {
		current = sum{expiresAt: c.queue.Now() + lifetime}
	}
	current.value += amount
	target.sums[name] = current
	if c.answeredShares.Any(func(answered float64) bool { return !c.random.Chance(answered) }) {
		c.Unanswered++
		return
	}
	c.Answered++
	done(Added, roundToDigits(current.value))
}

// roundToDigits rounds a sum to significantDigits.
func roundToDigits(x float64) float64 {
	if x == 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-(significantDigits-1))
	if unit < 1 { // use the reciprocal, which is a whole number and so represented exactly
		return math.Round(x*math.Round(1/unit)) / math.Round(1/unit)
	}
	return math.Round(x/unit) * unit
}

// DropExpired removes the names that have expired. The iteration order of the maps has no effect on the result.
func (c *Counter) DropExpired() {
	for _, replica := range c.replicas {
		for i := range replica {
			maps.DeleteFunc(replica[i].sums, func(_ uint64, s sum) bool { return s.expiresAt <= c.queue.Now() })
		}
	}
}
