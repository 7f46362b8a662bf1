// Package admission decides whether the primary of a shard has room for a turn. The decision is made before the turn's Begin is
// proposed, when a rejection still promises that the turn has not run. The End of a turn that needs no more than was reserved for it is
// always accepted; of one that needs more, if there is room. Only the primary decides, so that replicas apply the same commands whatever
// their own limits are. The package reads no clock.
package admission

// smallTurnBytes is the size up to which a turn may use all of the memory for retained turns. Larger ones leave a quarter of it, so that
// they cannot displace ordinary turns.
const smallTurnBytes = 64 << 10

// reservationTTL is the time in milliseconds after which the reservation of a turn without an End is dropped: its gateway has failed, or
// another store has become primary.
const reservationTTL = 2 * 60 * 1000

// Limits are the limits of a process.
type Limits struct {
	RetainedBytes int64 // memory for retained turns
	Programs      int64
}

// Usage is what the replicas of a turn's shard hold.
type Usage struct {
	RetainedBytes int64 // of the replica whose process holds most
	Programs      int64
	// Primaries is the number of processes that admit turns to the shards of this one. They don't know each other's reservations, so each
	// takes the others to have as many large ones as it has itself.
	Primaries int64
}

// Key identifies a turn.
type Key struct {
	Shard   uint32
	Request string
}

// Turn is a turn that wants to begin.
type Turn struct {
	Key
	IsNewProgram  bool  // it creates the state of its program
	RetainedBytes int64 // the most that it may add to the retained turns; 0 if it is not retained
}

type reservation struct {
	bytes     int64
	expiresAt int64
}

// Controller admits turns and keeps the reservations of those that have not ended. It is not safe for concurrent use.
type Controller struct {
	limits        Limits
	reservations  map[Key]reservation
	reserved      int64
	reservedLarge int64 // of reserved, the part of turns larger than smallTurnBytes
	sweptAt       int64
}

// NewController returns a controller without reservations.
func NewController(limits Limits) *Controller {
	return &Controller{limits: limits, reservations: map[Key]reservation{}}
}

// Admit reports whether there is room for a turn, and reserves its bytes until Release. A turn that is admitted again has one
// reservation. The time is in milliseconds.
func (c *Controller) Admit(turn Turn, usage Usage, now int64) bool {
	if turn.IsNewProgram && usage.Programs >= c.limits.Programs {
		return false
	}
	if turn.RetainedBytes == 0 {
		return true
	}
	c.Release(turn.Key)
	if now-c.sweptAt > reservationTTL || !c.hasRoom(turn.RetainedBytes, usage) {
		c.sweep(now)
	}
	if !c.hasRoom(turn.RetainedBytes, usage) {
		return false
	}
	c.reservations[turn.Key] = reservation{turn.RetainedBytes, now + reservationTTL}
	c.addReserved(turn.RetainedBytes, turn.RetainedBytes)
	return true
}

func (c *Controller) hasRoom(bytes int64, usage Usage) bool {
	limit := c.limits.RetainedBytes
	if bytes > smallTurnBytes {
		limit -= limit / 4
	}
	others := (max(usage.Primaries, 1) - 1) * c.reservedLarge
	return usage.RetainedBytes+c.reserved+others+bytes <= limit
}

// addReserved changes the sums of the reservations by that of a turn of a size, which is negative for one that is dropped.
func (c *Controller) addReserved(change, size int64) {
	c.reserved += change
	if size > smallTurnBytes {
		c.reservedLarge += change
	}
}

// Excess returns how many of the bytes that a turn needs were not reserved for it.
func (c *Controller) Excess(key Key, bytes int64) int64 { return bytes - c.reservations[key].bytes }

// AcceptsEnd reports whether a turn that has run may be retained with a number of bytes.
func (c *Controller) AcceptsEnd(key Key, bytes int64, usage Usage) bool {
	excess := c.Excess(key, bytes)
	if excess <= 0 {
		return true
	}
	limit := c.limits.RetainedBytes + c.limits.RetainedBytes/2
	if bytes > smallTurnBytes {
		limit = c.limits.RetainedBytes - c.limits.RetainedBytes/4
	}
	return usage.RetainedBytes+excess <= limit
}

// Release drops the reservation of a turn that has ended or did not begin.
func (c *Controller) Release(key Key) {
	if old, found := c.reservations[key]; found {
		c.addReserved(-old.bytes, old.bytes)
		delete(c.reservations, key)
	}
}

// sweep drops the reservations that have expired.
func (c *Controller) sweep(now int64) {
	c.sweptAt = now
	for key, each := range c.reservations {
		if now > each.expiresAt {
			c.Release(key)
		}
	}
}
