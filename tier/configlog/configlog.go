package configlog

import (
	"crypto/sha256"
	"sort"

	"otterseam/tier/codes"
)

const (
	// maxAccepted is the number of accepted changes whose results are kept, the newest ones. An operator has at most eight changes in
	// flight and may repeat each of them after any time. The design load is 4,700 changes a day. A change that is repeated after
	// maxAccepted newer ones were accepted gets codes.ConfigForgotten and is never rejected.
	maxAccepted = 8192
	// maxRejected is the number of rejected changes whose results are kept. A duplicate of a rejected change may still be in flight
	// to a member that was stalled, and must not be accepted when it arrives. Without its entry, a rejected change is still
	// rejected unless its base is a version that was accepted after the rejection. Only an operator whose previous change got no
	// definite result sends such a change: with eight changes in flight, there are only a few of them at a time.
	maxRejected = 256

	hashBytes = 16
)

// Hash is a truncated SHA-256 digest of a configuration's body.
type Hash [hashBytes]byte

// HashOf returns the hash of a body.
func HashOf(body []byte) Hash {
	sum := sha256.Sum256(body)
	return Hash(sum[:hashBytes])
}

// Change is a configuration that the operator sends. A repeated accepted change is recognized by version and body. A repeated
// rejected change must also have the same base, because a rejected body may be sent again on top of another version.
type Change struct {
	Base    uint64 // the version that the change is based on
	Version uint64 // the version that the change creates
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

// Log holds the results of earlier changes.
type Log struct {
	accepted  []acceptedChange // by ascending version
	compacted uint64           // the highest accepted version that was dropped from accepted
	rejected  []rejection
}

// Decide returns the result of a change to the current version: codes.OK, codes.ConfigBase if the change has another base,
// codes.ConfigInvalid if its version is not higher than the current one, or codes.ConfigForgotten if it is so old that its result
// is no longer known. accepted is true if this call accepted the change, so that it becomes the current configuration. For a change
// that was accepted before, the result is codes.OK and accepted is false.
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

// resultOf returns the earlier result of a change and whether there is one.
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

// wasAccepted reports whether a change with this version and body was accepted. A change whose version is not higher than its base is
// invalid and was never accepted.
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
