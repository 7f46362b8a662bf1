package configlog

import (
	"crypto/sha256"
	"sort"

	"otterseam/tier/codes"
)

const (
	// maxAccepted is how many configurations stay known after they were accepted, the newest ones. An operator has eight changes in
	// flight at most and repeats each without a limit of time; a day is designed for 4,700 changes. One that is repeated after
	// maxAccepted newer ones were accepted gets no clear result, and is never rejected.
	maxAccepted = 8192
	// maxRejected is how many rejections stay known. A duplicate of a rejected change may still be in flight, to be read by a member
	// that stood still: it must not be accepted then. Rejections that are forgotten hold by themselves unless the change named a
	// version that was yet to come, which only an operator does whose change before got no clear result: with eight changes in
	// flight there are a few of these at a time.
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

// Change is one configuration as the operator sends it. That it was accepted is known by its version and body; that it was
// rejected, by the version it builds on besides, since a rejected body may be sent anew on top of another version.
type Change struct {
	Base    uint64 // the version that it builds on
	Version uint64 // the version that it becomes
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

// Log holds the results given.
type Log struct {
	accepted  []acceptedChange // by rising versions
	compacted uint64           // the highest accepted version that is no longer known
	rejected  []rejection
}

// Decide gives the result of a change, where current is the version in force: codes.OK, codes.ConfigBase if it builds on another
// version, codes.ConfigInvalid if its version does not rise, or codes.ConfigForgotten if it is too old to tell. accepted says that
// it is accepted by this very call and comes in force; a change that was accepted before gets codes.OK without it.
func (l *Log) Decide(change Change, current uint64) (result codes.Code, accepted bool) {
	if earlier, known := l.resultOf(change); known {
		return earlier, false
	}
	switch {
	case change.Base != current:
		return l.reject(change, codes.ConfigBase), false
	case change.Version <= current:
		return l.reject(change, codes.ConfigInvalid), false
	default:
		l.accept(change)
		return codes.OK, true
	}
}

// resultOf returns the result that a change got before.
func (l *Log) resultOf(change Change) (codes.Code, bool) {
	if change.Version <= l.compacted {
		return codes.ConfigForgotten, true
	}
	if l.wasAccepted(change) {
		return codes.OK, true
	}
	for _, each := range l.rejected {
		if each.change == change {
			return each.result, true
		}
	}
	return codes.OK, false
}

// wasAccepted tells whether a change of this version and body was accepted. One whose version is not above its base is invalid by
// itself and never was.
func (l *Log) wasAccepted(change Change) bool {
	if change.Base >= change.Version {
		return false
	}
	position := sort.Search(len(l.accepted), func(i int) bool { return l.accepted[i].version >= change.Version })
	return position < len(l.accepted) && l.accepted[position] == (acceptedChange{change.Version, change.Body})
}

func (l *Log) accept(change Change) {
	l.accepted = append(l.accepted, acceptedChange{change.Version, change.Body})
	if excess := len(l.accepted) - maxAccepted; excess > 0 {
		l.compacted = l.accepted[excess-1].version
		l.accepted = append([]acceptedChange(nil), l.accepted[excess:]...)
	}
}

func (l *Log) reject(change Change, result codes.Code) codes.Code {
	l.rejected = append(l.rejected, rejection{change, result})
	if excess := len(l.rejected) - maxRejected; excess > 0 {
		l.rejected = append([]rejection(nil), l.rejected[excess:]...)
	}
	return result
}
