package model

// The effects of operations, as named in scenarios. They determine what happens if an invocation runs twice.
const (
	EffectIdempotent    = "idempotent"     // the second run has no effect
	EffectTokened       = "tokened"        // the second run has no effect within the lifetime of the token and the group that shares it
	EffectNonIdempotent = "non-idempotent" // the operation takes effect twice
)

// The groups of hosts that share tokens, as named in scenarios.
const (
	GroupAll  = "all"
	GroupZone = "zone"
	GroupCell = "cell"
)

// The states of hosts in the host list.
const (
	HostActive  = "active"
	HostLeaving = "leaving" // the host is draining
	HostLeft    = "left"
)
