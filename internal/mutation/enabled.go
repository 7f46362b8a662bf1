//go:build seeded

package mutation

import "os"

// variable names the environment variable that holds the name of the defect that is on.
const variable = "EDGE_SEEDED"

var selected = os.Getenv(variable)

// Defects of the gateway; disabled.go says what each does.
var (
	ResetCountsAsNeverRan        = selected == "ResetCountsAsNeverRan"
	DrainIgnored                 = selected == "DrainIgnored"
	StartIgnored                 = selected == "StartIgnored"
	AnswerDropped                = selected == "AnswerDropped"
	AnswerDuplicated             = selected == "AnswerDuplicated"
	CancelledConnectionReused    = selected == "CancelledConnectionReused"
	CancelledAttemptLeftInFlight = selected == "CancelledAttemptLeftInFlight"
	AttemptOutlivesClient        = selected == "AttemptOutlivesClient"
	FailureAnsweredAsThrottled   = selected == "FailureAnsweredAsThrottled"
	SIGTERMCutsClients           = selected == "SIGTERMCutsClients"
	RequestDuplicated            = selected == "RequestDuplicated"
	AddressShared                = selected == "AddressShared"
	CounterResetPanics           = selected == "CounterResetPanics"
)

// Defects of the quota store.
var (
	LeaderUsesLocalClock     = selected == "LeaderUsesLocalClock"
	LeaderAcksBeforeCommit   = selected == "LeaderAcksBeforeCommit"
	ReplicaSendsBeforeSync   = selected == "ReplicaSendsBeforeSync"
	LostDiskKeepsIncarnation = selected == "LostDiskKeepsIncarnation"
	RetryOutsideSession      = selected == "RetryOutsideSession"
	SnapshotDropsSessions    = selected == "SnapshotDropsSessions"
	RecoveredUsageAddedTwice = selected == "RecoveredUsageAddedTwice"
	ExpiredHolderNotFenced   = selected == "ExpiredHolderNotFenced"
	ExpiredHolderKeepsSlots  = selected == "ExpiredHolderKeepsSlots"
	MarkerGrantedTwice       = selected == "MarkerGrantedTwice"
	BatchTakenAgain          = selected == "BatchTakenAgain"
)
