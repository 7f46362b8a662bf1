package replication

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/gateway/membership"
	"otterseam/quotastore/protocol"
)

// maxBatchedRequests is how many requests or replies one frame carries, so that frames stay small enough not to hold up others.
const maxBatchedRequests = 512

// Message is a frame for another server.
type Message struct {
	To    int // its number
	Frame *protocol.Frame
	Bulk  bool // it is large, and must not hold up others
}

func (n *Node) send(to int, f *protocol.Frame, bulk bool) {
	if to < 0 || to >= len(n.peers) {
		return
	}
	f.Cluster = n.cluster
	f.Incarnation = n.id.Incarnation()
	n.outbox = append(n.outbox, Message{to, f, bulk})
}

// TakeMessages returns what is to be sent since the last call.
func (n *Node) TakeMessages() []Message {
	messages := n.outbox
	n.outbox = nil
	return messages
}

// Hello is what a server says of itself at the beginning of a stream, and now and then.
func (n *Node) Hello() *protocol.Frame {
	return &protocol.Frame{Kind: protocol.KindHello, Hello: &protocol.Hello{Sender: n.self, Incarnation: n.id.Incarnation()}}
}

func (n *Node) broadcastHello() {
	for number := range n.peers {
		if number != n.self {
			n.send(number, n.Hello(), false)
		}
	}
}

func (n *Node) sendDetectorText(m membership.Message) {
	for number := range n.peers {
		if number != n.self && (m.To == number || m.To == membership.Broadcast) {
			n.send(number, &protocol.Frame{Kind: protocol.KindMembership, Membership: m.Text}, false)
		}
	}
}

// announceLeadership tells all servers which groups are led here, and who their members are.
func (n *Node) announceLeadership() {
	var all []protocol.LeaderAnnouncement
	for r := range n.localReplicas {
		if !r.leadership.leads || !r.isCurrent() { // it may not know yet who the members are
			continue
		}
		members := append(slices.Clone(r.members.Voters), r.members.Learners...)
		members = append(append(members, r.members.VotersOutgoing...), r.members.LearnersNext...)
		all = append(all, protocol.LeaderAnnouncement{Group: r.group, Term: r.leadership.term, Index: r.applied, Members: members})
		n.clients[r.group].leaderChanged(n.self, r.leadership.term)
	}
	if len(all) == 0 {
		return
	}
	for number := range n.peers {
		if number != n.self {
			n.send(number, &protocol.Frame{Kind: protocol.KindLeaders, Leaders: all}, false)
		}
	}
}

// PeerDown says that the stream to a server ended and that it does not listen any more: its process is gone.
func (n *Node) PeerDown(now float64, number int) {
	n.now = now
	for r := range n.localReplicas {
		r.peerDown(number)
	}
	for _, c := range n.clients {
		if c.leader == number {
			c.leader = noLeader
		}
	}
}

// SnapshotFailed says that a bulk message to a server could not be sent.
func (n *Node) SnapshotFailed(now float64, to int) {
	n.now = now
	for r := range n.localReplicas {
		for _, id := range sortedKeys(r.transfers) {
			if protocol.ReplicaID(id).Number() == to {
				r.transferFailed(id)
			}
		}
	}
}

// Receive takes a frame of another server.
func (n *Node) Receive(now float64, from int, f *protocol.Frame) {
	n.now = now
	if from < 0 || from >= len(n.peers) || from == n.self || f.Incarnation == 0 {
		return
	}
	if n.cluster == 0 && f.Cluster != 0 {
		n.cluster = f.Cluster // it is new here, and what holds for the others holds for it
		n.logf("joined cluster %016x", n.cluster)
	}
	if f.Cluster != 0 && f.Cluster != n.cluster {
		return
	}
	n.observeIncarnation(from, f.Incarnation)
	n.dispatch(from, f)
}

func (n *Node) observeIncarnation(number int, incarnation uint32) {
	known := &n.status[number].incarnation
	if *known == incarnation {
		return
	}
	if *known != 0 {
		n.logf("server %d has a new incarnation, %08x: its replicas are to be copied to it", number, incarnation)
	}
	*known = incarnation
}

func (n *Node) dispatch(from int, f *protocol.Frame) {
	switch f.Kind {
	case protocol.KindMembership:
		n.receiveDetectorText(from, f.Membership)
	case protocol.KindRaft:
		n.receiveRaft(f)
	case protocol.KindLeaders:
		for i := range f.Leaders {
			n.receiveLeadership(from, &f.Leaders[i])
		}
	case protocol.KindRequests:
		for i := range f.Requests {
			n.receiveRequest(from, &f.Requests[i])
		}
	case protocol.KindResponses:
		for i := range f.Responses {
			n.receiveResponse(&f.Responses[i])
		}
	}
}

func (n *Node) receiveDetectorText(from int, text string) {
	if n.detector == nil {
		return
	}
	n.detector.Receive(n.now, from, text)
	for _, message := range n.detector.Tick(n.now) {
		n.sendDetectorText(message)
	}
}

func (n *Node) receiveRaft(f *protocol.Frame) {
	m := &pb.Message{}
	if proto.Unmarshal(f.Raft, m) != nil || f.Group < 0 || f.Group >= n.config.Groups || n.cluster == 0 {
		return
	}
	if protocol.ReplicaID(m.GetTo()) != n.id {
		return // for an incarnation before this one
	}
	r := n.replicas[f.Group]
	if r == nil { // a leader has added this server; it votes for nothing that it does not hold
		var err error
		if r, err = newReplica(n, f.Group, nil); err != nil {
			n.fail(err)
			return
		}
		n.replicas[f.Group] = r
	}
	r.receive(m)
}

// receiveLeadership hears who leads a group. A replica here that is no member of it any more is removed, but for its votes.
func (n *Node) receiveLeadership(from int, a *protocol.LeaderAnnouncement) {
	if a.Group < 0 || a.Group >= n.config.Groups {
		return
	}
	n.clients[a.Group].leaderChanged(from, a.Term)
	if r := n.replicas[a.Group]; r != nil && r.isRemoved(a) && !r.cycle.pending {
		n.removeReplica(r)
	}
}

func (n *Node) removeReplica(r *replica) {
	hardState, _, err := r.log.InitialState()
	if err != nil {
		n.fail(err)
		return
	}
	n.logf("group %d: replica removed", r.group)
	votes := func() *pb.HardState { return &pb.HardState{Term: hardState.Term, Vote: hardState.Vote} }
	empty, err := newReplica(n, r.group, &PersistentState{HardState: votes()})
	if err != nil {
		n.fail(err)
		return
	}
	n.replicas[r.group] = empty
	n.dropped = append(n.dropped, Write{Group: r.group, HardState: votes(), DropReplica: true})
}
