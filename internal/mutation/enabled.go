//go:build seeded

package mutation

import "os"

// envVariable is the environment variable with the name of the enabled defect.
const envVariable = "EDGE_SEEDED"

var selected = os.Getenv(envVariable)

// Defects of the gateway, described in disabled.go.
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

// Defects of the quota store, described in disabled.go.
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
