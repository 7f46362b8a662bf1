package replication

import "otterseam/quotastore/statemachine"

const (
	maintainInterval = 0.25 // seconds between two rounds of a leader's maintenance
	maxIdle          = 0.25 // seconds without a batch after which a leader proposes one to advance the group's clock
	maxRecoveries    = 64   // maximum number of recoveries of unreported usage in one round
)

// maintain does the periodic work of a leader: it advances the clock of an idle group, fails late snapshot transfers, recovers
// unreported usage of expired holders, and reconciles the membership of the group.
func (r *replica) maintain(now float64) {
	if !r.leadership.leads || now-r.maintainedAt < maintainInterval {
		return
	}
	r.maintainedAt = now
	r.proposals.dropExpired(now)
	if !r.state.Idle() && now-r.proposals.lastAt > maxIdle {
		r.enqueue(statemachine.Command{Kind: statemachine.Tick}, requester{server: noRequester})
	}
	r.expireTransfers(now)
	if r.isCurrent() {
		r.recoverUnreported()
		r.reconcileMembers(now)
	}
}

// recoverUnreported submits the recovery of the unreported usage of expired holders to the groups of the counters. A failed recovery
// is submitted again in a later round, which is safe because a repeated one changes nothing.
func (r *replica) recoverUnreported() {
	n := r.node
	for _, u := range r.state.UnrecoveredUsage(maxRecoveries) {
		key := u.Holder + "\x00" + u.Key
		if n.recovering[key] {
			continue
		}
		n.recovering[key] = true
		if u.TTL <= 0 { // the counter has expired
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
