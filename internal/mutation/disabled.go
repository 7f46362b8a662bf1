//go:build !seeded

package mutation

// Defects of the gateway.
const (
	ResetCountsAsNeverRan        = false // a connection broken after the last byte counts as an attempt that never ran
	DrainIgnored                 = false // a draining host goes on being sent work
	StartIgnored                 = false // a host that has just started counts as warm
	AnswerDropped                = false // one throttling in five is never written
	AnswerDuplicated             = false // each answer is written twice
	CancelledConnectionReused    = false // the connection of a cancelled attempt is used again
	CancelledAttemptLeftInFlight = false // a cancelled attempt goes on beside the next one
	AttemptOutlivesClient        = false // the last attempt ends after its client has given up
	FailureAnsweredAsThrottled   = false // a failed invocation is answered as throttled
	SIGTERMCutsClients           = false // SIGTERM closes connections with answers owed
	RequestDuplicated            = false // one request in sixteen is written twice
	AddressShared                = false // a second process may listen at the same address
	CounterResetPanics           = false // a counter connection that is reset ends the process
)

// Defects of the quota store.
const (
	LeaderUsesLocalClock     = false // the leader stamps batches with its own clock
	LeaderAcksBeforeCommit   = false // the leader answers before the others have the batch
	ReplicaSendsBeforeSync   = false // a replica acknowledges before it has written
	LostDiskKeepsIncarnation = false // a replica that lost its disk keeps its incarnation
	RetryOutsideSession      = false // a command sent again is not recognised as the same
	SnapshotDropsSessions    = false // a snapshot leaves out what was applied for sessions
	RecoveredUsageAddedTwice = false // unreported usage that is recovered again is added again
	ExpiredHolderNotFenced   = false // what an expired holder says late still counts
	ExpiredHolderKeepsSlots  = false // slots of an expired holder stay reserved
	MarkerGrantedTwice       = false // a second delivery is let through
	BatchTakenAgain          = false // a batch asked for again is made anew
)
