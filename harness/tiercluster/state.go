package tiercluster

import (
	"context"
	"time"

	"otterseam/tier/status"
)

const stateLimit = 500 * time.Millisecond

// Status reads the state of the tier from its control processes.
func (r *Rig) Status() (status.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stateLimit)
	defer cancel()
	return status.Read(ctx, r.StatusAddresses())
}

// InSync tells whether control and every shard have so many replicas in sync.
func (r *Rig) InSync(copies int) bool {
	state, err := r.Status()
	if err != nil || len(state.Shards) == 0 {
		return false
	}
	for _, shard := range state.Shards {
		if len(shard.View.InSync) < copies {
			return false
		}
	}
	return len(state.Control.InSync) >= copies
}
