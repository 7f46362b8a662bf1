package discoverymodel

import (
	"otterseam/gateway/policy"
	"otterseam/sim/eventqueue"
	"otterseam/sim/model"
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// The delay of a change is the mean delay times a random factor between these.
const (
	minDelayFactor = 0.5
	maxDelayFactor = 1.5
)

// Notify notifies an api gateway of a change of the list.
type Notify func(gateway int, change policy.HostEntry)

// Registry is the list of hosts with all its changes.
type Registry struct {
	queue     *eventqueue.Queue
	random    randstream.Stream
	meanDelay float64 // seconds
	notify    Notify

	changes     []policy.HostEntry
	known       []int     // by gateway: how many changes it has received
	lastArrival []float64 // by gateway: when the last change in transit arrives

	delayFactors overlap.Values
	pauses       int      // faults in force that delay changes
	heldBack     []func() // sends of changes delayed until no such fault is in force
}

// New returns the registry of a scenario with its initial hosts, which all gateways know.
func New(
	queue *eventqueue.Queue, config *scenario.Discovery, gateways int, seed uint64, hosts []policy.HostEntry, notify Notify,
) *Registry {
	registry := &Registry{
		queue:       queue,
		random:      randstream.New(seed, "registry"),
		meanDelay:   config.Delay.Float(),
		notify:      notify,
		changes:     hosts,
		known:       make([]int, gateways),
		lastArrival: make([]float64, gateways),
	}
	for gateway := range registry.known {
		registry.known[gateway] = len(hosts)
	}
	return registry
}

// Publish sends a change to all gateways.
func (r *Registry) Publish(change policy.HostEntry) {
	r.changes = append(r.changes, change)
	count := len(r.changes)
	if r.pauses > 0 {
		r.heldBack = append(r.heldBack, func() { r.send(count) })
		return
	}
	r.send(count)
}

// send sends the last of the first count changes.
func (r *Registry) send(count int) {
	for gateway := range r.known {
		delay := r.meanDelay * r.delayFactors.Product() * r.random.Uniform(minDelayFactor, maxDelayFactor)
		// A change never arrives before an earlier one, because changes build on each other.
		r.lastArrival[gateway] = max(r.lastArrival[gateway], r.queue.Now()+delay)
		r.queue.Schedule(r.lastArrival[gateway], func() {
			r.known[gateway] = count
			r.notify(gateway, r.changes[count-1])
		})
	}
}

// HostList returns the list as an api gateway last received it, in the order in which hosts were added.
func (r *Registry) HostList(gateway int) []policy.HostEntry {
	index := map[string]int{}
	var latest []policy.HostEntry
	for _, change := range r.changes[:r.known[gateway]] {
		if i, ok := index[change.Addr]; ok {
			latest[i] = change
			continue
		}
		index[change.Addr] = len(latest)
		latest = append(latest, change)
	}
	list := latest[:0]
	for _, host := range latest {
		if host.State != model.HostLeft {
			list = append(list, host)
		}
	}
	return list
}

// Pause begins or ends a fault that delays changes. When no such fault is left, all delayed changes are sent.
func (r *Registry) Pause(begin bool) {
	if begin {
		r.pauses++
		return
	}
	r.pauses--
	if r.pauses > 0 {
		return
	}
	for _, send := range r.heldBack {
		send()
	}
	r.heldBack = nil
}

// SlowDown begins or ends a fault that multiplies the delay of changes by factor.
func (r *Registry) SlowDown(factor float64, begin bool) { r.delayFactors.Toggle(factor, begin) }
