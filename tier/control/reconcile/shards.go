package reconcile

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/placement"
)

// firstPlacementWait is how long a new primary waits for stores to register before it places new shards, in milliseconds, so that the
// shards are spread over all stores. It is several times lease.StoreHeartbeatInterval, so that all running stores have sent a heartbeat
// by then.
const firstPlacementWait = 900

// cluster returns the store machines as the input of placement.
func (r *Reconciler) cluster() placement.Cluster {
	machines := r.config.Sessions.Machines(directory.Stores(r.config.State.View), r.config.State.IsRetiring)
	return placement.Cluster{Machines: machines, Tolerate: r.config.Tolerate}
}

// placeShards places new shards and makes the next step for each shard whose placement must change. It completes the steps for the
// shards that tolerate fewer losses before it begins those for the others.
func (r *Reconciler) placeShards(ctx context.Context) {
	cluster := r.cluster()
	shards := directory.Shards(r.config.State.View)
	if len(shards) < placement.ShardCount && r.config.Now()-r.ledSince > firstPlacementWait {
		r.config.Proposer.ProposeAll(ctx, firstPlacements(cluster, shards))
	}
	var commands []state.Command
	toleratedLosses := -1
	for _, shard := range placement.LeastProtectedFirst(shards) {
		next, changed := cluster.Next(shard)
		if !changed {
			continue
		}
		if shard.View.ToleratedLosses() != toleratedLosses {
			r.config.Proposer.ProposeAll(ctx, commands)
			commands = nil
			toleratedLosses = shard.View.ToleratedLosses()
		}
		commands = append(commands, state.PutShard{Epoch: shard.View.Epoch, Shard: next})
	}
	r.config.Proposer.ProposeAll(ctx, commands)
}

// firstPlacements returns the commands that place the shards that do not exist yet.
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

// ChangeInSync admits a replica to a shard's in-sync set or drops it, at the request of the shard's primary.
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
