// Package discoverymodel owns the list of hosts and its way to the api gateways: each hears each change late, in order, and
// one that starts has the list as it was last told. It must never know whether a host works.
package discoverymodel

import (
	"otterseam/gateway/policy"
	"otterseam/sim/eventqueue"
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// Registry is the list with its history.
type Registry struct {
	q       *eventqueue.Queue
	dice    randstream.Stream
	delay   float64
	late    overlap.Values
	silent  int
	changes []policy.HostEntry
	told    []int
	due     []float64 // the last change on its way to each arrives then
	held    []func()  // what waits for the list to speak again
	tell    func(gateway int, change policy.HostEntry)
}

// New makes the list of a day with the hosts it starts with; tell is called when an api gateway is told of a change.
func New(q *eventqueue.Queue, d *scenario.Discovery, gateways int, seed uint64, hosts []policy.HostEntry,
	tell func(int, policy.HostEntry),
) *Registry {
	r := &Registry{
		q: q, dice: randstream.New(seed, "registry"), delay: d.Delay.V(), changes: hosts,
		told: make([]int, gateways), due: make([]float64, gateways), tell: tell,
	}
	for i := range r.told {
		r.told[i] = len(hosts) // the list at the start
	}
	return r
}

// Publish puts a change on its way to all.
func (r *Registry) Publish(l policy.HostEntry) {
	r.changes = append(r.changes, l)
	n := len(r.changes)
	if r.silent > 0 {
		r.held = append(r.held, func() { r.send(n) })
		return
	}
	r.send(n)
}

func (r *Registry) send(n int) {
	for g := range r.told {
		// Never before an earlier change: they build on each other.
		r.due[g] = max(r.due[g], r.q.Now()+r.delay*r.late.Product()*r.dice.Uniform(0.5, 1.5))
		r.q.Schedule(r.due[g], func() {
			r.told[g] = n
			r.tell(g, r.changes[n-1])
		})
	}
}

// HostList is the list as an api gateway was last told of it, in the order in which hosts came.
func (r *Registry) HostList(gateway int) []policy.HostEntry {
	at := map[string]int{}
	var list []policy.HostEntry
	for _, l := range r.changes[:r.told[gateway]] {
		if i, ok := at[l.Addr]; ok {
			list[i] = l
			continue
		}
		at[l.Addr] = len(list)
		list = append(list, l)
	}
	whole := list[:0]
	for _, l := range list {
		if l.State != "left" {
			whole = append(whole, l)
		}
	}
	return whole
}

// Pause keeps changes back until it ends; then they all set out.
func (r *Registry) Pause(begin bool) {
	if begin {
		r.silent++
	} else if r.silent--; r.silent == 0 {
		for _, f := range r.held {
			f()
		}
		r.held = nil
	}
}

// SlowDown makes changes take so many times longer.
func (r *Registry) SlowDown(by float64, begin bool) { r.late.Toggle(by, begin) }
