package replication

import (
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// routingKey returns the key that determines the group of a command.
func routingKey(c *statemachine.Command) string {
	switch c.Kind {
	case statemachine.RecordUnreported, statemachine.MeterUsage:
		return c.Holder
	default:
		return c.Key
	}
}

// HandleClient submits a command of a client, which is a gateway, and calls done once with the response. Commands that only servers
// may submit get the code Invalid.
func (n *Node) HandleClient(now float64, request protocol.Request, done func(protocol.Response)) {
	n.now = now
	switch request.Command.Kind {
	case statemachine.Add, statemachine.ReportUsage, statemachine.RecordUnreported, statemachine.AcquireMarker,
		statemachine.ReleaseMarker, statemachine.MeterUsage:
		n.submitForClient(request, done)
	case statemachine.RenewLease:
		n.renewInAllGroups(request, done)
	default:
		done(protocol.Response{RequestID: request.ID, Reply: statemachine.Reply{Code: statemachine.Invalid}})
	}
}

func (n *Node) submitForClient(request protocol.Request, done func(protocol.Response)) {
	c := request.Command
	c.Session = ""
	c.Sequence = 0
	c.AckedBelow = 0
	n.Submit(n.GroupOf(routingKey(&c)), c, func(outcome Outcome, reply statemachine.Reply) {
		done(protocol.Response{RequestID: request.ID, NotLeader: outcome == Rejected, Unknown: outcome == Unknown, Reply: reply})
	})
}

// renewInAllGroups renews a lease in all groups, because a holder should count as alive in all of them or in none.
func (n *Node) renewInAllGroups(request protocol.Request, done func(protocol.Response)) {
	left := len(n.clients)
	worst := statemachine.Done
	for group := range n.clients {
		n.Submit(group, request.Command, func(outcome Outcome, reply statemachine.Reply) {
			if outcome == Answered && reply.Code != statemachine.Done {
				worst = reply.Code
			}
			if left--; left == 0 {
				done(protocol.Response{Group: -1, RequestID: request.ID, Reply: statemachine.Reply{Code: worst, Clock: reply.Clock}})
			}
		})
	}
}

// HandleAdmin executes an operator's command and calls done once with the answer. write must make the writes of a bootstrap durable
// before it returns.
func (n *Node) HandleAdmin(now float64, a *protocol.Admin, write func([]Write) error, done func(*protocol.Admin)) {
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
		n.collectUsage(a.Batch, answer, done)
		return
	default:
		answer.Failure = "nothing that a keeper knows"
	}
	done(answer)
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

// ledSnapshots returns the snapshots of the groups that this server leads.
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
func (n *Node) collectUsage(batch uint64, answer *protocol.Admin, done func(*protocol.Admin)) {
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
				done(answer)
			}
		})
	}
}
