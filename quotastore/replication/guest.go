package replication

// This file owns what guests want: api gateways, and operators' commands. It must never let a guest speak for a keeper.

import (
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// key is by which name an entry finds its group; "": it has none of its own.
func key(e *statemachine.Command) string {
	switch e.Kind {
	case statemachine.RecordUnreported, statemachine.MeterUsage:
		return e.Holder
	default:
		return e.Key
	}
}

// Guest asks for a guest; then hears once for each. What only keepers may ask is answered as bad.
func (c *Node) HandleClient(now float64, a protocol.Request, then func(protocol.Response)) {
	c.now = now
	switch a.Command.Kind {
	case statemachine.Add, statemachine.ReportUsage, statemachine.RecordUnreported, statemachine.AcquireMarker, statemachine.ReleaseMarker, statemachine.MeterUsage:
	case statemachine.RenewLease: // a holder is held to be there by all groups or by none
		left, worst := len(c.asks), statemachine.Done
		for g := range c.asks {
			c.Submit(g, a.Command, func(how Outcome, r statemachine.Reply) {
				if how == Answered && r.Code != statemachine.Done {
					worst = r.Code
				}
				if left--; left == 0 {
					then(protocol.Response{Group: -1, RequestID: a.ID, Reply: statemachine.Reply{Code: worst, Clock: r.Clock}})
				}
			})
		}
		return
	default:
		then(protocol.Response{RequestID: a.ID, Reply: statemachine.Reply{Code: statemachine.Invalid}})
		return
	}
	e := a.Command
	e.Session, e.Sequence, e.AckedBelow = "", 0, 0
	c.Submit(c.GroupOf(key(&e)), e, func(how Outcome, r statemachine.Reply) {
		then(protocol.Response{RequestID: a.ID, NotLeader: how == Rejected, Unknown: how == Unknown, Reply: r})
	})
}

// Administer does what an operator's command asks; then hears the answer. What a founding writes has to be written before
// that.
func (c *Node) HandleAdmin(now float64, a *protocol.Admin, write func([]Write) error, then func(*protocol.Admin)) {
	c.now = now
	r := &protocol.Admin{Operation: a.Operation, Replica: c.me, Incarnation: c.id.Incarnation(), Cluster: c.cluster}
	switch a.Operation {
	case protocol.OperationStatus:
		r.Health = c.Health()
	case protocol.OperationBootstrap:
		if a.Bootstrap == nil {
			r.Failure = "no founding was given"
			break
		}
		writes, err := c.Bootstrap(now, a.Bootstrap)
		if err == nil {
			err = write(writes)
		}
		if err != nil {
			r.Failure = err.Error()
		}
		r.Cluster = c.cluster
	case protocol.OperationSnapshot:
		r.Snapshots = map[int][]byte{}
		for g := range c.held {
			if g.leads && g.current() {
				r.Snapshots[g.number] = g.state.Snapshot()
			}
		}
	case protocol.OperationCollectUsage:
		left := len(c.asks)
		for g := range c.asks {
			c.Submit(g, statemachine.Command{Kind: statemachine.CollectUsage, Version: a.Batch}, func(how Outcome, x statemachine.Reply) {
				switch {
				case how != Answered:
					r.Failure = "a group did not answer: ask for the same batch again"
				case x.Code != statemachine.Done:
					r.Failure = "not the batch handed out last, nor the one after it"
					r.Batch = max(r.Batch, x.Batch)
				default:
					r.Usage = append(r.Usage, x.Usage...)
				}
				if left--; left == 0 {
					then(r)
				}
			})
		}
		return
	default:
		r.Failure = "nothing that a keeper knows"
	}
	then(r)
}
