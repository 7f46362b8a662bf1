package replication

import "otterseam/quotastore/statemachine"

const (
	maintainInterval = 0.25 // seconds between two rounds of a leader's maintenance
	maxIdle          = 0.25 // seconds without a batch after which a leader has the group's clock go on
	maxRecoveries    = 64   // unreported usage that is recovered in one round
)

// maintain is what a leader does for its group now and then: time that goes on though nobody asks, snapshots that did not get there,
// unreported usage of expired holders, and who should have a replica.
func (r *replica) maintain(now float64) {
	if !r.leadership.leads || now-r.maintainedAt < maintainInterval {
		return
	}
	r.maintainedAt = now
	r.proposals.forgetOld(now)
	if !r.state.Idle() && now-r.proposals.lastAt > maxIdle {
		r.enqueue(statemachine.Command{Kind: statemachine.Tick}, requester{server: nobody})
	}
	r.failLateTransfers(now)
	if r.isCurrent() {
		r.recoverUnreported()
		r.reconcileMembers(now)
	}
}

// recoverUnreported has what expired holders had not reported added to the counters, in whichever groups those are. It is asked for
// again until it is done; a second time changes nothing.
func (r *replica) recoverUnreported() {
	n := r.node
	for _, u := range r.state.UnrecoveredUsage(maxRecoveries) {
		key := u.Holder + "\x00" + u.Key
		if n.recovering[key] {
			continue
		}
		n.recovering[key] = true
		if u.TTL <= 0 { // the counter's window is over
			r.clearUnreported(u, key)
			continue
		}
		c := statemachine.Command{Kind: statemachine.RecoverUnreported, Holder: u.Holder, Key: u.Key, Amount: u.Amount, TTL: u.TTL}
		n.Submit(n.GroupOf(u.Key), c, func(outcome Outcome, reply statemachine.Reply) {
			if outcome != Answered || reply.Code != statemachine.Done {
				delete(n.recovering, key)
				return
			}
			n.RecoveredUsages++
			r.clearUnreported(u, key)
		})
	}
}

func (r *replica) clearUnreported(u statemachine.UnreportedUsage, key string) {
	c := statemachine.Command{Kind: statemachine.ClearUnreported, Holder: u.Holder, Key: u.Key, Version: u.Version}
	r.node.Submit(r.group, c, func(Outcome, statemachine.Reply) { delete(r.node.recovering, key) })
}
