package control

import (
	"context"

	"otterseam/tier/control/heartbeat"
	"otterseam/tier/control/proposal"
	"otterseam/tier/control/reconcile"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
)

// backend implements api.Backend. It executes each call locally if this process is the primary, and otherwise calls the primary.
type backend struct {
	*proposal.Proposer
	heartbeat.Lease

	hosts      *heartbeat.Hosts
	reconciler *reconcile.Reconciler
	mayForward func() error
}

func (b *backend) MayForward() error { return b.mayForward() }

func (b *backend) KeepsSession(heartbeat controlclient.HostHeartbeat) bool {
	return b.hosts.KeepsSession(heartbeat)
}

func (b *backend) HeartbeatTarget() string { return b.hosts.HeartbeatTarget() }

func (b *backend) RejectHeartbeat() { b.hosts.Reject() }

func (b *backend) Heartbeat(ctx context.Context, heartbeat controlclient.HostHeartbeat) (state.Result, error) {
	return b.OnPrimary(ctx, controlclient.KindHostHeartbeat, heartbeat.Encode(), func() (state.Result, error) {
		return b.hosts.Handle(ctx, heartbeat)
	})
}

func (b *backend) Deregister(ctx context.Context, id string) (state.Result, error) {
	return b.OnPrimary(ctx, controlclient.KindDeregisterHost, []byte(id), func() (state.Result, error) {
		return b.hosts.Deregister(ctx, id)
	})
}

func (b *backend) RetirementState(ctx context.Context, node string) (state.Result, error) {
	return b.OnPrimary(ctx, controlclient.KindRetirementState, []byte(node), func() (state.Result, error) {
		return b.reconciler.RetirementState(ctx, node)
	})
}
