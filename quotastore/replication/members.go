package replication

import (
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/quotastore/protocol"
)

// maxCatchUpLag is the maximum number of log entries by which a replica lags behind its leader and still counts as caught up.
const maxCatchUpLag = 64

// replaceReason is the reason to replace a voter. Voters with a higher reason are replaced first.
type replaceReason int

const (
	staysVoter replaceReason = iota
	notPlaced                // other servers come first in the group's order
	draining                 // the server is draining, or not in the list
	lost                     // the server has been silent for too long
	former                   // the replica belongs to a former incarnation, whose data is lost
)

// reconcileMembers changes the group's membership towards the wanted one, by one change at a time.
func (r *replica) reconcileMembers(now float64) {
	if len(r.members.VotersOutgoing) > 0 || len(r.members.LearnersNext) > 0 {
		return // a change is in progress
	}
	status := r.raft.Status()
	wanted := PlaceReplicas(r.group, r.node.peers, r.node.config.Replicas, func(number int) bool { return r.node.canHost(now, number) })
	outgoing := r.voterToReplace(now, wanted)
	switch {
	case len(r.members.Learners) > 0: // there is at most one, which is promoted or removed before any other change
		r.reconcileLearner(now, status, wanted, outgoing)
	case outgoing == 0 && len(r.members.Voters) >= r.node.config.Replicas:
	case r.node.isTransferring():
	default:
		r.addLearner(wanted)
	}
}

// voterToReplace returns the ID of the voter to replace first; 0: none.
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

// reconcileLearner promotes a learner that has caught up to a voter, which replaces outgoing unless that is 0. It removes a learner
// that is no longer wanted.
func (r *replica) reconcileLearner(now float64, status raft.Status, wanted []int, outgoing uint64) {
	id := r.members.Learners[0]
	number := protocol.ReplicaID(id).Number()
	if r.node.isFormer(protocol.ReplicaID(id)) || !slices.Contains(wanted, number) || r.node.isLost(now, number) {
		r.changeMembers(&pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &id})
		return
	}
	progress := status.Progress[id]
	if !progress.RecentActive || progress.Match == 0 || progress.Match+maxCatchUpLag < r.applied {
		return // still catching up
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

// addLearner adds the first server that should have a replica and has none as a learner. If there is no such server nothing changes:
// a voter that is draining or lost stays a voter, since removing it would leave fewer voters than Replicas.
func (r *replica) addLearner(wanted []int) {
	for _, number := range wanted {
		id := uint64(protocol.NewReplicaID(number, r.node.status[number].incarnation))
		if !slices.Contains(r.members.Voters, id) {
			r.changeMembers(&pb.ConfChangeSingle{Type: pb.ConfChangeAddLearnerNode.Enum(), NodeId: &id})
			return
		}
	}
}

// transferLeadership transfers the leadership to the active voter with the most replicated log entries, so that this replica can be
// removed.
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
		return // retried in the next round of maintenance
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

// A replica that is no longer a member of its group is removed after the group's leader has announced a membership without it for some
// seconds, during which the replica received no other message of the group. So neither a leader that lags behind nor a delayed message
// can remove a replica that is a member.
const (
	removalNoticeSpacing = 0.4 // minimum seconds between two announcements that are counted
	removalNoticesNeeded = 10
)

// removalNotices counts consecutive announcements of a leader that don't include this replica as a member.
type removalNotices struct {
	count  int
	lastAt float64
}

// isRemoved counts an announcement of a leader, and reports whether this replica is to be removed.
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
