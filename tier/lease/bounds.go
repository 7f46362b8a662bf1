// Package lease decides what a control process may stand behind: for how long its proof of contact carries an answer, when
// it gives up the lead, when it may try to replace a primary, and when a session has ended. The package is pure: times are given
// to it, in milliseconds of the process's own steady clock.
package lease

// The bounds of control, in milliseconds. How they hang together is checked by TestTheSuccessorOutwaitsEveryPromise and the
// other tests of this file.
const (
	// TTL is how long after the start of its newest confirmed question a process may stand behind its answers.
	TTL = 800
	// StepDownAfter is how long a primary leads on without the answers of a majority.
	StepDownAfter = 1000
	// SuspectAfter is how long after the last proof that a majority stands behind the primary a backup tries to replace it.
	SuspectAfter = 620
	// SuspectStep is how much longer each further candidate waits.
	SuspectStep = 120
	// DegradedDelay is how much longer a candidate waits whose disk does not do its work, so that others come first.
	DegradedDelay = 1000
	// StickyFor is how long after such a proof a voter helps nobody to replace the primary.
	StickyFor = 400

	// MaxMissedHeartbeats is how many of its heartbeats a host may miss.
	MaxMissedHeartbeats = 4
	// HostAttemptTimeout is how long a host waits for the answer to a heartbeat before it calls another control process.
	HostAttemptTimeout = 1000
	// MaxHostAttempts is how many silent control processes a host may meet in a row without losing its session.
	MaxHostAttempts = 2
	// ReportInterval is how often a backup tells the primary which hosts it has heard.
	ReportInterval = 300
	// ReportTimeout is how long it waits for the answer.
	ReportTimeout = 350
	// HostGrace is how much longer a host's session lasts when its silence may be the fault of control.
	HostGrace = 3500
	// HolderTimeout is how long the primary may miss a control process before it doubts the silence of the hosts kept there.
	HolderTimeout = 440

	// StoreHeartbeatInterval is how often a store keeps its session.
	StoreHeartbeatInterval = 120
	// PrimaryAttemptTimeout is how long a caller of the primary waits before it calls another control process.
	PrimaryAttemptTimeout = 450
	// PrimaryRetryInterval is how long it waits between two calls.
	PrimaryRetryInterval = 15
	// StoreTimeout is how long a store may be silent before its session ends.
	StoreTimeout = 650
	// StoreFirstTimeout is the same for a store that a new primary has not heard yet.
	StoreFirstTimeout = 1500
	// StoreAwayAfter is how long a store may be silent before its shards are placed elsewhere.
	StoreAwayAfter = 4000

	// ControlTimeout is how long a control process may be silent before another may take its place as a member.
	ControlTimeout = 2500
	// StallThreshold is how long a process may go without a tick of its own before it doubts what it holds of others.
	StallThreshold = 300
	// CheckInterval is how often a process looks whether it still has authority.
	CheckInterval = 50
)
