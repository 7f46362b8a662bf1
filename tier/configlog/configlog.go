// Package configlog decides the operator's configurations: one change wins on each version, and the same order always gets the answer
// that it got first. The package is pure; it is part of a replicated state, so that every member that leads knows the answers.
package configlog

import (
	"crypto/sha256"
	"sort"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

const (
	// takenKept is how many configurations stay known after they were taken, the newest ones. An operator has eight orders under way
	// at most and repeats each without a limit of time; a day is designed for 4,700 changes. One that is repeated after takenKept
	// newer ones were taken gets no clear answer, and is never refused.
	takenKept = 8192
	// refusedKept is how many refusals stay known. A copy of a refused order may still be under way, to be read by a member that
	// stood still: it must not be taken then. Refusals that are forgotten hold by themselves unless the order named a version that
	// was yet to come, which only an operator does whose order before got no clear answer: with eight orders under way there are
	// a few of these at a time.
	refusedKept = 256

	hashBytes = 16
)

// Hash is a digest of a configuration's body.
type Hash [hashBytes]byte

// HashOf digests a body.
func HashOf(body []byte) Hash {
	sum := sha256.Sum256(body)
	return Hash(sum[:hashBytes])
}

// Order is one configuration as the operator sends it. That it is taken is known by its version and body; that it is refused, by
// the version it builds on besides, since a refused body may be sent anew on top of another version.
type Order struct {
	Base    uint64
	Version uint64
	Body    Hash
}

type taken struct {
	version uint64
	body    Hash
}

type refusal struct {
	order  Order
	answer codes.Code
}

// Log holds the answers given.
type Log struct {
	taken     []taken // by rising versions
	forgotten uint64  // the highest version taken that is no longer known
	refused   []refusal
}

// Decide answers an order, where current is the version in place. fresh says that it is taken by this very call and becomes the
// current one.
func (l *Log) Decide(order Order, current uint64) (answer codes.Code, fresh bool) {
	if answer, known := l.answered(order); known {
		return answer, false
	}
	switch {
	case order.Base != current:
		return l.refuse(order, codes.ConfigBase), false
	case order.Version <= current:
		return l.refuse(order, codes.ConfigInvalid), false
	}
	l.take(order)
	return codes.OK, true
}

// answered returns the answer that an order got before.
func (l *Log) answered(order Order) (codes.Code, bool) {
	if order.Version <= l.forgotten {
		return codes.ConfigForgotten, true
	}
	position := sort.Search(len(l.taken), func(i int) bool { return l.taken[i].version >= order.Version })
	// an order whose version is not above its base is invalid by itself and was never taken
	if order.Base < order.Version && position < len(l.taken) && l.taken[position] == (taken{order.Version, order.Body}) {
		return codes.OK, true
	}
	for _, each := range l.refused {
		if each.order == order {
			return each.answer, true
		}
	}
	return codes.OK, false
}

func (l *Log) take(order Order) {
	l.taken = append(l.taken, taken{order.Version, order.Body})
	if excess := len(l.taken) - takenKept; excess > 0 {
		l.forgotten = l.taken[excess-1].version
		l.taken = append([]taken(nil), l.taken[excess:]...)
	}
}

func (l *Log) refuse(order Order, answer codes.Code) codes.Code {
	l.refused = append(l.refused, refusal{order, answer})
	if excess := len(l.refused) - refusedKept; excess > 0 {
		l.refused = append([]refusal(nil), l.refused[excess:]...)
	}
	return answer
}

// Encode appends the log to a snapshot.
func (l *Log) Encode(e *codec.Encoder) {
	e.Uint64(l.forgotten)
	e.Uint32(uint32(len(l.taken)))
	for _, each := range l.taken {
		e.Uint64(each.version)
		e.Blob(each.body[:])
	}
	e.Uint32(uint32(len(l.refused)))
	for _, each := range l.refused {
		e.Uint64(each.order.Base)
		e.Uint64(each.order.Version)
		e.Blob(each.order.Body[:])
		e.Uint32(uint32(each.answer))
	}
}

const (
	smallestTaken   = 8 + 4 + hashBytes
	smallestRefusal = 8 + 8 + 4 + hashBytes + 4
)

// Decode reads a log from a snapshot.
func Decode(d *codec.Decoder) Log {
	l := Log{forgotten: d.Uint64()}
	for range d.Count(smallestTaken) {
		each := taken{version: d.Uint64()}
		copy(each.body[:], d.Blob())
		l.taken = append(l.taken, each)
	}
	for range d.Count(smallestRefusal) {
		each := refusal{order: Order{Base: d.Uint64(), Version: d.Uint64()}}
		copy(each.order.Body[:], d.Blob())
		each.answer = codes.Code(d.Uint32())
		l.refused = append(l.refused, each)
	}
	return l
}
