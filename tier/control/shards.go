package control

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/register"
)

// shardChange takes a replica into a shard's in-sync set, or out of it, for the shard's primary.
func (s *Server) shardChange(ctx context.Context, payload []byte) (Result, error) {
	change, err := controlclient.DecodeShardChange(payload)
	if err != nil {
		return Result{}, err
	}
	shard, known := directory.Shards(s.state.View)[change.Shard]
	if !known || shard.View.Epoch != change.Epoch {
		return Result{Code: codes.HostStale}, nil
	}
	cluster := s.cluster()
	next := shard
	next.View.Epoch++
	if change.Admit {
		if !register.Contains(shard.View.Replicas, change.Replica) || !cluster.Machines[change.Replica].Alive {
			return Result{Code: codes.Unavailable}, nil
		}
		next.View.InSync = append(register.Without(shard.View.InSync, change.Replica), change.Replica)
	} else {
		if !cluster.MayDrop(shard.View, change.Replica) {
			return Result{Code: codes.Unavailable}, nil
		}
		next.View.InSync = register.Without(shard.View.InSync, change.Replica)
	}
	return s.submitHere(ctx, Command{Kind: CommandPutShard, Epoch: change.Epoch, Shard: next}.Encode())
}
