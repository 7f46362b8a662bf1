package replication

// This file owns one copy of one group: its log by the consensus library, its state, the group's clock, and when it stands
// for election. It must never answer before an entry is committed, nor let time run out by its own clock.

import (
	"io"
	"log"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/internal/mutation"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

const (
	beat  = 0.04 // seconds between ticks of the library
	beats = 10   // ticks without a leader after which votes are given
	step  = 1.0  // the group's clock goes on at most so far from one batch to the next, in seconds
)

// quiet is the library's log: what matters of it is in our own lines.
var quiet = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// Write is what has to outlive the process before anything is said that rests on it.
type Write struct {
	Group       int
	HardState   *pb.HardState // nil: unchanged
	Entries     []*pb.Entry
	Snapshot    *pb.Snapshot // nil: none; entries up to it go, but for those kept
	CompactTo   uint64       // with Snap: entries up to this index go
	ReplaceLog  bool         // with Snap: all entries go
	DropReplica bool         // all but the hard state goes
}

// Saved is what a copy had written when its process ended.
type PersistentState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

type asked struct {
	from   int // keeper's number
	number uint64
}

type proposal struct {
	at    float64
	asked []asked
}

type place struct{ term, nth uint64 }

type group struct {
	core        *Node
	number      int
	node        *raft.RawNode
	log         *raft.MemoryStorage
	state       *statemachine.State
	conf        *pb.ConfState
	hard, saved *pb.HardState // as it is, and as it was last written
	unsaid      bool          // they differ

	applied, snapAt, kept uint64
	newcomer              bool   // the snapshot is older than who holds the group
	term, lead            uint64 // as of now
	leads                 bool
	heard, patience       float64 // of a leader, and for how long it may be silent

	base, since, stamped float64 // the group's clock: at the beginning of this leadership, which was then; last given
	clockKnown           bool

	entries []statemachine.Command // to be proposed
	askers  []asked
	nth     uint64
	out     map[place]*proposal // by term and number: a number comes again in a later life on the same disk
	lateAt  float64             // when something was last proposed

	rd        raft.Ready
	pending   bool // rd is being written
	early     bool // its messages have gone already
	snap      *Write
	tended    float64
	strange   int // words of a leader by which this copy is none of the group's, with nothing else between
	strangeAt float64
	copying   map[uint64]float64 // snapshots on their way, and until when they are waited for
}

func newGroup(c *Node, number int, saved *PersistentState) (*group, error) {
	g := &group{
		core: c, number: number, log: raft.NewMemoryStorage(), state: statemachine.New(), out: map[place]*proposal{},
		copying: map[uint64]float64{}, conf: &pb.ConfState{},
	}
	if saved != nil {
		if !raft.IsEmptySnap(saved.Snapshot) {
			state, err := statemachine.Restore(saved.Snapshot.Data)
			if err != nil {
				return nil, err
			}
			g.state, g.conf = state, saved.Snapshot.GetMetadata().GetConfState()
			if err := g.log.ApplySnapshot(saved.Snapshot); err != nil {
				return nil, err
			}
			g.applied = saved.Snapshot.GetMetadata().GetIndex()
			g.snapAt = g.applied
		}
		if h := saved.HardState; h != nil {
			if h.GetCommit() < g.applied { // a snapshot holds only what was agreed on, and is written without saying so again
				h = &pb.HardState{Term: h.Term, Vote: h.Vote, Commit: new(g.applied)}
			}
			g.log.SetHardState(h)
			g.hard, g.saved = h, h
		}
		if err := g.log.Append(saved.Entries); err != nil {
			return nil, err
		}
	}
	return g, g.start()
}

func (g *group) start() (err error) {
	g.node, err = raft.NewRawNode(&raft.Config{
		ID: uint64(g.core.id), ElectionTick: beats, HeartbeatTick: 2, Storage: g.log,
		Applied: g.applied, MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 32 << 20,
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: quiet,
	})
	g.listen(g.core.now)
	return err
}

// listen begins to wait for a leader anew, for a time of its own.
func (g *group) listen(now float64) {
	g.heard, g.patience = now, beat*beats*(1+g.core.chance())
}

// tick lets time go on. The library's own elections draw chances that no seed gives; so it is told to stand here, at a
// time drawn here, and only counts ticks itself.
func (g *group) tick(now float64) {
	if g.leads {
		g.node.Tick()
		return
	}
	g.node.TickQuiesced()
	if now-g.heard > g.patience {
		g.listen(now)
		g.node.Campaign()
	}
}

// orphan: the leader's process is known to be gone; no need to wait for its silence.
func (g *group) orphan(number int) {
	if g.leads || g.lead == 0 || protocol.ReplicaID(g.lead).Number() != number {
		return
	}
	g.node.ForgetLeader()
	g.heard, g.patience = g.core.now, 0.02+0.18*g.core.chance()
	g.look()
}

// hear takes a message of another copy.
func (g *group) hear(m *pb.Message) {
	g.strange = 0
	if m.GetType() == pb.MsgHeartbeat || m.GetType() == pb.MsgApp || m.GetType() == pb.MsgSnap {
		if m.GetTerm() >= g.term {
			g.listen(g.core.now)
		}
	}
	g.node.Step(m) // an error is of a message that does not belong here any more
	g.look()
}

// look notes who leads.
func (g *group) look() {
	st := g.node.BasicStatus()
	g.term = st.GetTerm()
	g.lead = st.Lead
	leads := st.RaftState == raft.StateLeader
	if leads == g.leads {
		return
	}
	if g.leads = leads; leads {
		g.newcomer = len(g.conf.Learners) > 0
		g.clockKnown = false // until an entry of this term is applied
		g.core.log("group %d: leads, term %d", g.number, g.term)
		g.core.announceAt = 0
	} else {
		g.core.log("group %d: no longer leads, term %d", g.number, g.term)
		g.giveBack()
	}
}

// giveBack says of what was not proposed that it was not; of the rest nothing is known here.
func (g *group) giveBack() {
	for _, a := range g.askers {
		g.core.replyTo(a.from, protocol.Response{Group: g.number, RequestID: a.number, NotLeader: true, Leader: g.leader()})
	}
	g.entries, g.askers = g.entries[:0], g.askers[:0]
}

// leader is the number of the keeper that leads, as far as is known here; -1: none.
func (g *group) leader() int {
	if g.lead == 0 {
		return -1
	}
	return protocol.ReplicaID(g.lead).Number()
}

// ask takes what is to be proposed; false: this copy does not lead.
func (g *group) ask(e statemachine.Command, from asked) bool {
	if !g.leads {
		return false
	}
	g.entries, g.askers = append(g.entries, e), append(g.askers, from)
	return true
}

// clock is what the next batch is stamped with. Its pace is this process's monotonic clock, its place is the group's: clocks
// set apart don't show, and while there is no leader it stands still, so that nobody's time runs out unheard.
func (g *group) clock(now float64) float64 {
	if !g.clockKnown {
		g.clockKnown, g.base, g.since, g.stamped = true, g.state.Clock, now, g.state.Clock
	}
	next := max(g.stamped, g.base+now-g.since)
	if next > g.stamped+step { // this process stood still, or nothing was asked for long
		next = g.stamped + step
		g.base, g.since = next, now
	}
	g.stamped = next
	return next
}

// propose puts what was asked into the log as one batch.
func (g *group) propose(now float64) {
	if len(g.entries) == 0 || !g.leads || !g.current() {
		return
	}
	g.nth++
	b := statemachine.Batch{Clock: g.clock(now), Commands: g.entries, Proposer: uint64(g.core.id), Sequence: g.nth}
	if mutation.KeepLocalClock {
		b.Clock = now
	}
	if g.node.Propose(b.Encode()) != nil {
		g.giveBack()
		return
	}
	g.lateAt = now
	g.out[place{g.term, g.nth}] = &proposal{at: now, asked: slices.Clone(g.askers)}
	if mutation.KeepEarly { // answered before the others have it
		for i, r := range g.state.Apply(&statemachine.Batch{Clock: b.Clock, Commands: slices.Clone(g.entries)}) {
			g.answer(g.askers[i], r)
		}
		delete(g.out, place{g.term, g.nth})
	}
	g.entries, g.askers = g.entries[:0], g.askers[:0]
}

// current says that this leader has applied all of the terms before: its clock and state are the group's.
func (g *group) current() bool {
	t, err := g.log.Term(g.applied)
	return err == nil && t == g.term
}

// ready gathers what is to be written; messages of a leader need not wait for that.
func (g *group) ready(w *Ready) {
	if !g.pending && g.node.HasReady() {
		g.gather(w)
	}
	if g.snap != nil {
		w.Writes = append(w.Writes, *g.snap)
		g.snap = nil
	}
}

func (g *group) gather(w *Ready) {
	g.rd, g.pending, g.early = g.node.Ready(), true, false
	w.groups = append(w.groups, g)
	wr := Write{Group: g.number, Entries: g.rd.Entries}
	// How far the group has agreed need not outlive the process by itself: it is told again. So it goes along with what must.
	if h := g.rd.HardState; !raft.IsEmptyHardState(h) {
		g.hard = h
		g.unsaid = true
	}
	moved := g.hard.GetTerm() != g.saved.GetTerm() || g.hard.GetVote() != g.saved.GetVote()
	if g.unsaid && (moved || len(wr.Entries) > 0 || !raft.IsEmptySnap(g.rd.Snapshot)) {
		wr.HardState, g.saved, g.unsaid = g.hard, g.hard, false
	}
	if !raft.IsEmptySnap(g.rd.Snapshot) {
		wr.Snapshot, wr.ReplaceLog = g.rd.Snapshot, true
		g.snap = nil // written after it, an older one of its own would take its place
	}
	if g.leads && !moved || mutation.KeepUnsynced {
		g.early = true
		g.send(g.rd.Messages)
	}
	if wr.HardState != nil || wr.Snapshot != nil || len(wr.Entries) > 0 {
		w.Writes = append(w.Writes, wr)
	}
}

// written: what ready gave lies where it outlives the process.
func (g *group) written() {
	if !raft.IsEmptySnap(g.rd.Snapshot) {
		g.takeSnap(g.rd.Snapshot)
	}
	if !raft.IsEmptyHardState(g.rd.HardState) {
		g.log.SetHardState(g.rd.HardState)
	}
	g.log.Append(g.rd.Entries) // follows what is there: the library sees to that
	if !g.early {
		g.send(g.rd.Messages)
	}
	for _, e := range g.rd.CommittedEntries {
		g.apply(e)
	}
	rd := g.rd
	g.rd, g.pending = raft.Ready{}, false
	g.node.Advance(rd)
	g.look()
	g.compact()
}

func (g *group) takeSnap(s *pb.Snapshot) {
	state, err := statemachine.Restore(s.Data)
	if err != nil {
		g.core.fail(err)
		return
	}
	if err := g.log.ApplySnapshot(s); err != nil {
		g.core.fail(err)
		return
	}
	g.state, g.conf = state, s.GetMetadata().GetConfState()
	g.applied = s.GetMetadata().GetIndex()
	g.snapAt = g.applied
	g.core.log("group %d: copied, %d names, index %d", g.number, g.state.CounterCount(), g.applied)
}

func (g *group) apply(e *pb.Entry) {
	if e.GetIndex() <= g.applied {
		return
	}
	g.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChangeV2:
		var cc pb.ConfChangeV2
		if err := proto.Unmarshal(e.Data, &cc); err != nil {
			g.core.fail(err)
			return
		}
		g.conf = g.node.ApplyConfChange(&cc)
		g.newcomer = g.newcomer || g.leads && len(g.conf.Learners) > 0 // one that is told to begin with a snapshot in which it has no place does not take it
		g.core.announceAt = 0
	case pb.EntryNormal:
		if len(e.Data) == 0 {
			return
		}
		b, err := statemachine.DecodeBatch(e.Data)
		if err != nil {
			g.core.fail(err)
			return
		}
		if mutation.KeepEarly && b.Proposer == uint64(g.core.id) {
			return
		}
		replies := g.state.Apply(b)
		if b.Proposer != uint64(g.core.id) {
			return
		}
		at := place{e.GetTerm(), b.Sequence}
		if p := g.out[at]; p != nil {
			delete(g.out, at)
			for i, a := range p.asked {
				g.answer(a, replies[i])
			}
		}
	}
}

func (g *group) answer(a asked, r statemachine.Reply) {
	g.core.replyTo(a.from, protocol.Response{Group: g.number, RequestID: a.number, Leader: g.leader(), Reply: r})
}

// savedApart is the least time between two states saved at one keeper because their logs are long, in seconds.
const savedApart = 0.2

// compact lets a snapshot take the place of a long log.
func (g *group) compact() {
	behind, most := g.applied-min(g.applied, g.snapAt), uint64(g.core.terms.MaxLogEntries)
	long := behind >= most
	if g.snap != nil || g.applied <= g.snapAt || !long && !g.newcomer {
		return
	}
	// Guards against all groups, whose logs grow alike, saving their states in the same moment: adds wait meanwhile.
	if g.core.now < g.core.savedAt+savedApart && behind < 2*most && !g.newcomer {
		return
	}
	g.core.savedAt = g.core.now
	g.newcomer = false
	s, err := g.log.CreateSnapshot(g.applied, g.conf, g.state.Snapshot())
	if err != nil {
		g.core.fail(err)
		return
	}
	keep := g.kept
	if long {
		keep = g.applied - uint64(g.core.terms.MaxLogEntries/8) // for copies that are a little behind
		g.log.Compact(keep)
		g.kept = keep
	}
	g.snapAt = g.applied
	g.snap = &Write{Group: g.number, Snapshot: s, CompactTo: keep}
}

func (g *group) send(all []*pb.Message) {
	for _, m := range all {
		to := protocol.ReplicaID(m.GetTo())
		bulk := m.GetType() == pb.MsgSnap
		if bulk {
			g.copying[m.GetTo()] = g.core.now + 3 + 10*float64(len(m.GetSnapshot().GetData()))/g.core.terms.SnapshotRate
		}
		text, err := proto.Marshal(m)
		if err != nil {
			g.core.fail(err)
			return
		}
		g.core.send(to.Number(), &protocol.Frame{Kind: protocol.KindRaft, Group: g.number, Raft: text}, bulk)
	}
}

// tend is what a leader does for its group now and then: time that goes on though nobody asks, copies that came to an end on
// their way, debts of the dead, and who should hold a copy.
func (g *group) tend(now float64) {
	if !g.leads || now-g.tended < 0.25 {
		return
	}
	g.tended = now
	for at, p := range g.out {
		if now-p.at > 10 {
			delete(g.out, at)
		}
	}
	if !g.state.Idle() && now-g.lateAt > 0.25 {
		g.ask(statemachine.Command{Kind: statemachine.Tick}, asked{from: -1})
	}
	for _, id := range sortedKeys(g.copying) {
		if now > g.copying[id] {
			g.copyFailed(id)
		}
	}
	if g.current() {
		g.putBack()
		g.move(now)
	}
}

// copyFailed: a snapshot has not got there; another may be sent.
func (g *group) copyFailed(id uint64) {
	delete(g.copying, id)
	g.node.ReportSnapshot(id, raft.SnapshotFailure)
}

// putBack has what dead holders owe added to the names' counts, wherever those lie.
func (g *group) putBack() {
	for _, d := range g.state.UnrecoveredUsage(64) {
		key := d.Holder + "\x00" + d.Key
		if g.core.puttingBack[key] {
			continue
		}
		paid := func() {
			g.core.Submit(g.number, statemachine.Command{Kind: statemachine.ClearUnreported, Holder: d.Holder, Key: d.Key, Version: d.Version}, func(Outcome, statemachine.Reply) {
				delete(g.core.puttingBack, key)
			})
		}
		g.core.puttingBack[key] = true
		if d.TTL <= 0 { // its window is over
			paid()
			continue
		}
		g.core.Submit(GroupOf(d.Key, g.core.terms.Groups), statemachine.Command{Kind: statemachine.RecoverUnreported, Holder: d.Holder, Key: d.Key, Amount: d.Amount, TTL: d.TTL},
			func(how Outcome, r statemachine.Reply) {
				if how != Answered || r.Code != statemachine.Done {
					delete(g.core.puttingBack, key) // it is tried again, and changes nothing if it was made
					return
				}
				g.core.RecoveredUsages++
				paid()
			})
	}
}

// move brings the group nearer to where it should lie, by one change at a time.
func (g *group) move(now float64) {
	if len(g.conf.VotersOutgoing) > 0 || len(g.conf.LearnersNext) > 0 {
		return
	}
	st := g.node.Status()
	want := PlaceReplicas(g.number, g.core.peers, g.core.terms.Replicas, func(n int) bool { return g.core.fit(now, n) })
	holds := func(n int) bool { return slices.Contains(want, n) }
	// A copy of a former life comes first, as it remembers nothing; then the lost, those that should leave, those not wanted.
	worst, how := uint64(0), 0
	for _, id := range g.conf.Voters {
		n, x := protocol.ReplicaID(id).Number(), 0
		switch {
		case g.core.former(protocol.ReplicaID(id)):
			x = 4
		case g.core.lost(now, n):
			x = 3
		case n >= len(g.core.peers) || g.core.peers[n].Draining:
			x = 2
		case !holds(n):
			x = 1
		}
		if x > how {
			worst, how = id, x
		}
	}
	if len(g.conf.Learners) > 0 { // there is one at most; it is brought in, or taken out, before anything else
		id := g.conf.Learners[0]
		pr, n := st.Progress[id], protocol.ReplicaID(id).Number()
		if g.core.former(protocol.ReplicaID(id)) || !holds(n) || g.core.lost(now, n) {
			g.change(&pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &id})
			return
		}
		if !pr.RecentActive || pr.Match == 0 || pr.Match+64 < g.applied {
			return // still being copied
		}
		if worst == uint64(g.core.id) {
			g.handOver(st)
			return
		}
		add := &pb.ConfChangeSingle{Type: pb.ConfChangeAddNode.Enum(), NodeId: &id}
		if worst == 0 {
			g.change(add)
			return
		}
		g.change(add, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &worst})
		return
	}
	if worst == 0 && len(g.conf.Voters) >= g.core.terms.Replicas {
		return
	}
	if g.core.moving() {
		return
	}
	for _, n := range want {
		id := uint64(protocol.NewReplicaID(n, g.core.lives[n]))
		if slices.Contains(g.conf.Voters, id) {
			continue
		}
		g.change(&pb.ConfChangeSingle{Type: pb.ConfChangeAddLearnerNode.Enum(), NodeId: &id})
		return
	}
	// Nobody can take its place: a keeper that should leave, or is lost, goes on counting, as two of two would else be one.
}

// handOver has another copy lead, so that this one can leave.
func (g *group) handOver(st raft.Status) {
	best, most := uint64(0), uint64(0)
	for _, id := range g.conf.Voters {
		if pr := st.Progress[id]; id != uint64(g.core.id) && pr.RecentActive && pr.Match >= most {
			best, most = id, pr.Match
		}
	}
	if best != 0 {
		g.node.TransferLeader(best)
	}
}

func (g *group) change(all ...*pb.ConfChangeSingle) {
	if g.node.ProposeConfChange(&pb.ConfChangeV2{Changes: all}) == nil {
		g.core.MembershipChanges++
		for _, c := range all {
			id := protocol.ReplicaID(c.GetNodeId())
			g.core.log("group %d: %v keeper %d, life %08x", g.number, c.GetType(), id.Number(), id.Incarnation())
		}
	}
}

// Where a group is no longer held, the copy goes once its leader has said so for some seconds and nothing else has come of
// the group; a leader that has not caught up, or a word that was held up on its way, must not take a copy that counts.
const (
	strangeGap  = 0.4 // seconds between two such words that count as two
	strangeMost = 10
)

// stale says that this copy no longer belongs to its group.
func (g *group) stale(a *protocol.LeaderAnnouncement) bool {
	last, err := g.log.LastIndex()
	if g.leads || g.applied == 0 || err != nil || slices.Contains(a.Members, uint64(g.core.id)) || a.Term < g.term || a.Index < last {
		g.strange = 0
		return false
	}
	if g.core.now-g.strangeAt >= strangeGap {
		g.strange, g.strangeAt = g.strange+1, g.core.now
	}
	return g.strange >= strangeMost
}

// Take brings what was saved to what it is after a write; stores that keep it in another form do the same to theirs.
func (s *PersistentState) Apply(w *Write) {
	if w.DropReplica {
		*s = PersistentState{}
	}
	if w.HardState != nil {
		s.HardState = w.HardState
	}
	if w.Snapshot != nil {
		s.Snapshot = w.Snapshot
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return w.ReplaceLog || e.GetIndex() <= w.CompactTo })
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].GetIndex()
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= first })
		s.Entries = append(s.Entries, w.Entries...)
	}
}

// Trim leaves what a start needs: the entries behind the snapshot.
func (s *PersistentState) AfterSnapshot() *PersistentState {
	t := *s
	if s.Snapshot != nil {
		at := s.Snapshot.GetMetadata().GetIndex()
		t.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= at })
	}
	return &t
}
