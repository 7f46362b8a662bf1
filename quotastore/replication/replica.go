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
	electionTicks  = 10 // ticks without a leader after which votes are given
	heartbeatTicks = 2  // ticks between heartbeats of a leader

	maxBytesPerAppend   = 256 << 10
	maxInflightAppends  = 64
	maxUncommittedBytes = 32 << 20

	noLeader = -1 // in place of the number of a server
)

// silentLogger discards the lines of the Raft library: what matters of them is in lines of our own.
var silentLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// replica is the replica of one group here.
type replica struct {
	node    *Node
	group   int
	raft    *raft.RawNode
	log     *raft.MemoryStorage
	state   *statemachine.State
	members *pb.ConfState
	applied uint64 // index of the last entry that is in state and members

	leadership leadership
	election   electionTimer
	clock      groupClock
	hardState  hardState
	proposals  proposals
	cycle      readyCycle
	snapshots  snapshots
	removal    removalNotices

	transfers    map[uint64]float64 // snapshots on their way, by replica ID, and until when they are waited for
	maintainedAt float64            // when a leader last did what it does now and then
}

// leadership is who leads the group as far as this replica knows.
type leadership struct {
	term   uint64
	leader uint64 // replica ID; 0: none is known
	leads  bool   // this replica does
}

// number is the number of the server that leads, or noLeader.
func (l *leadership) number() int {
	if l.leader == 0 {
		return noLeader
	}
	return protocol.ReplicaID(l.leader).Number()
}

// newReplica makes a replica of what it had written; nil: nothing.
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
		if h.GetCommit() < r.applied { // a snapshot holds only what was committed, and is written without saying so again
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

// restore makes a snapshot the replica's state and the beginning of its log.
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

// receive takes a message of another replica of the group.
func (r *replica) receive(m *pb.Message) {
	r.removal.count = 0
	switch m.GetType() {
	case pb.MsgHeartbeat, pb.MsgApp, pb.MsgSnap:
		if m.GetTerm() >= r.leadership.term {
			r.election.reset(r.node)
		}
	default: // not of a leader
	}
	_ = r.raft.Step(m) // an error is of a message that does not belong here any more
	r.updateLeadership()
}

// updateLeadership notes who leads.
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

// isCurrent reports whether this leader has applied all of the terms before: its clock and state are the group's.
func (r *replica) isCurrent() bool {
	term, err := r.log.Term(r.applied)
	return err == nil && term == r.leadership.term
}
