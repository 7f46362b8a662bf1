package faultsim

import (
	"math/rand"

	"otterseam/sim/eventqueue"
)

// startTime is the virtual time at which each run begins, in milliseconds. It is far enough from zero that no difference of times is
// negative.
const startTime = 1 << 20

// kernel holds the event queue and the random source of a run. The queue's clock counts milliseconds.
type kernel struct {
	queue  eventqueue.Queue
	random *rand.Rand
}

// newKernel returns a kernel whose random numbers are derived from a seed.
func newKernel(seed int64) *kernel {
	k := &kernel{random: rand.New(rand.NewSource(seed))}
	k.queue.Run(startTime)
	return k
}

// now returns the virtual time in milliseconds.
func (k *kernel) now() int64 { return int64(k.queue.Now()) }

// after schedules callback to run delay milliseconds from now. A negative delay counts as zero.
func (k *kernel) after(delay int64, callback func()) {
	k.queue.Schedule(float64(k.now()+max(0, delay)), callback)
}

// between returns a random number from low to high, both included.
func (k *kernel) between(low, high int64) int64 { return low + k.random.Int63n(high-low+1) }

// delays is a range of delays in milliseconds, both ends included.
type delays struct{ shortest, longest int64 }

// draw returns a random delay from a range.
func (k *kernel) draw(from delays) int64 { return k.between(from.shortest, from.longest) }

// oneIn returns true with a probability of 1/n.
func (k *kernel) oneIn(n int) bool { return k.random.Intn(n) == 0 }

// runUntil runs all events up to a virtual time.
func (k *kernel) runUntil(end int64) { k.queue.Run(float64(end)) }

// conditionInterval is the interval at which runUntilHolds checks its condition, in milliseconds of virtual time.
const conditionInterval = 20

// runUntilHolds runs events until a condition holds, and reports whether it held within recoveryTimeout.
func (k *kernel) runUntilHolds(holds func() bool) bool {
	end := k.now() + recoveryTimeout
	for !holds() {
		if k.now() >= end {
			return false
		}
		k.runUntil(k.now() + conditionInterval)
	}
	return true
}
