package store

import (
	"sync"

	"otterseam/tier/admission"
	"otterseam/tier/limits"
	"otterseam/tier/programs"
)

// turnAdmission decides which turns may begin, by what the shards of this process hold and by the turns that have begun. It is safe for
// concurrent use.
type turnAdmission struct {
	usage *programs.Usage // of all shards
	limit int64           // for retained turns, in bytes

	mu         sync.Mutex                 // guards the fields below
	primaries  int64                      // number of primaries of the shards that this process has replicas of
	peers      map[uint64]peerUsage       // what other stores hold, by identity
	states     map[uint32]*programs.State // of the open shards; the node's lock guards their content
	controller *admission.Controller
}

func newTurnAdmission(l limits.Limits) *turnAdmission {
	return &turnAdmission{
		usage:      &programs.Usage{},
		limit:      l.RetainedBytes(),
		peers:      map[uint64]peerUsage{},
		states:     map[uint32]*programs.State{},
		controller: admission.NewController(admission.Limits{RetainedBytes: l.RetainedBytes(), Programs: l.Programs()}),
	}
}

// setState sets the state of a shard that was opened, or nil for one that was dropped.
func (a *turnAdmission) setState(shard uint32, state *programs.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.states[shard]; old != nil {
		old.Discard()
	}
	a.states[shard] = state
}

// complete sets what the state of the shard tells about a turn that wants to begin: whether its program is new, and the size of the chain
// that it continues, with whose texts it is stored if it outlives them. The caller holds the node's lock.
func (a *turnAdmission) complete(turn *admission.Turn, begin programs.Begin) {
	a.mu.Lock()
	state := a.states[turn.Shard]
	a.mu.Unlock()
	if state == nil {
		return
	}
	turn.IsNewProgram = !state.HasProgram(begin.Program)
	if turn.RetainedBytes > 0 {
		turn.RetainedBytes += state.CopiedChainBytes(begin)
	}
}

// usageOf returns what the fullest of the replicas of a shard holds, by their last reports. unapplied is the size of the log entries of
// this process that are not part of the state yet. The time is in milliseconds.
func (a *turnAdmission) usageOf(replicas []uint64, unapplied, now int64) admission.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	usage := admission.Usage{
		RetainedBytes: a.usage.RetainedBytes() + unapplied, Programs: a.usage.Programs(), Primaries: a.primaries,
	}
	for _, id := range replicas {
		if peer, found := a.peers[id]; found && now <= peer.expiresAt {
			usage.RetainedBytes = max(usage.RetainedBytes, peer.bytes)
		}
	}
	return usage
}

// admit reports whether there is room for a turn, and reserves it. The time is in milliseconds.
func (a *turnAdmission) admit(turn admission.Turn, usage admission.Usage, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Admit(turn, usage, now)
}

// covers reports whether at least a number of bytes was reserved for a turn.
func (a *turnAdmission) covers(key admission.Key, bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Excess(key, bytes) <= 0
}

// acceptsEnd reports whether a turn that has run may be retained with a number of bytes.
func (a *turnAdmission) acceptsEnd(key admission.Key, bytes int64, usage admission.Usage) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.AcceptsEnd(key, bytes, usage)
}

// release drops the reservation of a turn that has ended or did not begin.
func (a *turnAdmission) release(key admission.Key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Release(key)
}
