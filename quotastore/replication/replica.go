package replication

import (
	"io"
	"log"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

const (
	electionTicks  = 10 // ticks without a leader after which a replica grants votes
	heartbeatTicks = 2  // ticks between heartbeats of a leader

	maxBytesPerAppend   = 256 << 10
	maxInflightAppends  = 64
	maxUncommittedBytes = 32 << 20

	noLeader = -1 // number of the leader if there is none
)

// silentLogger discards the log lines of the Raft library. This package logs the relevant events itself.
var silentLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// replica is the replica of one group on this server.
type replica struct {
	node    *Node
	group   int
	raft    *raft.RawNode
	log     *raft.MemoryStorage
	state   *statemachine.State
	members *pb.ConfState
	applied uint64 // index of the last entry that was applied to state and members

	leadership leadership
	election   electionTimer
	clock      groupClock
	hardState  hardState
	proposals  proposals
	cycle      readyCycle
	snapshots  snapshots
	removal    removalNotices

	transfers    map[uint64]float64 // deadlines of snapshots in transfer, by replica ID
	maintainedAt float64            // time of the leader's last maintenance
}

// leadership is the leader of the group as known to this replica.
type leadership struct {
	term   uint64
	leader uint64 // replica ID of the leader; 0: none is known
	leads  bool   // whether this replica leads
}

// number returns the number of the server that leads, or noLeader.
func (l *leadership) number() int {
	if l.leader == 0 {
		return noLeader
	}
	return protocol.ReplicaID(l.leader).Number()
}

// newReplica returns a replica that starts from its persistent state; nil: it has none.
func newReplica(n *Node, group int, saved *PersistentState) (*replica, error) {
	r := &replica{
		node: n, group: group, log: raft.NewMemoryStorage(), state: statemachine.New(), members: &pb.ConfState{},
		proposals: proposals{inFlight: map[proposalKey]*proposal{}}, transfers: map[uint64]float64{},
	}
	if saved != nil {
		if err := r.load(saved); err != nil {
			return nil, err
		}
	}
	return r, r.start()
}

func (r *replica) load(saved *PersistentState) error {
	if !raft.IsEmptySnap(saved.Snapshot) {
		if err := r.restore(saved.Snapshot); err != nil {
			return err
		}
	}
	if h := saved.HardState; h != nil {
		if h.GetCommit() < r.applied { // a snapshot holds only committed entries, and is written without updating the hard state's commit index
			h = &pb.HardState{Term: h.Term, Vote: h.Vote, Commit: new(r.applied)}
		}
		if err := r.log.SetHardState(h); err != nil {
			return err
		}
		r.hardState.current = h
		r.hardState.written = h
	}
	return r.log.Append(saved.Entries)
}

// restore replaces the replica's state by that of a snapshot, after which the log starts.
func (r *replica) restore(snapshot *pb.Snapshot) error {
	state, err := statemachine.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	if err := r.log.ApplySnapshot(snapshot); err != nil {
		return err
	}
	r.state = state
	r.members = snapshot.GetMetadata().GetConfState()
	r.applied = snapshot.GetMetadata().GetIndex()
	r.snapshots.index = r.applied
	return nil
}

func (r *replica) start() error {
	var err error
	r.raft, err = raft.NewRawNode(&raft.Config{
		ID: uint64(r.node.id), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: r.log, Applied: r.applied,
		MaxSizePerMsg: maxBytesPerAppend, MaxInflightMsgs: maxInflightAppends, MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: silentLogger,
	})
	r.election.reset(r.node)
	return err
}

// receive processes a message of another replica of the group.
func (r *replica) receive(m *pb.Message) {
	r.removal.count = 0
	switch m.GetType() {
	case pb.MsgHeartbeat, pb.MsgApp, pb.MsgSnap:
		if m.GetTerm() >= r.leadership.term {
			r.election.reset(r.node)
		}
	default: // not sent by a leader
	}
	_ = r.raft.Step(m) // an error means that the message is out of date
	r.updateLeadership()
}

// updateLeadership reads the leader from the Raft library and handles a change of this replica's leadership.
func (r *replica) updateLeadership() {
	status := r.raft.BasicStatus()
	r.leadership.term = status.GetTerm()
	r.leadership.leader = status.Lead
	leads := status.RaftState == raft.StateLeader
	if leads == r.leadership.leads {
		return
	}
	r.leadership.leads = leads
	if !leads {
		r.node.logf("group %d: stepped down, term %d", r.group, r.leadership.term)
		r.rejectQueued()
		return
	}
	r.snapshots.forced = len(r.members.Learners) > 0
	r.clock.known = false // until an entry of this term is applied
	r.node.logf("group %d: became leader, term %d", r.group, r.leadership.term)
	r.node.nextAnnounce = 0
}

// isCurrent reports whether this leader has applied an entry of its own term, and with it all entries of earlier terms. Only then do
// its clock and state include all that the group has committed before.
func (r *replica) isCurrent() bool {
	term, err := r.log.Term(r.applied)
	return err == nil && term == r.leadership.term
}
