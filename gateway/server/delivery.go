package server

import "otterseam/gateway/policy"

// delivery is one attempt on its way to a host. It belongs to the event loop.
type delivery struct {
	invocation *invocation
	attempt    *policy.Attempt
	host       *host
	conn       *hostConn // the connection it was handed over to; nil: it waits for one
	sentAt     float64   // clock time at which the policy chose the host
	due        float64   // clock time at which it is given up
	index      int       // in the loop's time-outs; -1: it has ended
	outcome    policy.Outcome
}

// deliveryQueue is a heap (container/heap) by due time.
type deliveryQueue []*delivery

// Len is sort.Interface's.
func (q deliveryQueue) Len() int { return len(q) }

// Less is sort.Interface's.
func (q deliveryQueue) Less(i, j int) bool { return q[i].due < q[j].due }

// Swap is sort.Interface's.
func (q deliveryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is heap.Interface's.
func (q *deliveryQueue) Push(x any) {
	d := x.(*delivery)
	d.index = len(*q)
	*q = append(*q, d)
}

// Pop is heap.Interface's.
func (q *deliveryQueue) Pop() any {
	old := *q
	last := len(old) - 1
	d := old[last]
	d.index = -1
	old[last] = nil
	*q = old[:last]
	return d
}
