package reconcile

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/placement"
)

// idleStoreTimeout is the silence in milliseconds after which a store without shards is removed. Its only purpose is to bound the list
// of stores. A removed store is registered again with its next heartbeat.
const idleStoreTimeout = 15000

// The states of a retirement in responses to operators.
const (
	RetirementRunning   = "running"
	RetirementCompleted = "completed"
)

// removeLostStores removes stores whose disk is lost, which is known because their machine has returned with another identity, and
// stores without shards that have been silent for longer than idleStoreTimeout.
func (r *Reconciler) removeLostStores(ctx context.Context) {
	stores := directory.Stores(r.config.State.View)
	shards := directory.Shards(r.config.State.View)
	cluster := r.cluster()
	for id, store := range stores {
		diskLost := cluster.DiskLost(id)
		idle := cluster.Machines[id].Away && placement.IsEmpty(shards, id) && r.config.Sessions.StoreSilentFor(id) > idleStoreTimeout
		if !diskLost && !idle {
			continue
		}
		r.config.Log.WithField("store", store.Node).Info("store removed: its disk was lost, or it is silent and holds no shards")
		r.propose(ctx, state.RemoveStore{Store: store})
	}
}

// RetirementState returns the state of the retirement of a store machine. It first commits a command, so that a primary that was
// replaced can't respond.
func (r *Reconciler) RetirementState(ctx context.Context, node string) (state.Result, error) {
	if _, err := r.config.Proposer.Propose(ctx, state.ReadConfig{}); err != nil {
		return state.Result{}, err
	}
	if !r.config.State.IsRetiring(node) {
		return state.Result{Code: codes.RetireUnknown}, nil
	}
	shards := directory.Shards(r.config.State.View)
	cluster := r.cluster()
	for id, store := range directory.Stores(r.config.State.View) {
		if store.Node == node && !cluster.IsRetired(shards, id) {
			return state.Result{Body: []byte(RetirementRunning)}, nil
		}
	}
	return state.Result{Body: []byte(RetirementCompleted)}, nil
}
