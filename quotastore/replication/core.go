// Package replication is one keeper: copies of groups of held things (package hold), kept the same over several keepers by a
// consensus library, and the way of whoever asks to the keeper that leads a group. It decides by what it is told and when;
// it must never do I/O, read a clock, or draw chances that its seed does not give.
//
// How to call it. Tick, Hear, Broken and Ask bring what happens; after any of them Work gives what has to be written and
// Written says that it lies where it outlives the process, again and again until Work gives nothing; then Letters are sent.
package replication

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/gateway/membership"
	"otterseam/internal/rng"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Terms are what all keepers of an installation have to agree on.
type Config struct {
	Groups        int     // parts into which names are spread
	Replicas      int     // keepers that hold each part: 3 or 5
	MaxLogEntries int     // entries of a log after which a snapshot takes their place
	SnapshotRate  float64 // bytes a second at which copies are made anew to one keeper
	ReplaceAfter  float64 // seconds after which a silent keeper's part is copied to another
}

// Outcome is what is known of something that was asked.
type Outcome int

const (
	Answered Outcome = iota
	Rejected         // nothing was done, and nothing will be
	Unknown          // it may have been done, or may yet be
)

// Letter is a frame for another keeper. Bulk: it is large, and must not hold up others.
type Message struct {
	To    int
	Frame *protocol.Frame
	Bulk  bool
}

// Work is what has to be written.
type Ready struct {
	Writes []Write
	groups []*group
}

// Core is one keeper.
type Node struct {
	me      int
	id      protocol.ReplicaID
	cluster uint64 // 0: it belongs to none yet
	peers   []Peer
	terms   Config
	chances rng.Line
	run     uint64 // another one in each process: a life on a disk may have several
	now     float64
	tickAt  float64
	group   []*group  // by number; nil: not held here
	lives   []uint32  // by keeper, as it says; 0: never heard of
	heard   []float64 // when it was last known to be there
	members *membership.Detector

	asks        []*lane // by group
	numbers     uint64
	puttingBack map[string]bool
	savedAt     float64 // when a group's state was saved last
	announceAt  float64
	helloAt     float64
	letters     []Message
	lines       []string
	refusing    bool
	failed      error
	dropped     []Write

	// PutBack and Changes count debts of the dead put back, and changes of who holds a copy.
	RecoveredUsages, MembershipChanges int
}

// New makes a keeper: its place in the list, its life, the founding it belongs to (0: none yet), a seed that no process of
// it had before, and what it had written.
func New(me int, life uint32, cluster uint64, peers []Peer, terms Config, seed uint64, saved map[int]*PersistentState) (*Node, error) {
	if terms.Groups < 1 || terms.Groups > 1024 || terms.Replicas < 1 || terms.Replicas > 7 || terms.MaxLogEntries < 16 || !(terms.SnapshotRate > 0) || me < 0 || me >= len(peers) || len(peers) > 200 || life == 0 {
		return nil, errors.New("keeper: its place, life, groups, copies or log are out of range")
	}
	c := &Node{
		me: me, id: protocol.NewReplicaID(me, life), cluster: cluster, peers: peers, terms: terms, group: make([]*group, terms.Groups),
		chances: rng.By("keeper %d %d ", me, seed), puttingBack: map[string]bool{}, run: seed, numbers: seed << 32 >> 1,
	}
	c.setPeers(peers, seed)
	c.lives[me] = life
	for g := range terms.Groups {
		c.asks = append(c.asks, &lane{core: c, group: g, lead: -1})
	}
	for _, g := range sortedKeys(saved) {
		if g < 0 || g >= terms.Groups {
			return nil, fmt.Errorf("group %d was written, and the list has %d groups: their number is fixed at the founding", g, terms.Groups)
		}
		x, err := newGroup(c, g, saved[g])
		if err != nil {
			return nil, fmt.Errorf("group %d: %w", g, err)
		}
		c.group[g] = x
	}
	return c, nil
}

// setPeers takes the list; keepers are known by their place in it.
func (c *Node) setPeers(peers []Peer, seed uint64) {
	c.peers = peers
	for len(c.lives) < len(peers) {
		c.lives, c.heard = append(c.lives, 0), append(c.heard, -1e9)
	}
	if len(peers) > 1 {
		c.members = membership.New(c.me, len(peers), 60, 0.5, seed)
	}
}

// Peers takes up a list to which keepers were added, or in which some are to leave.
func (c *Node) SetPeers(now float64, peers []Peer, seed uint64) error {
	if len(peers) < len(c.peers) {
		return errors.New("keepers can't be taken off the list: say that they are leaving")
	}
	for i, p := range c.peers {
		if p.Name != peers[i].Name {
			return fmt.Errorf("keeper %d was %s and is %s now: only new ones at the end are taken up", i, p.Name, peers[i].Name)
		}
	}
	c.now = now
	c.setPeers(peers, seed)
	return nil
}

func (c *Node) chance() float64 { return c.chances.Next() }

func (c *Node) log(form string, args ...any) { c.lines = append(c.lines, fmt.Sprintf(form, args...)) }

// Lines gives what the log should hear.
func (c *Node) TakeLogLines() (all []string) {
	all, c.lines = c.lines, nil
	return all
}

// Failed says why this keeper can't go on; nil: it can.
func (c *Node) Err() error { return c.failed }

func (c *Node) fail(err error) {
	if c.failed == nil {
		c.failed = err
	}
}

// Cluster is the founding it belongs to; 0: none yet.
func (c *Node) Cluster() uint64 { return c.cluster }

// Life is which of its lives this is.
func (c *Node) Incarnation() uint32 { return c.id.Incarnation() }

// Found takes part in a founding. One that belongs to an installation, or has another life by now, does not: it might be
// asked to begin anew what others still hold. One that heard of this installation by those founded before it, and holds nothing
// yet, takes its part: else what a founding from a snapshot was answered for would lie on the others alone until it is copied. It
// gives what has to be written first.
func (c *Node) Bootstrap(now float64, f *protocol.Bootstrap) ([]Write, error) {
	switch {
	case c.cluster == f.Cluster && c.cluster != 0 && c.holds():
		return nil, nil
	case c.cluster != 0 && c.cluster != f.Cluster || c.holds(): // it may hold what was said to it before it wrote to whom it belongs
		return nil, fmt.Errorf("keeper %d belongs to installation %016x", c.me, c.cluster)
	case f.Cluster == 0 || f.Groups != c.terms.Groups || f.Replicas != c.terms.Replicas || !slices.Contains(f.Members, c.id):
		return nil, fmt.Errorf("keeper %d, life %08x: not in this founding, or of other groups or copies", c.me, c.id.Incarnation())
	}
	c.now = now
	var writes []Write
	there := map[int]bool{}
	for _, id := range f.Members {
		there[id.Number()] = true
		if n := id.Number(); n >= 0 && n < len(c.lives) && c.lives[n] == 0 {
			c.lives[n] = id.Incarnation()
		}
	}
	for g := range f.Groups {
		conf := &pb.ConfState{}
		for _, n := range PlaceReplicas(g, c.peers, c.terms.Replicas, func(n int) bool { return there[n] }) {
			for _, id := range f.Members {
				if id.Number() == n {
					conf.Voters = append(conf.Voters, uint64(id))
				}
			}
		}
		slices.Sort(conf.Voters)
		if !slices.Contains(conf.Voters, uint64(c.id)) {
			continue
		}
		data := statemachine.New().Snapshot()
		if f.Snapshots != nil {
			if _, err := statemachine.Restore(f.Snapshots[g]); err != nil {
				return nil, fmt.Errorf("group %d of the snapshot: %w", g, err)
			}
			data = f.Snapshots[g]
		}
		snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(uint64(1))}}
		hard := &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}
		x, err := newGroup(c, g, &PersistentState{HardState: hard, Snapshot: snap})
		if err != nil {
			return nil, err
		}
		c.group[g] = x
		writes = append(writes, Write{Group: g, HardState: hard, Snapshot: snap, ReplaceLog: true})
	}
	c.cluster = f.Cluster
	c.helloAt, c.announceAt = 0, 0
	return writes, nil
}

// Tick lets time go on; it is to be called every 40 ms or so.
func (c *Node) Tick(now float64) {
	c.now = now
	for _, l := range c.members.Tick(now) {
		c.text(l)
	}
	if line := c.members.LogLine(now); line != "" {
		c.log("%s", line)
	}
	for n := range c.peers {
		if n == c.me || c.members != nil && c.members.StateOf(now, n) != membership.Dead && c.lives[n] != 0 {
			c.heard[n] = now
		}
	}
	if now-c.tickAt >= 0.75*beat {
		c.tickAt = now
		for g := range c.held {
			g.tick(now)
			g.look()
			g.tend(now)
		}
	}
	if now >= c.helloAt {
		c.helloAt = now + 1
		for n := range c.peers {
			if n != c.me {
				c.send(n, c.Hello(), false)
			}
		}
	}
	if now >= c.announceAt {
		c.announceAt = now + 0.5
		c.announce()
	}
	refusing := 0
	for _, l := range c.asks {
		l.look(now)
		if c.cluster != 0 && l.away(now) {
			refusing++
		}
	}
	if (refusing > 0) != c.refusing {
		if c.refusing = refusing > 0; c.refusing {
			c.log("calls are turned away: %d of %d groups have no leader, as more of their keepers are away than may be", refusing, c.terms.Groups)
		} else {
			c.log("all groups have a leader again")
		}
	}
}

func (c *Node) text(l membership.Message) {
	for n := range c.peers {
		if n != c.me && (l.To == n || l.To == membership.Broadcast) {
			c.send(n, &protocol.Frame{Kind: protocol.KindMembership, Membership: l.Text}, false)
		}
	}
}

// held goes through the groups held here, in their order.
func (c *Node) held(each func(g *group) bool) {
	for _, g := range c.group {
		if g != nil && !each(g) {
			return
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Hello is what a keeper says of itself at the beginning of a stream, and now and then.
func (c *Node) Hello() *protocol.Frame {
	return &protocol.Frame{Kind: protocol.KindHello, Hello: &protocol.Hello{Sender: c.me, Incarnation: c.id.Incarnation()}}
}

// announce tells all who leads what, and who holds it.
func (c *Node) announce() {
	var all []protocol.LeaderAnnouncement
	for g := range c.held {
		if g.leads && g.current() { // else it may not know yet who holds the group
			members := append(slices.Clone(g.conf.Voters), g.conf.Learners...)
			members = append(append(members, g.conf.VotersOutgoing...), g.conf.LearnersNext...)
			all = append(all, protocol.LeaderAnnouncement{Group: g.number, Term: g.term, Index: g.applied, Members: members})
			c.asks[g.number].led(c.me, g.term)
		}
	}
	if len(all) == 0 {
		return
	}
	for n := range c.peers {
		if n != c.me {
			c.send(n, &protocol.Frame{Kind: protocol.KindLeaders, Leaders: all}, false)
		}
	}
}

func (c *Node) send(to int, f *protocol.Frame, bulk bool) {
	if to < 0 || to >= len(c.peers) {
		return
	}
	f.Cluster, f.Incarnation = c.cluster, c.id.Incarnation()
	c.letters = append(c.letters, Message{to, f, bulk})
}

// Letters gives what is to be sent.
func (c *Node) TakeMessages() (all []Message) {
	all, c.letters = c.letters, nil
	return all
}

// Work gives what has to be written now; nil: nothing, and all has been said.
func (c *Node) Ready() *Ready {
	w := &Ready{Writes: c.dropped}
	c.dropped = nil
	for g := range c.held {
		g.propose(c.now)
		g.ready(w)
	}
	if len(w.Writes)+len(w.groups) == 0 {
		return nil
	}
	return w
}

// Written says that all of a Work lies where it outlives the process, or that there is no such place.
func (c *Node) Advance(w *Ready) {
	for _, g := range w.groups {
		g.written()
	}
}

// Broken: the stream to a keeper ended, and it does not listen any more: its process is gone.
func (c *Node) PeerDown(now float64, n int) {
	c.now = now
	for g := range c.held {
		g.orphan(n)
	}
	for _, l := range c.asks {
		if l.lead == n {
			l.lead = -1
		}
	}
}

// Unsent: a bulk letter to a keeper could not be sent.
func (c *Node) SnapshotFailed(now float64, to int) {
	c.now = now
	for g := range c.held {
		for _, id := range sortedKeys(g.copying) {
			if protocol.ReplicaID(id).Number() == to {
				g.copyFailed(id)
			}
		}
	}
}

// Hear takes a frame of another keeper.
func (c *Node) Receive(now float64, from int, f *protocol.Frame) {
	c.now = now
	if from < 0 || from >= len(c.peers) || from == c.me || f.Incarnation == 0 {
		return
	}
	if c.cluster == 0 && f.Cluster != 0 {
		c.cluster = f.Cluster // it is new here, and what holds for the others holds for it
		c.log("belongs to installation %016x", c.cluster)
	}
	if f.Cluster != 0 && f.Cluster != c.cluster {
		return
	}
	if c.lives[from] != f.Incarnation {
		if c.lives[from] != 0 {
			c.log("keeper %d has a new life, %08x: what it held is to be copied to it", from, f.Incarnation)
		}
		c.lives[from] = f.Incarnation
	}
	switch f.Kind {
	case protocol.KindMembership:
		if c.members != nil {
			c.members.Receive(now, from, f.Membership)
			for _, l := range c.members.Tick(now) {
				c.text(l)
			}
		}
	case protocol.KindRaft:
		c.raft(f)
	case protocol.KindLeaders:
		for i := range f.Leaders {
			c.leads(from, &f.Leaders[i])
		}
	case protocol.KindRequests:
		for i := range f.Requests {
			c.asked(from, &f.Requests[i])
		}
	case protocol.KindResponses:
		for i := range f.Responses {
			c.replied(&f.Responses[i])
		}
	}
}

func (c *Node) raft(f *protocol.Frame) {
	m := &pb.Message{}
	if proto.Unmarshal(f.Raft, m) != nil || f.Group < 0 || f.Group >= c.terms.Groups || c.cluster == 0 {
		return
	}
	if protocol.ReplicaID(m.GetTo()) != c.id {
		return // for a life before this one
	}
	g := c.group[f.Group]
	if g == nil { // a leader has added this keeper; it votes for nothing that it does not hold
		var err error
		if g, err = newGroup(c, f.Group, nil); err != nil {
			c.fail(err)
			return
		}
		c.group[f.Group] = g
	}
	g.hear(m)
}

// leads hears who leads a group; a copy here that no longer belongs to it is let go of, but for its votes.
func (c *Node) leads(from int, a *protocol.LeaderAnnouncement) {
	if a.Group < 0 || a.Group >= c.terms.Groups {
		return
	}
	c.asks[a.Group].led(from, a.Term)
	if g := c.group[a.Group]; g != nil && g.stale(a) && !g.pending {
		hard, _, err := g.log.InitialState()
		if err != nil {
			c.fail(err)
			return
		}
		c.log("group %d: not held here any more", a.Group)
		fresh, err := newGroup(c, a.Group, &PersistentState{HardState: &pb.HardState{Term: hard.Term, Vote: hard.Vote}})
		if err != nil {
			c.fail(err)
			return
		}
		c.group[a.Group] = fresh
		c.dropped = append(c.dropped, Write{Group: a.Group, HardState: &pb.HardState{Term: hard.Term, Vote: hard.Vote}, DropReplica: true})
	}
}

// former says that a copy is of a life of its keeper that is over.
func (c *Node) former(id protocol.ReplicaID) bool {
	n := id.Number()
	return n < len(c.lives) && c.lives[n] != 0 && c.lives[n] != id.Incarnation()
}

// holds says that any group is held here.
func (c *Node) holds() bool {
	for range c.held {
		return true
	}
	return false
}

// moving says that a group led here is being copied to somebody: one after another, as each copy costs all others time.
func (c *Node) moving() bool {
	for g := range c.held {
		if g.leads && len(g.conf.Learners) > 0 {
			return true
		}
	}
	return false
}

// lost says that a keeper has been away for so long that another should hold what it held.
func (c *Node) lost(now float64, n int) bool {
	return n >= len(c.peers) || now-c.heard[n] > c.terms.ReplaceAfter
}

// fit says that a keeper can hold copies.
func (c *Node) fit(now float64, n int) bool {
	return !c.peers[n].Draining && c.lives[n] != 0 && !c.lost(now, n)
}
