package tiercluster

import (
	"context"
	"time"

	"otterseam/tier/status"
)

const statusTimeout = 500 * time.Millisecond

// Status reads the tier's status from its control processes.
func (c *Cluster) Status() (status.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return status.Read(ctx, c.StatusAddresses())
}

// IsInSync reports whether control and every shard have at least so many replicas in sync.
func (c *Cluster) IsInSync(replicas int) bool {
	state, err := c.Status()
	if err != nil || len(state.Shards) == 0 {
		return false
	}
	for _, shard := range state.Shards {
		if len(shard.View.InSync) < replicas {
			return false
		}
	}
	return len(state.Control.InSync) >= replicas
}
