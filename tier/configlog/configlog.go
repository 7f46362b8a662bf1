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
	// maxAccepted is how many configurations stay known after they were taken, the newest ones. An operator has eight orders under way
	// at most and repeats each without a limit of time; a day is designed for 4,700 changes. One that is repeated after takenKept
	// newer ones were taken gets no clear answer, and is never refused.
	maxAccepted = 8192
	// maxRejected is how many refusals stay known. A copy of a refused order may still be under way, to be read by a member that
	// stood still: it must not be taken then. Refusals that are forgotten hold by themselves unless the order named a version that
	// was yet to come, which only an operator does whose order before got no clear answer: with eight orders under way there are
	// a few of these at a time.
	maxRejected = 256

	hashBytes = 16
)

// Hash is a digest of a configuration's body.
type Hash [hashBytes]byte

// HashOf digests a body.
func HashOf(body []byte) Hash {
	sum := sha256.Sum256(body)
	return Hash(sum[:hashBytes])
}

// Change is one configuration as the operator sends it. That it is taken is known by its version and body; that it is refused, by
// the version it builds on besides, since a refused body may be sent anew on top of another version.
type Change struct {
	Base    uint64
	Version uint64
	Body    Hash
}

type acceptedChange struct {
	version uint64
	body    Hash
}

type rejection struct {
	change Change
	result codes.Code
}

// Log holds the answers given.
type Log struct {
	accepted  []acceptedChange // by rising versions
	compacted uint64           // the highest version taken that is no longer known
	rejected  []rejection
}

// Decide answers an order, where current is the version in place. fresh says that it is taken by this very call and becomes the
// current one.
func (l *Log) Decide(order Change, current uint64) (answer codes.Code, fresh bool) {
	if answer, known := l.resultOf(order); known {
		return answer, false
	}
	switch {
	case order.Base != current:
		return l.reject(order, codes.ConfigBase), false
	case order.Version <= current:
		return l.reject(order, codes.ConfigInvalid), false
	}
	l.accept(order)
	return codes.OK, true
}

// resultOf returns the answer that an order got before.
func (l *Log) resultOf(order Change) (codes.Code, bool) {
	if order.Version <= l.compacted {
		return codes.ConfigForgotten, true
	}
	position := sort.Search(len(l.accepted), func(i int) bool { return l.accepted[i].version >= order.Version })
	// an order whose version is not above its base is invalid by itself and was never taken
	if order.Base < order.Version && position < len(l.accepted) && l.accepted[position] == (acceptedChange{order.Version, order.Body}) {
		return codes.OK, true
	}
	for _, each := range l.rejected {
		if each.change == order {
			return each.result, true
		}
	}
	return codes.OK, false
}

func (l *Log) accept(order Change) {
	l.accepted = append(l.accepted, acceptedChange{order.Version, order.Body})
	if excess := len(l.accepted) - maxAccepted; excess > 0 {
		l.compacted = l.accepted[excess-1].version
		l.accepted = append([]acceptedChange(nil), l.accepted[excess:]...)
	}
}

func (l *Log) reject(order Change, answer codes.Code) codes.Code {
	l.rejected = append(l.rejected, rejection{order, answer})
	if excess := len(l.rejected) - maxRejected; excess > 0 {
		l.rejected = append([]rejection(nil), l.rejected[excess:]...)
	}
	return answer
}

// Encode appends the log to a snapshot.
func (l *Log) Encode(e *codec.Encoder) {
	e.Uint64(l.compacted)
	e.Uint32(uint32(len(l.accepted)))
	for _, each := range l.accepted {
		e.Uint64(each.version)
		e.Blob(each.body[:])
	}
	e.Uint32(uint32(len(l.rejected)))
	for _, each := range l.rejected {
		e.Uint64(each.change.Base)
		e.Uint64(each.change.Version)
		e.Blob(each.change.Body[:])
		e.Uint32(uint32(each.result))
	}
}

const (
	minAcceptedBytes  = 8 + 4 + hashBytes
	minRejectionBytes = 8 + 8 + 4 + hashBytes + 4
)

// Decode reads a log from a snapshot.
func Decode(d *codec.Decoder) Log {
	l := Log{compacted: d.Uint64()}
	for range d.Count(minAcceptedBytes) {
		each := acceptedChange{version: d.Uint64()}
		copy(each.body[:], d.Blob())
		l.accepted = append(l.accepted, each)
	}
	for range d.Count(minRejectionBytes) {
		each := rejection{change: Change{Base: d.Uint64(), Version: d.Uint64()}}
		copy(each.change.Body[:], d.Blob())
		each.result = codes.Code(d.Uint32())
		l.rejected = append(l.rejected, each)
	}
	return l
}
