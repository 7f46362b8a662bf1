package lease

const (
	// undelayedElections is how many proposals of a candidate for one epoch may fail before it waits between them. One or two fail
	// where two candidates meet, and a wait would only prolong the time without a primary.
	undelayedElections = 3
	// firstElectionBackoff is the shortest wait, in milliseconds; it doubles with each further failure, maxElectionDoublings times.
	firstElectionBackoff = 100
	maxElectionDoublings = 4
)

// ElectionBackoff spaces the proposals of a candidate that fail again and again. Two candidates of which each reaches a voter that the
// other does not can raise their proposal numbers above each other's for ever; randomized waits let one of them through.
type ElectionBackoff struct {
	epoch    uint64 // that is to be replaced
	failures int
	retryAt  int64
}

// Fail notes that a proposal to replace an epoch failed. Random returns a number from 0 up to below its argument; it is called only
// where the next proposal is to wait.
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

// MayPropose tells whether a proposal to replace an epoch may be made now.
func (b *ElectionBackoff) MayPropose(epoch uint64, now int64) bool {
	return epoch != b.epoch || now >= b.retryAt
}
