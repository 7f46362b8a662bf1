package server

import "otterseam/gateway/policy"

// delivery is one attempt to send an invocation to a host. It belongs to the event loop.
type delivery struct {
	invocation *invocation
	attempt    *policy.Attempt
	host       *host
	conn       *hostConn // the connection it was dispatched on; nil: it waits for one
	sentAt     float64   // clock time at which the policy chose the host
	due        float64   // clock time of its deadline
	index      int       // index in the loop's timeouts; -1: it has ended
	outcome    policy.Outcome
}

// deliveryQueue implements heap.Interface, ordered by due time.
type deliveryQueue []*delivery

// Len implements sort.Interface.
func (q deliveryQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q deliveryQueue) Less(i, j int) bool { return q[i].due < q[j].due }

// Swap implements sort.Interface.
func (q deliveryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *deliveryQueue) Push(x any) {
	d := x.(*delivery)
	d.index = len(*q)
	*q = append(*q, d)
}

// Pop implements heap.Interface.
func (q *deliveryQueue) Pop() any {
	old := *q
	last := len(old) - 1
	d := old[last]
	d.index = -1
	old[last] = nil
	*q = old[:last]
	return d
}
