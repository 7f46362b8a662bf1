package consensus

import "context"

// Bootstrap decides the first record, for members that are more than half of the seeds. Founders may each have found others of the
// seeds: a majority of the members of one list and a majority of another's need not meet, so that more than half of all seeds have
// to vote. Any two such votes meet in one seed, and the later founder reads there what the earlier one decided.
func Bootstrap(ctx context.Context, transport Transport, proposer uint64, rounds *RoundAllocator, members []Member, seeds int, change Change) (Record, error) {
	return propose(ctx, transport, proposer, rounds, Record{Members: members}, seeds/2+1, change)
}
