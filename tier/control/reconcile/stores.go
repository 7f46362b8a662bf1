package reconcile

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/placement"
)

// storeForget is how long a store that holds nothing may be silent before it is forgotten, in milliseconds. It only keeps the list
// from growing: such a store is registered anew when it is heard again.
const storeForget = 15000

// The states of a retirement, as they are answered to operators.
const (
	RetirementRunning   = "running"
	RetirementCompleted = "completed"
)

// removeLostStores forgets stores whose disk is lost, because their machine has come back with another identity, and those that
// hold nothing and are long silent.
func (r *Reconciler) removeLostStores(ctx context.Context) {
	stores := directory.Stores(r.config.State.View)
	shards := directory.Shards(r.config.State.View)
	cluster := r.cluster()
	for id, store := range stores {
		replaced := cluster.DiskLost(id)
		idle := cluster.Machines[id].Away && placement.IsEmpty(shards, id) && r.config.Sessions.StoreSilentFor(id) > storeForget
		if !replaced && !idle {
			continue
		}
		r.config.Log.WithField("store", store.Node).Info("store removed: its disk is gone or it holds nothing")
		r.propose(ctx, state.RemoveStore{Store: store})
	}
}

// RetirementState tells whether a store machine is still being emptied. The answer waits for a command of its own, so that a
// primary that has been replaced cannot give it.
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
