package reconcile

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/placement"
)

// firstPlacementWait is how long the first primary waits for stores, in milliseconds, so that shards are spread over all. It is
// several times lease.StoreHeartbeatInterval: all stores that are up were heard by then.
const firstPlacementWait = 900

// cluster is what placement has to know of the store machines.
func (r *Reconciler) cluster() placement.Cluster {
	machines := r.config.Sessions.Machines(directory.Stores(r.config.State.View), r.config.State.IsRetiring)
	return placement.Cluster{Machines: machines, Tolerate: r.config.Tolerate}
}

// placeShards decides who holds the shards.
func (r *Reconciler) placeShards(ctx context.Context) {
	cluster := r.cluster()
	shards := directory.Shards(r.config.State.View)
	if len(shards) < placement.ShardCount && r.config.Now()-r.ledSince > firstPlacementWait {
		r.config.Proposer.ProposeAll(ctx, firstPlacements(cluster, shards))
	}
	var commands []state.Command
	tolerated := -1
	for _, shard := range placement.LeastProtectedFirst(shards) {
		next, changed := cluster.Next(shard)
		if !changed {
			continue
		}
		if shard.View.ToleratedLosses() != tolerated {
			r.config.Proposer.ProposeAll(ctx, commands)
			commands = nil
			tolerated = shard.View.ToleratedLosses()
		}
		commands = append(commands, state.PutShard{Epoch: shard.View.Epoch, Shard: next})
	}
	r.config.Proposer.ProposeAll(ctx, commands)
}

// firstPlacements places the shards that exist nowhere yet.
func firstPlacements(cluster placement.Cluster, shards map[uint32]directory.Shard) []state.Command {
	var commands []state.Command
	for id := range uint32(placement.ShardCount) {
		if _, exists := shards[id]; exists {
			continue
		}
		if shard, placed := cluster.Place(id); placed {
			commands = append(commands, state.PutShard{Shard: shard})
		}
	}
	return commands
}

// ChangeInSync takes a replica into a shard's in-sync set, or out of it, for the shard's primary.
func (r *Reconciler) ChangeInSync(ctx context.Context, payload []byte) (state.Result, error) {
	change, err := controlclient.DecodeInSyncChange(payload)
	if err != nil {
		return state.Result{}, err
	}
	shard, known := directory.Shards(r.config.State.View)[change.Shard]
	if !known || shard.View.Epoch != change.Epoch {
		return state.Result{Code: codes.HostStale}, nil
	}
	next, allowed := r.cluster().ChangeInSync(shard, change.Replica, change.Admit)
	if !allowed {
		return state.Result{Code: codes.Unavailable}, nil
	}
	return r.config.Proposer.Propose(ctx, state.PutShard{Epoch: change.Epoch, Shard: next})
}
