package consensus

import "sync"

// roundsReserved is how many rounds one durable write covers. A proposer uses a few rounds for each failover, so that in
// practice it writes once in each incarnation, when it starts.
const roundsReserved = 1 << 20

// RoundAllocator hands out the rounds of one proposer's numbers. No round is handed out twice, by concurrent proposals or by two
// incarnations of the proposer: before a round is used, a limit at or above it is durable, and the next incarnation starts above
// that limit.
type RoundAllocator struct {
	mu      sync.Mutex
	last    uint64 // the highest round handed out or seen
	limit   uint64 // rounds up to this one may be handed out in this incarnation
	reserve func(limit uint64) error
}

// NewRoundAllocator makes the allocator of a new incarnation. used is the limit that the last incarnation made durable, or 0 for
// a first one; reserve makes a new limit durable before it returns.
func NewRoundAllocator(used uint64, reserve func(limit uint64) error) *RoundAllocator {
	return &RoundAllocator{last: used, limit: used, reserve: reserve}
}

// AssumedRoundLimit is the limit to assume for a proposer whose disk holds no limit, because an older version of the software
// wrote it: that version took its rounds from what its acceptor had promised and went a few rounds beyond at most.
func AssumedRoundLimit(acceptor Acceptor) uint64 {
	if acceptor.Promised.Round == 0 {
		return 0
	}
	return acceptor.Promised.Round + roundsReserved
}

// Reserve makes the next limit durable ahead of time, so that a later proposal need not wait for the disk.
func (r *RoundAllocator) Reserve() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ensure(r.last + 1)
}

// Next returns a round above all that were handed out or seen.
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

// Observe notes a round of another proposer, so that later proposal numbers are above it.
func (r *RoundAllocator) Observe(round uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = max(r.last, round)
}

// ensure makes a limit at or above a round durable; the lock is held.
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
