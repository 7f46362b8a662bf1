package model

// The effects of operations, as scenarios name them: what running an invocation twice does.
const (
	EffectIdempotent    = "idempotent"     // nothing
	EffectTokened       = "tokened"        // nothing within the lifetime of its token and the group that shares it
	EffectNonIdempotent = "non-idempotent" // it takes effect twice
)

// The groups of hosts within which a token counts, as scenarios name them.
const (
	GroupAll  = "all"
	GroupZone = "zone"
	GroupCell = "cell"
)

// The states of hosts in the list of hosts.
const (
	HostActive  = "active"
	HostLeaving = "leaving" // it drains
	HostLeft    = "left"
)
