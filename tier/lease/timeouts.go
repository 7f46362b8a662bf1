package lease

// The lease of a primary and its succession, in milliseconds. They stand in the order
// LeaderStickiness < ElectionTimeout < TTL < StepDownAfter.
const (
	// TTL is how long after the start of its newest confirmed question a process may answer for the group.
	TTL = 800
	// StepDownAfter is how long a primary leads on without the answers of a majority.
	StepDownAfter = 1000
	// ElectionTimeout is how long after the last proof that a majority stands behind the primary a backup tries to replace it.
	ElectionTimeout = 620
	// ElectionStagger is how much longer each further candidate waits.
	ElectionStagger = 120
	// DegradedDelay is how much longer a candidate waits whose disk does not do its work, so that others come first. It is longer
	// than the stagger of two candidates.
	DegradedDelay = 1000
	// LeaderStickiness is how long after such a proof a voter helps nobody to replace the primary.
	LeaderStickiness = 400
)

// Sessions of hosts, in milliseconds where they are times. A new primary waits longer than a host may need to reach it:
// TTL + 1.5 heartbeats + MaxHostAttempts*HostAttemptTimeout + ReportInterval + ReportTimeout <
// MaxMissedHeartbeats heartbeats + HostGrace.
const (
	// MaxMissedHeartbeats is how many of its heartbeats a host may miss.
	MaxMissedHeartbeats = 4
	// HostAttemptTimeout is how long a host waits for the answer to a heartbeat before it calls another control process.
	HostAttemptTimeout = 1000
	// MaxHostAttempts is how many silent control processes a host may meet in a row without losing its session.
	MaxHostAttempts = 2
	// ReportInterval is how often a backup tells the primary which hosts it has heard.
	ReportInterval = 300
	// ReportTimeout is how long a backup waits for the answer to a report.
	ReportTimeout = 350
	// HostGrace is how much longer a host's session lasts when its silence may be the fault of control.
	HostGrace = 3500
	// HolderTimeout is how long the primary may miss a control process before it doubts the silence of the hosts whose sessions
	// are kept there. It ends before such a host has missed its heartbeats:
	// HolderTimeout + 1.5 heartbeats + ReportInterval < MaxMissedHeartbeats heartbeats.
	HolderTimeout = 440
)

// Sessions of stores, in milliseconds. A new primary waits longer than a store may need to reach it:
// TTL + StoreHeartbeatInterval + PrimaryAttemptTimeout + 2*PrimaryRetryInterval < StoreFirstTimeout.
const (
	// StoreHeartbeatInterval is how often a store renews its session.
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
)

// Control processes of each other and of themselves, in milliseconds.
const (
	// ControlTimeout is how long a control process may be silent before another may take its place as a member.
	ControlTimeout = 2500
	// StallThreshold is how long a process may go without a tick of its own before it distrusts what it holds of others.
	StallThreshold = 300
	// CheckInterval is how often a process checks whether it still has a lease.
	CheckInterval = 50
)
