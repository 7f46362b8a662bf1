package replication

import (
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// routingKey is the key by which a command finds its group.
func routingKey(c *statemachine.Command) string {
	switch c.Kind {
	case statemachine.RecordUnreported, statemachine.MeterUsage:
		return c.Holder
	default:
		return c.Key
	}
}

// HandleClient submits a command of a client, which is a gateway; then hears the response once. What only servers may submit is
// answered as invalid: a client must never speak for a server.
func (n *Node) HandleClient(now float64, request protocol.Request, then func(protocol.Response)) {
	n.now = now
	switch request.Command.Kind {
	case statemachine.Add, statemachine.ReportUsage, statemachine.RecordUnreported, statemachine.AcquireMarker,
		statemachine.ReleaseMarker, statemachine.MeterUsage:
		n.submitForClient(request, then)
	case statemachine.RenewLease:
		n.renewEverywhere(request, then)
	default:
		then(protocol.Response{RequestID: request.ID, Reply: statemachine.Reply{Code: statemachine.Invalid}})
	}
}

func (n *Node) submitForClient(request protocol.Request, then func(protocol.Response)) {
	c := request.Command
	c.Session = ""
	c.Sequence = 0
	c.AckedBelow = 0
	n.Submit(n.GroupOf(routingKey(&c)), c, func(outcome Outcome, reply statemachine.Reply) {
		then(protocol.Response{RequestID: request.ID, NotLeader: outcome == Rejected, Unknown: outcome == Unknown, Reply: reply})
	})
}

// renewEverywhere renews a lease at all groups: a holder counts as alive at all of them or at none.
func (n *Node) renewEverywhere(request protocol.Request, then func(protocol.Response)) {
	left := len(n.clients)
	worst := statemachine.Done
	for group := range n.clients {
		n.Submit(group, request.Command, func(outcome Outcome, reply statemachine.Reply) {
			if outcome == Answered && reply.Code != statemachine.Done {
				worst = reply.Code
			}
			if left--; left == 0 {
				then(protocol.Response{Group: -1, RequestID: request.ID, Reply: statemachine.Reply{Code: worst, Clock: reply.Clock}})
			}
		})
	}
}

// HandleAdmin does what an operator's command asks; then hears the answer. What a bootstrap writes has to be written before that.
func (n *Node) HandleAdmin(now float64, a *protocol.Admin, write func([]Write) error, then func(*protocol.Admin)) {
	n.now = now
	answer := &protocol.Admin{Operation: a.Operation, Replica: n.self, Incarnation: n.id.Incarnation(), Cluster: n.cluster}
	switch a.Operation {
	case protocol.OperationStatus:
		answer.Health = n.Health()
	case protocol.OperationBootstrap:
		n.handleBootstrap(a.Bootstrap, write, answer)
	case protocol.OperationSnapshot:
		answer.Snapshots = n.ledSnapshots()
	case protocol.OperationCollectUsage:
		n.collectUsage(a.Batch, answer, then)
		return
	default:
		answer.Failure = "nothing that a keeper knows"
	}
	then(answer)
}

func (n *Node) handleBootstrap(b *protocol.Bootstrap, write func([]Write) error, answer *protocol.Admin) {
	if b == nil {
		answer.Failure = "no founding was given"
		return
	}
	writes, err := n.Bootstrap(n.now, b)
	if err == nil {
		err = write(writes)
	}
	if err != nil {
		answer.Failure = err.Error()
	}
	answer.Cluster = n.cluster
}

// ledSnapshots returns the states of the groups that are led here.
func (n *Node) ledSnapshots() map[int][]byte {
	all := map[int][]byte{}
	for r := range n.localReplicas {
		if r.leadership.leads && r.isCurrent() {
			all[r.group] = r.state.Snapshot()
		}
	}
	return all
}

// collectUsage collects a batch of metered usage from all groups.
func (n *Node) collectUsage(batch uint64, answer *protocol.Admin, then func(*protocol.Admin)) {
	left := len(n.clients)
	for group := range n.clients {
		n.Submit(group, statemachine.Command{Kind: statemachine.CollectUsage, Version: batch}, func(outcome Outcome, reply statemachine.Reply) {
			switch {
			case outcome != Answered:
				answer.Failure = "a group did not answer: ask for the same batch again"
			case reply.Code != statemachine.Done:
				answer.Failure = "not the batch handed out last, nor the one after it"
				answer.Batch = max(answer.Batch, reply.Batch)
			default:
				answer.Usage = append(answer.Usage, reply.Usage...)
			}
			if left--; left == 0 {
				then(answer)
			}
		})
	}
}
