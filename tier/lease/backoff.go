package lease

const (
	// undelayedElections is the number of proposals of a candidate for one epoch that may fail before it delays further ones. One or
	// two fail when two candidates compete, and a delay would only prolong the time without a primary.
	undelayedElections = 3
	// firstElectionBackoff is the shortest delay in milliseconds. The delay doubles with each further failure, up to the limit that
	// maxElectionDoublings sets.
	firstElectionBackoff = 100
	maxElectionDoublings = 4
)

// ElectionBackoff delays the proposals of a candidate after repeated failures. Two candidates, each of which reaches a voter that the
// other does not reach, can outbid each other's proposal numbers indefinitely. Randomized delays let one of them succeed.
type ElectionBackoff struct {
	epoch    uint64 // the epoch to replace
	failures int
	retryAt  int64
}

// Fail records that a proposal to replace an epoch failed. random returns a number from 0 to its argument, exclusive. It is called
// only if the next proposal is delayed.
func (b *ElectionBackoff) Fail(epoch uint64, now int64, random func(int64) int64) {
	if epoch != b.epoch {
		*b = ElectionBackoff{epoch: epoch}
	}
	b.failures++
	if b.failures <= undelayedElections {
		return
	}
	longest := int64(firstElectionBackoff) << min(b.failures-undelayedElections, maxElectionDoublings)
	b.retryAt = now + longest/2 + random(longest/2)
}

// MayPropose reports whether a proposal to replace an epoch may be made now.
func (b *ElectionBackoff) MayPropose(epoch uint64, now int64) bool {
	return epoch != b.epoch || now >= b.retryAt
}
