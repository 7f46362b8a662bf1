//go:build !seeded

package mutation

// Defects of the gateway.
const (
	ResetCountsAsNeverRan        = false // an attempt whose connection broke after the last byte is treated as never executed
	DrainIgnored                 = false // a draining host still receives requests
	StartIgnored                 = false // a host that has just started is treated as warm
	AnswerDropped                = false // one throttling response in five is never written
	AnswerDuplicated             = false // each response is written twice
	CancelledConnectionReused    = false // the connection of a cancelled attempt is reused
	CancelledAttemptLeftInFlight = false // a cancelled attempt keeps running in parallel with the next one
	AttemptOutlivesClient        = false // the last attempt ends after its client's timeout
	FailureAnsweredAsThrottled   = false // a failed invocation gets the throttling response
	SIGTERMCutsClients           = false // SIGTERM closes connections that still wait for responses
	RequestDuplicated            = false // one request in sixteen is written twice
	AddressShared                = false // a second process may listen on the same address
	CounterResetPanics           = false // a reset of a counter connection makes the process panic
)

// Defects of the quota store.
const (
	LeaderUsesLocalClock     = false // the leader timestamps batches with its own clock
	LeaderAcksBeforeCommit   = false // the leader replies before the batch is replicated
	ReplicaSendsBeforeSync   = false // a replica acknowledges before its write is durable
	LostDiskKeepsIncarnation = false // a replica that lost its disk keeps its incarnation
	RetryOutsideSession      = false // a retried command is not recognised as a duplicate
	SnapshotDropsSessions    = false // a snapshot omits what was applied for sessions
	RecoveredUsageAddedTwice = false // unreported usage that is recovered twice is added twice
	ExpiredHolderNotFenced   = false // late reports of an expired holder are still accepted
	ExpiredHolderKeepsSlots  = false // slots of an expired holder stay reserved
	MarkerGrantedTwice       = false // a second delivery is allowed
	BatchTakenAgain          = false // a repeated request for a batch creates a new one
)
