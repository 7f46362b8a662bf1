package replication

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/gateway/membership"
	"otterseam/quotastore/protocol"
)

// maxBatchedRequests is the maximum number of requests or responses in one frame. It keeps frames small, so that they don't delay
// other frames.
const maxBatchedRequests = 512

// Message is a frame for another server.
type Message struct {
	To    int // number of the server
	Frame *protocol.Frame
	Bulk  bool // large: must not delay other messages
}

func (n *Node) send(to int, f *protocol.Frame, bulk bool) {
	if to < 0 || to >= len(n.peers) {
		return
	}
	f.Cluster = n.cluster
	f.Incarnation = n.id.Incarnation()
	n.outbox = append(n.outbox, Message{to, f, bulk})
}

// TakeMessages returns the messages to send since the last call.
func (n *Node) TakeMessages() []Message {
	messages := n.outbox
	n.outbox = nil
	return messages
}

// Hello returns the frame that identifies this server at the start of a stream. It is also sent to all servers every helloInterval.
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

func (n *Node) sendDetectorMessage(m membership.Message) {
	for number := range n.peers {
		if number != n.self && (m.To == number || m.To == membership.Broadcast) {
			n.send(number, &protocol.Frame{Kind: protocol.KindMembership, Membership: m.Text}, false)
		}
	}
}

// announceLeadership sends the groups that this server leads, and their members, to all servers.
func (n *Node) announceLeadership() {
	var all []protocol.LeaderAnnouncement
	for r := range n.localReplicas {
		if !r.leadership.leads || !r.isCurrent() { // its membership may be out of date
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

// PeerDown handles the end of a server's process. The caller has found that the stream to the server ended and that the server no
// longer accepts connections.
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

// SnapshotFailed handles the failure to send a bulk message to a server.
func (n *Node) SnapshotFailed(now float64, to int) {
	n.now = now
	for r := range n.localReplicas {
		for _, id := range sortedKeys(r.transfers) {
			if protocol.ReplicaID(id).Number() == to {
				r.failTransfer(id)
			}
		}
	}
}

// Receive processes a frame from another server.
func (n *Node) Receive(now float64, from int, f *protocol.Frame) {
	n.now = now
	if from < 0 || from >= len(n.peers) || from == n.self || f.Incarnation == 0 {
		return
	}
	if n.cluster == 0 && f.Cluster != 0 {
		n.cluster = f.Cluster // a new server joins the cluster of the first member that it receives a frame from
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
		n.logf("server %d has a new incarnation, %08x: its replicas will be copied to it again", number, incarnation)
	}
	*known = incarnation
}

func (n *Node) dispatch(from int, f *protocol.Frame) {
	switch f.Kind {
	case protocol.KindMembership:
		n.receiveDetectorMessage(from, f.Membership)
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

func (n *Node) receiveDetectorMessage(from int, text string) {
	if n.detector == nil {
		return
	}
	n.detector.Receive(n.now, from, text)
	for _, message := range n.detector.Tick(n.now) {
		n.sendDetectorMessage(message)
	}
}

func (n *Node) receiveRaft(f *protocol.Frame) {
	m := &pb.Message{}
	if proto.Unmarshal(f.Raft, m) != nil || f.Group < 0 || f.Group >= n.config.Groups || n.cluster == 0 {
		return
	}
	if protocol.ReplicaID(m.GetTo()) != n.id {
		return // for an earlier incarnation of this server
	}
	r := n.replicas[f.Group]
	if r == nil { // a leader has added this server; starting empty is safe, as this incarnation has never voted in the group
		var err error
		if r, err = newReplica(n, f.Group, nil); err != nil {
			n.fail(err)
			return
		}
		n.replicas[f.Group] = r
	}
	r.receive(m)
}

// receiveLeadership processes an announcement of a group's leader. If the replica on this server is no longer a member of the group,
// the replica is removed except for its term and vote.
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
