// Package faultsim plays replica groups in virtual time on disks, machines and a network that fail, under the decisions that the
// tier takes in service: a shard under package placement, and the control group under packages register and membership. An
// adversary takes disks away one after the other, each time from the replica that protects most. No clock is read and nothing
// sleeps; a seed decides everything.
package faultsim

import (
	"container/heap"
	"math/rand"
)

// World is virtual time in milliseconds, with what is to happen in it.
type World struct {
	Now      int64
	Random   *rand.Rand
	events   eventQueue
	sequence uint64
}

// NewWorld makes a world whose chances follow from a seed.
func NewWorld(seed int64) *World {
	return &World{Now: 1 << 20, Random: rand.New(rand.NewSource(seed))}
}

type event struct {
	at       int64
	sequence uint64
	act      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last].act = nil
	*q = (*q)[:last]
	return popped
}

// After has something happen later.
func (w *World) After(delay int64, act func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.Now + max(0, delay), sequence: w.sequence, act: act})
}

// Between draws a number from low to high.
func (w *World) Between(low, high int64) int64 { return low + w.Random.Int63n(high-low+1) }

// Chance is true once in so many times.
func (w *World) Chance(times int) bool { return w.Random.Intn(times) == 0 }

// Run plays until a moment.
func (w *World) Run(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := heap.Pop(&w.events).(event)
		w.Now = next.at
		next.act()
	}
	w.Now = until
}

const lookEvery = 20 // milliseconds of virtual time between looks at a condition

// RunUntil plays until a condition holds, and reports whether it did within the limit.
func (w *World) RunUntil(limit int64, holds func() bool) bool {
	end := w.Now + limit
	for !holds() {
		if w.Now >= end {
			return false
		}
		w.Run(w.Now + lookEvery)
	}
	return true
}
