package replication

import (
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/quotastore/protocol"
)

// closeBehind is by how many entries a replica may be behind its leader and count as caught up.
const closeBehind = 64

// replaceReason is why a voter should be replaced; a higher one comes first.
type replaceReason int

const (
	staysVoter replaceReason = iota
	notPlaced                // other servers come before it in the group's order
	draining                 // it is to leave, or is not in the list any more
	lost                     // it has been silent for long
	former                   // it is of a former incarnation: it remembers nothing
)

// reconcileMembers brings the group's membership nearer to what it should be, by one change at a time.
func (r *replica) reconcileMembers(now float64) {
	if len(r.members.VotersOutgoing) > 0 || len(r.members.LearnersNext) > 0 {
		return // a change is under way
	}
	status := r.raft.Status()
	wanted := PlaceReplicas(r.group, r.node.peers, r.node.config.Replicas, func(number int) bool { return r.node.canHost(now, number) })
	outgoing := r.voterToReplace(now, wanted)
	switch {
	case len(r.members.Learners) > 0: // there is one at most; it is brought in, or taken out, before anything else
		r.reconcileLearner(now, status, wanted, outgoing)
	case outgoing == 0 && len(r.members.Voters) >= r.node.config.Replicas:
	case r.node.isTransferring():
	default:
		r.addLearner(wanted)
	}
}

// voterToReplace returns the ID of the voter that should be replaced first; 0: none.
func (r *replica) voterToReplace(now float64, wanted []int) uint64 {
	var first uint64
	most := staysVoter
	for _, id := range r.members.Voters {
		if reason := r.node.replaceReason(now, protocol.ReplicaID(id), wanted); reason > most {
			first = id
			most = reason
		}
	}
	return first
}

func (n *Node) replaceReason(now float64, id protocol.ReplicaID, wanted []int) replaceReason {
	number := id.Number()
	switch {
	case n.isFormer(id):
		return former
	case n.isLost(now, number):
		return lost
	case number >= len(n.peers) || n.peers[number].Draining:
		return draining
	case !slices.Contains(wanted, number):
		return notPlaced
	default:
		return staysVoter
	}
}

// reconcileLearner makes a learner that has caught up a voter, in the place of outgoing unless that is 0, and removes one that is not
// wanted any more.
func (r *replica) reconcileLearner(now float64, status raft.Status, wanted []int, outgoing uint64) {
	id := r.members.Learners[0]
	number := protocol.ReplicaID(id).Number()
	if r.node.isFormer(protocol.ReplicaID(id)) || !slices.Contains(wanted, number) || r.node.isLost(now, number) {
		r.changeMembers(&pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &id})
		return
	}
	progress := status.Progress[id]
	if !progress.RecentActive || progress.Match == 0 || progress.Match+closeBehind < r.applied {
		return // still being replicated
	}
	if outgoing == uint64(r.node.id) {
		r.transferLeadership(status)
		return
	}
	changes := []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: &id}}
	if outgoing != 0 {
		changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &outgoing})
	}
	r.changeMembers(changes...)
}

// addLearner begins to replicate the group to the first server that should have a replica and has none. Where there is none, a server
// that should leave, or is lost, goes on counting, as two of two would else be one.
func (r *replica) addLearner(wanted []int) {
	for _, number := range wanted {
		id := uint64(protocol.NewReplicaID(number, r.node.status[number].incarnation))
		if !slices.Contains(r.members.Voters, id) {
			r.changeMembers(&pb.ConfChangeSingle{Type: pb.ConfChangeAddLearnerNode.Enum(), NodeId: &id})
			return
		}
	}
}

// transferLeadership has the voter lead that is nearest to this one, so that this one can leave.
func (r *replica) transferLeadership(status raft.Status) {
	var next, match uint64
	for _, id := range r.members.Voters {
		if p := status.Progress[id]; id != uint64(r.node.id) && p.RecentActive && p.Match >= match {
			next = id
			match = p.Match
		}
	}
	if next != 0 {
		r.raft.TransferLeader(next)
	}
}

func (r *replica) changeMembers(changes ...*pb.ConfChangeSingle) {
	if r.raft.ProposeConfChange(&pb.ConfChangeV2{Changes: changes}) != nil {
		return // tried again with the next round of maintenance
	}
	r.node.MembershipChanges++
	for _, c := range changes {
		id := protocol.ReplicaID(c.GetNodeId())
		r.node.logf("group %d: %v server %d, incarnation %08x", r.group, c.GetType(), id.Number(), id.Incarnation())
	}
}

func (r *replica) applyMembership(e *pb.Entry) {
	var change pb.ConfChangeV2
	if err := proto.Unmarshal(e.Data, &change); err != nil {
		r.node.fail(err)
		return
	}
	r.members = r.raft.ApplyConfChange(&change)
	if r.leadership.leads && len(r.members.Learners) > 0 {
		r.snapshots.forced = true
	}
	r.node.nextAnnounce = 0
}

// A replica that is no member of its group any more is removed once the group's leader has announced so for some seconds and nothing
// else has come of the group; a leader that has not caught up, or a message that was delayed on its way, must not remove a replica that
// counts.
const (
	removalNoticeSpacing = 0.4 // seconds between two announcements that count as two
	removalNoticesNeeded = 10
)

// removalNotices are announcements of a leader by which this replica is no member of the group, with nothing else between.
type removalNotices struct {
	count  int
	lastAt float64
}

// isRemoved takes an announcement of a leader, and reports whether this replica is to be removed.
func (r *replica) isRemoved(a *protocol.LeaderAnnouncement) bool {
	last, err := r.log.LastIndex()
	isMember := slices.Contains(a.Members, uint64(r.node.id))
	isOld := a.Term < r.leadership.term || err != nil || a.Index < last
	if r.leadership.leads || r.applied == 0 || isMember || isOld {
		r.removal.count = 0
		return false
	}
	if r.node.now-r.removal.lastAt >= removalNoticeSpacing {
		r.removal.count++
		r.removal.lastAt = r.node.now
	}
	return r.removal.count >= removalNoticesNeeded
}
