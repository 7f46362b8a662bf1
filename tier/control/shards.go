package control

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
)

// shardChange takes a replica into a shard's in-sync set, or out of it, for the shard's primary.
func (s *Server) shardChange(ctx context.Context, payload []byte) (state.Result, error) {
	change, err := controlclient.DecodeInSyncChange(payload)
	if err != nil {
		return state.Result{}, err
	}
	shard, known := directory.Shards(s.state.View)[change.Shard]
	if !known || shard.View.Epoch != change.Epoch {
		return state.Result{Code: codes.HostStale}, nil
	}
	next, allowed := s.cluster().ChangeInSync(shard, change.Replica, change.Admit)
	if !allowed {
		return state.Result{Code: codes.Unavailable}, nil
	}
	return s.submitHere(ctx, state.PutShard{Epoch: change.Epoch, Shard: next}.Encode())
}
