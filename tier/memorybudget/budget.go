// Package memorybudget divides the memory that a process may hold for its peers among their messages: the requests of clients, or the
// responses of hosts. A message reserves memory as its bytes arrive and gives it back when it has ended. If the memory is spent, messages
// that are still being received yield, those first that have held most for longest: a peer that stops short of the end of its message, or
// never ends it, cannot keep its memory, while one that sends at its pace keeps it as long as there is enough. Only Await reads a clock.
package memorybudget

import (
	"errors"
	"sync"
	"time"
)

const (
	// smallMessageBytes is the size up to which a message may use all of the memory. Larger ones leave a quarter of it, so that ordinary
	// messages are received beside them.
	smallMessageBytes = 64 << 10
	// minEvictionAge is the time that a message has to arrive before it may have to yield.
	minEvictionAge = 250 * time.Millisecond
)

var (
	// ErrSpent is returned if a message is larger than it may ever be.
	ErrSpent = errors.New("the memory for messages is spent")
	// ErrEvicted is returned to a message that has had to yield.
	ErrEvicted = errors.New("the message was given up to free memory")
)

// Budget is a number of bytes that the claims of messages share. It is safe for concurrent use.
type Budget struct {
	// MinEvictionBytes is how much a message may hold without ever having to yield. It is set before the first claim is opened.
	MinEvictionBytes int64

	limit int64

	mu        sync.Mutex // guards the fields below and the fields of the claims
	used      int64
	yielding  int64 // bytes of the claims that were evicted and are not closed yet
	receiving map[*Claim]bool
	released  chan struct{} // closed and replaced when bytes are released and a claim waits for them
	waiting   int           // number of claims that wait
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, receiving: map[*Claim]bool{}, released: make(chan struct{})}
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Claim is the memory of one message. The zero value is closed. A claim must not be copied.
type Claim struct {
	budget   *Budget
	bytes    int64
	openedAt time.Time
	evict    func()
	evicted  bool
}

// Open starts a claim for a message that is being received. If the message has to yield, evict is called once, by another goroutine; it
// must make the message end and must not block.
func (b *Budget) Open(c *Claim, now time.Time, evict func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*c = Claim{budget: b, openedAt: now, evict: evict}
	b.receiving[c] = true
}

// Reserve adds bytes to the claim. If a channel is returned, the bytes don't fit now: messages that can make room are yielding, and the
// caller may try again when the channel is closed. The error is ErrSpent or ErrEvicted.
func (c *Claim) Reserve(bytes int64, now time.Time) (wait <-chan struct{}, err error) {
	b := c.budget
	if b == nil {
		return nil, nil
	}
	b.mu.Lock()
	if c.evicted {
		b.mu.Unlock()
		return nil, ErrEvicted
	}
	limit := b.limitFor(c.bytes + bytes)
	if b.take(c, bytes, limit) {
		b.mu.Unlock()
		return nil, nil
	}
	if c.bytes+bytes > limit {
		b.mu.Unlock()
		return nil, ErrSpent
	}
	victims := b.selectVictims(c, bytes, limit, now)
	b.waiting++
	wait = b.released
	b.mu.Unlock()
	for _, victim := range victims {
		victim()
	}
	return wait, nil
}

// TryReserve adds bytes to the claim if they fit now. No other message has to yield for them. The error is ErrSpent or ErrEvicted.
func (c *Claim) TryReserve(bytes int64) error {
	b := c.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case c.evicted:
		return ErrEvicted
	case !b.take(c, bytes, b.limitFor(c.bytes+bytes)):
		return ErrSpent
	default:
		return nil
	}
}

// take adds bytes to a claim if they fit into a limit. The caller holds the lock.
func (b *Budget) take(c *Claim, bytes, limit int64) bool {
	if b.used+bytes > limit {
		return false
	}
	b.used += bytes
	c.bytes += bytes
	return true
}

// limitFor returns how much of the budget may be used by a message of a size.
func (b *Budget) limitFor(size int64) int64 {
	if size > smallMessageBytes {
		return b.limit - b.limit/4
	}
	return b.limit
}

// selectVictims marks so many messages as evicted that the bytes fit, and returns their evict functions. If they wouldn't fit, it marks
// none. The caller holds the lock.
func (b *Budget) selectVictims(c *Claim, bytes, limit int64, now time.Time) (evict []func()) {
	var victims []*Claim
	yielding := b.yielding
	for b.used-yielding+bytes > limit {
		victim := b.worst(c, now)
		if victim == nil {
			for _, each := range victims {
				each.evicted = false
				b.receiving[each] = true
			}
			return nil
		}
		victim.evicted = true
		delete(b.receiving, victim)
		victims = append(victims, victim)
		yielding += victim.bytes
	}
	b.yielding = yielding
	for _, each := range victims {
		evict = append(evict, each.evict)
	}
	return evict
}

// worst returns the message that has held most for longest, other than c, or nil if there is none that may have to yield.
func (b *Budget) worst(c *Claim, now time.Time) *Claim {
	var worst *Claim
	worstHeld := float64(0)
	for each := range b.receiving {
		age := now.Sub(each.openedAt)
		if each == c || age < minEvictionAge || each.bytes <= b.MinEvictionBytes {
			continue
		}
		if held := float64(each.bytes) * age.Seconds(); held > worstHeld {
			worst = each
			worstHeld = held
		}
	}
	return worst
}

// Waited has to be called after the channel that Reserve returned was closed, or when the caller no longer waits for it.
func (c *Claim) Waited() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.waiting--
}

// Received marks the message as completely received. It no longer has to yield. It returns ErrEvicted if it already had to.
func (c *Claim) Received() error {
	b := c.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return ErrEvicted
	}
	delete(b.receiving, c)
	return nil
}

// Evicted reports whether the message had to yield.
func (c *Claim) Evicted() bool {
	b := c.budget
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.evicted
}

// Release gives back a part of the claim.
func (c *Claim) Release(bytes int64) {
	b := c.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.release(min(bytes, c.bytes))
}

// Close releases the bytes of the claim. A claim may be closed more than once, and opened again.
func (c *Claim) Close() {
	b := c.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, c)
	c.release(c.bytes)
	c.budget = nil
}

// release gives bytes back and tells the claims that wait for them. The caller holds the lock.
func (c *Claim) release(bytes int64) {
	b := c.budget
	b.used -= bytes
	c.bytes -= bytes
	if c.evicted {
		b.yielding -= bytes
	}
	if b.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}
