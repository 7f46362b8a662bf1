package consensus

import "sync"

// roundsReserved is the number of rounds that one durable write reserves. A proposer uses a few rounds per failover, so in
// practice it writes once per incarnation, at startup.
const roundsReserved = 1 << 20

// RoundAllocator allocates the rounds of one proposer's proposal numbers. No round is allocated twice, neither to concurrent
// proposals nor by two incarnations of the proposer: before a round is used, a limit at or above it is durable, and the next
// incarnation starts above that limit.
type RoundAllocator struct {
	mu      sync.Mutex
	last    uint64 // the highest round allocated or observed
	limit   uint64 // rounds up to this one may be allocated in this incarnation
	reserve func(limit uint64) error
}

// NewRoundAllocator returns the allocator of a new incarnation. used is the limit that the previous incarnation made durable, or
// 0 for the first one. reserve must make a new limit durable before it returns.
func NewRoundAllocator(used uint64, reserve func(limit uint64) error) *RoundAllocator {
	return &RoundAllocator{last: used, limit: used, reserve: reserve}
}

// AssumedRoundLimit returns the limit to assume for a proposer whose disk was written by an older version of the software and
// holds no limit. That version derived its rounds from its acceptor's promise and went at most a few rounds beyond it.
func AssumedRoundLimit(acceptor Acceptor) uint64 {
	if acceptor.Promised.Round == 0 {
		return 0
	}
	return acceptor.Promised.Round + roundsReserved
}

// Reserve makes the next limit durable ahead of time, so that a later proposal doesn't wait for the disk.
func (r *RoundAllocator) Reserve() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ensure(r.last + 1)
}

// Next returns a round above all that were allocated or observed.
func (r *RoundAllocator) Next() (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.last + 1
	if err := r.ensure(next); err != nil {
		return 0, err
	}
	r.last = next
	return next, nil
}

// Observe records a round of another proposer, so that later proposal numbers are above it.
func (r *RoundAllocator) Observe(round uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = max(r.last, round)
}

// ensure makes a limit at or above a round durable. The caller must hold the lock.
func (r *RoundAllocator) ensure(round uint64) error {
	if round <= r.limit {
		return nil
	}
	limit := round + roundsReserved
	if err := r.reserve(limit); err != nil {
		return err
	}
	r.limit = limit
	return nil
}
