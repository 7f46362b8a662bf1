package faultsim

import (
	"math/rand"

	"otterseam/sim/eventqueue"
)

// startTime is when each run begins, in milliseconds: far enough from zero that no difference of times is negative.
const startTime = 1 << 20

// kernel is the virtual time of a run and its randomness. The queue's clock counts milliseconds here.
type kernel struct {
	queue  eventqueue.Queue
	random *rand.Rand
}

// newKernel makes a kernel whose random numbers follow from a seed.
func newKernel(seed int64) *kernel {
	k := &kernel{random: rand.New(rand.NewSource(seed))}
	k.queue.Run(startTime)
	return k
}

// now is the virtual time in milliseconds.
func (k *kernel) now() int64 { return int64(k.queue.Now()) }

// after runs callback so many milliseconds from now. A negative delay counts as none.
func (k *kernel) after(delay int64, callback func()) {
	k.queue.Schedule(float64(k.now()+max(0, delay)), callback)
}

// between draws a number from low to high, both included.
func (k *kernel) between(low, high int64) int64 { return low + k.random.Int63n(high-low+1) }

// delays is a range of milliseconds, both ends included.
type delays struct{ shortest, longest int64 }

// draw draws a delay of a range.
func (k *kernel) draw(from delays) int64 { return k.between(from.shortest, from.longest) }

// oneIn draws a chance of one in so many.
func (k *kernel) oneIn(times int) bool { return k.random.Intn(times) == 0 }

// runUntil runs all events up to a moment.
func (k *kernel) runUntil(moment int64) { k.queue.Run(float64(moment)) }

// conditionInterval is how often a condition is looked at, in milliseconds of virtual time.
const conditionInterval = 20

// runUntilHolds runs events until a condition holds, and reports whether it did within recoveryTimeout.
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
