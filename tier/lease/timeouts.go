package lease

// Timeouts of the primary's lease and of elections, in milliseconds. They must satisfy
// LeaderStickiness < ElectionTimeout < TTL < StepDownAfter.
const (
	// TTL is the duration of a lease: a process may respond on behalf of the group for this time after it sent its newest confirmed
	// probe.
	TTL = 800
	// StepDownAfter is how long a primary continues to lead without responses of a majority.
	StepDownAfter = 1000
	// ElectionTimeout is how long a backup waits after the last known confirmation of the primary by a majority before it tries to
	// replace the primary.
	ElectionTimeout = 620
	// ElectionStagger is the additional delay of each further candidate.
	ElectionStagger = 120
	// DegradedDelay is the additional delay of a candidate whose disk is degraded, so that other candidates come first. It is longer
	// than the stagger of two candidates.
	DegradedDelay = 1000
	// LeaderStickiness is how long after the last known confirmation of the primary a voter grants no vote to replace it.
	LeaderStickiness = 400
)

// Limits of host sessions, in milliseconds where they are times. A new primary must wait longer than a host may need to reach it:
// TTL + 1.5 heartbeats + MaxHostAttempts*HostAttemptTimeout + ReportInterval + ReportTimeout <
// MaxMissedHeartbeats heartbeats + HostGrace.
const (
	// MaxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which the session of a host expires.
	MaxMissedHeartbeats = 4
	// HostAttemptTimeout is how long a host waits for the answer to a heartbeat before it calls another control process.
	HostAttemptTimeout = 1000
	// MaxHostAttempts is the number of unresponsive control processes that a host may call in a row without losing its session.
	MaxHostAttempts = 2
	// ReportInterval is the interval at which a backup reports to the primary the hosts from which it has received heartbeats.
	ReportInterval = 300
	// ReportTimeout is how long a backup waits for the answer to a report.
	ReportTimeout = 350
	// HostGrace is the extension of a host's session when its silence may be caused by control.
	HostGrace = 3500
	// HolderTimeout is how long a control process may be silent before the primary assumes that it causes the silence of the hosts
	// that send it their heartbeats. It must end before the session of such a host would expire:
	// HolderTimeout + 1.5 heartbeats + ReportInterval < MaxMissedHeartbeats heartbeats.
	HolderTimeout = 440
)

// Timeouts of store sessions, in milliseconds. A new primary must wait longer than a store may need to reach it:
// TTL + StoreHeartbeatInterval + PrimaryAttemptTimeout + 2*PrimaryRetryInterval < StoreFirstTimeout.
const (
	// StoreHeartbeatInterval is the interval at which a store renews its session.
	StoreHeartbeatInterval = 120
	// PrimaryAttemptTimeout is how long a caller of the primary waits before it calls another control process.
	PrimaryAttemptTimeout = 450
	// PrimaryRetryInterval is how long such a caller waits between two calls.
	PrimaryRetryInterval = 15
	// StoreTimeout is how long a store may be silent before its session expires.
	StoreTimeout = 650
	// StoreFirstTimeout is the same for a store that has not sent a heartbeat to a new primary yet.
	StoreFirstTimeout = 1500
	// StoreAwayAfter is how long a store may be silent before its shards are placed elsewhere.
	StoreAwayAfter = 4000
)

// Timeouts of control processes, in milliseconds.
const (
	// ControlTimeout is how long a control process may be silent before another one may replace it as a member.
	ControlTimeout = 2500
	// StallThreshold is the time without a tick of its own after which a process considers itself stalled, so that it cannot rely on
	// the silence that it measured of others.
	StallThreshold = 300
	// CheckInterval is how often a process checks whether it still has a lease.
	CheckInterval = 50
)
