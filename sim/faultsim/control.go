package faultsim

import (
	"fmt"
	"slices"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// The times of control processes, in milliseconds.
const (
	controlBeatEvery = 200
	superviseEvery   = 50
	suspectAfter     = 500
	suspectRankStep  = 120
	stickyFor        = 350
	locateTimeout    = 350
	proposeTimeout   = 1200
	controlSilence   = 2500
	controlGone      = 6000
	foundAfter       = 700
	stopLimit        = 6500
	seedCount        = 3
	primaryLocates   = 20 // a primary looks around in one of so many rounds
)

// ControlBugs are faults put into a play of control, to see that it finds them.
type ControlBugs struct {
	Bugs
	NoMinCopies  bool // no number of copies is demanded
	AdmitLagging bool // a replica is taken in whatever it holds
	SeatInSync   bool // who takes the vote of a lost disk counts as in sync at once
	LostBlocks   bool // a lost disk blocks the decisions that wait for its vote
	NotFollowed  bool // a primary goes on under the view before a change of its own that it did not hear to be decided
	AnyoneLeads  bool // a member that is not in sync takes over
}

// ControlOptions say what is played.
type ControlOptions struct {
	Members   int
	Tolerate  int
	Spaced    int64 // most milliseconds between harms
	Length    int64
	LateSeed  bool // one seed starts seconds after the others
	StateSize int
	Bugs      ControlBugs
}

// controlPlay is the control group.
type controlPlay struct {
	*play
	options ControlOptions
	policy  membership.Policy
	members map[*node]*process
	seeds   []string
	outcome Outcome
	repair  repairClock
	changed func()
	next    int
	newest  consensus.Record // the newest record that was decided
}

// process is a control process in its present life, with what its disk keeps of its witness.
type process struct {
	*node
	play      *controlPlay
	bootstrap bool

	witness consensus.Acceptor // durable
	round   uint64             // durable

	known        consensus.Record
	knownDecided bool
	learnedAt    int64
	seen         *membership.IdentityTracker
	seeds        []string                    // of its settings, written when it started
	founders     map[string]consensus.Member // who answered as founders, by address
	sessions     map[uint64]controlSession
	startedAt    int64
	ledSince     int64
	led          bool
	busy         bool
}

type controlSession struct {
	member  consensus.Member
	heardAt int64
	leaving bool
}

// PlayControl plays the control group under losses and judges it.
func PlayControl(seed int64, options ControlOptions) Outcome {
	c := &controlPlay{
		play: newPlay(seed), options: options, policy: membership.Policy{Tolerate: options.Tolerate},
		members: map[*node]*process{}, changed: func() {},
	}
	c.stateSize = options.StateSize
	c.bugs = options.Bugs.Bugs
	c.eager = true
	c.started = c.startProcess
	for i := range options.Members {
		n := c.newMachine(true)
		if i < seedCount {
			c.seeds = append(c.seeds, n.address)
		}
		delay := c.Between(0, 300)
		if options.LateSeed && i == 2 {
			delay = c.Between(2000, 9000)
		}
		c.After(delay, n.start)
	}
	c.order()
	if !c.RunUntil(settleWithin, func() bool { return c.newestAcknowledged > 0 }) {
		c.fail("the group was not founded")
		return c.end()
	}
	a := &adversary{
		play: c.play, tolerate: options.Tolerate, open: map[uint64]loss{}, spaced: options.Spaced,
		inSync: c.counted, primary: func() uint64 { return c.newest.Primary }, leave: c.leave,
		bears:  c.bears,
		struck: func() { c.repair = repairClock{since: c.Now} },
	}
	a.replace = func() { c.replace(a) }
	c.changed = a.provoked
	a.act()
	c.Run(c.Now + options.Length)
	c.quiet = true
	c.outcome.Strikes = a.strikes
	if !c.RunUntil(settleWithin, c.whole) {
		c.fail(fmt.Sprintf("no way back: %+v", c.newest))
		return c.end()
	}
	c.judge(c.find(c.newest.Primary))
	return c.end()
}

func (c *controlPlay) end() Outcome {
	c.outcome.Fault = c.fault
	c.outcome.Acknowledged = len(c.acknowledged)
	return c.outcome
}

func (c *controlPlay) newMachine(bootstrap bool) *node {
	c.next++
	n := c.addNode(fmt.Sprintf("core-%d", c.next))
	c.members[n] = &process{node: n, play: c, bootstrap: bootstrap}
	n.wiped = func() {
		if old := c.members[n]; !c.bugs.KeepIdentity {
			c.members[n] = &process{node: n, play: c}
		} else {
			old.witness = consensus.Acceptor{}
		}
	}
	return n
}

// bears is how many lost votes a group of its size can do without; while its members change, so many of those before too. Half of
// an even number may be lost, if each loss can be proved: a machine that has gone for good answers nothing.
func (c *controlPlay) bears() int {
	votes := c.spareVotes(c.newest.Members)
	if len(c.newest.Previous) > 0 {
		votes = min(votes, c.spareVotes(c.newest.Previous))
	}
	return votes
}

func (c *controlPlay) spareVotes(members []consensus.Member) int {
	for _, member := range members {
		if c.machineGone(member.Address) {
			return (len(members) - 1) / 2
		}
	}
	return len(members) / 2
}

func (c *controlPlay) machineGone(address string) bool {
	for _, n := range c.nodes {
		if n.address == address {
			return n.removed
		}
	}
	return false
}

// counted are the identities that the group counts upon: for copies or for votes.
func (c *controlPlay) counted() []uint64 {
	all := append([]uint64(nil), c.newest.InSync...)
	for _, member := range c.newest.Voters() {
		if !slices.Contains(all, member.ID) {
			all = append(all, member.ID)
		}
	}
	return all
}

func (c *controlPlay) startProcess(n *node) {
	p := c.members[n]
	p.known = p.witness.Value
	p.knownDecided = false
	p.seen = membership.NewIdentityTracker()
	p.founders = map[string]consensus.Member{}
	p.seeds = c.presentSeeds()
	p.sessions = map[uint64]controlSession{}
	p.startedAt = c.Now
	p.ledSince = 0
	p.led = false
	p.busy = false
	n.every(controlBeatEvery, p.beat)
	n.every(superviseEvery, p.supervise)
}

// presentSeeds are what the operator writes into the settings of a process that starts: a few machines that are there.
func (c *controlPlay) presentSeeds() []string {
	if len(c.seeds) < seedCount {
		return c.seeds
	}
	var seeds []string
	for _, n := range c.nodes {
		if !n.removed && len(seeds) < seedCount {
			seeds = append(seeds, n.address)
		}
	}
	return seeds
}

func (p *process) self() consensus.Member {
	return consensus.Member{ID: p.identity, Address: p.address, Node: p.name}
}

// ask calls the process at an address. answered is not called if there is none or the answer is lost.
func (p *process) ask(address string, question func(other *process) (answer func())) {
	c := p.play
	c.After(c.Between(1, 4), func() {
		for _, n := range c.nodes {
			if n.address != address || !n.up || n.removed || c.Chance(messageLoss) {
				continue
			}
			if answer := question(c.members[n]); answer != nil {
				p.later(c.Between(1, 4), answer)
			}
		}
	})
}

// addresses are where other control processes may be.
func (p *process) addresses() []string {
	all := append([]string(nil), p.seeds...)
	for _, member := range append(p.known.Voters(), p.known.Learners...) {
		if !contains(all, member.Address) {
			all = append(all, member.Address)
		}
	}
	return all
}

func contains(list []string, text string) bool {
	for _, each := range list {
		if each == text {
			return true
		}
	}
	return false
}

// learn takes a record that was accepted here or told. It need not have been decided.
func (p *process) learn(record consensus.Record) { p.note(record, false) }

func (p *process) note(record consensus.Record, decided bool) {
	if record.Epoch > p.known.Epoch || (record.Epoch == p.known.Epoch && (decided || !p.knownDecided)) {
		if record.Epoch > p.known.Epoch {
			p.learnedAt = p.play.Now
		}
		p.known = record
		p.knownDecided = decided
	}
	if decided && record.Epoch >= p.play.newest.Epoch {
		p.play.newest = record
		p.play.changed()
	}
	for _, member := range append(p.known.Voters(), p.known.Learners...) {
		p.seen.ObserveListed(member, p.play.Now)
	}
}

// locate asks everyone who they are and what they know.
func (p *process) locate() {
	asked, mine := p.play.Now, p.known
	for _, address := range p.addresses() {
		if address == p.address {
			continue
		}
		p.ask(address, func(other *process) func() {
			other.learn(mine)
			there, record, founds := other.self(), other.known, other.bootstrap
			return func() {
				p.learn(record)
				p.seen.ObserveAnswer(there, asked)
				delete(p.founders, address)
				if founds {
					p.founders[address] = there
				}
			}
		})
	}
}

// beat keeps the session with whoever leads.
func (p *process) beat() {
	me, leaving := p.self(), p.leaving
	if p.group.IsPrimary() {
		p.sessions[me.ID] = controlSession{member: me, heardAt: p.play.Now, leaving: leaving}
		return
	}
	for _, address := range p.addresses() {
		p.ask(address, func(other *process) func() {
			if !other.group.IsPrimary() {
				return nil
			}
			other.sessions[me.ID] = controlSession{member: me, heardAt: p.play.Now, leaving: leaving}
			other.seen.ObserveAnswer(me, p.play.Now)
			record := other.known
			return func() { p.learn(record) }
		})
	}
}

// lost tells whether a member's disk is provably lost.
func (p *process) lost(id uint64) bool {
	if id == p.identity {
		return false
	}
	member, named := p.known.Member(id)
	if named && member.Address == p.address && member.Node == p.name {
		return true
	}
	return p.seen.DiskLost(id)
}

func (p *process) supervise() {
	switch {
	case !p.known.IsBootstrapped():
		p.findOrFound()
	case p.group.IsPrimary() && !p.replaced():
		if p.ledSince == 0 {
			p.ledSince = p.play.Now
		}
		if p.play.Chance(primaryLocates) {
			p.locate()
		}
		p.adjust()
		p.play.measure(p)
	default:
		p.ledSince = 0
		p.watchPrimary()
	}
}

// replaced tells whether this process knows of a primary that follows the one of its replica's view.
func (p *process) replaced() bool {
	view := p.group.View()
	return p.known.Epoch > view.Epoch && p.known.Primary != view.Primary
}

func (p *process) findOrFound() {
	p.locate()
	if !p.bootstrap || !contains(p.play.seeds, p.address) || p.busy {
		return
	}
	founding := membership.BootstrapInput{
		Self: p.self(), Seeds: p.play.seeds, Candidates: p.founders, WaitElapsed: p.play.Now-p.startedAt > foundAfter,
	}
	members, may := founding.Members()
	if !may {
		return
	}
	p.propose(prepareBySelf, consensus.Record{Members: members}, func(current consensus.Record) (consensus.Record, bool) {
		if current.IsBootstrapped() {
			return current, false
		}
		return p.spoil(p.play.policy.InitialRecord(p.identity, members)), true
	})
}

// watchPrimary takes over when the primary has been silent for too long.
func (p *process) watchPrimary() {
	if !p.known.IsInSync(p.identity) && !(p.play.options.Bugs.AnyoneLeads && consensus.HasMember(p.known.Members, p.identity)) {
		if p.play.Chance(4) {
			p.locate()
		}
		return
	}
	heard := p.group.LastHeartbeat()
	if p.replaced() {
		heard = p.learnedAt // what is heard comes from the primary before
	}
	silence := p.play.Now - max(heard, p.startedAt)
	if p.known.Primary == p.identity {
		if p.led && silence < suspectAfter {
			return
		}
		p.takeOver(prepareBySelf)
		return
	}
	if silence > suspectAfter+p.rank()*suspectRankStep+p.play.Between(0, suspectRankStep) {
		p.takeOver(prepareOnSilence)
	}
}

func (p *process) rank() int64 {
	place := int64(0)
	for _, id := range p.known.InSync {
		if id == p.identity {
			break
		}
		if id != p.known.Primary {
			place++
		}
	}
	return place
}

func (p *process) takeOver(mode prepareMode) {
	if p.busy {
		return
	}
	suspected := p.known.Epoch
	p.locate()
	p.busy = true
	p.later(p.play.Between(10, 30), func() {
		p.busy = false
		if p.known.Epoch != suspected {
			return
		}
		p.propose(mode, p.known, func(current consensus.Record) (consensus.Record, bool) {
			// a suspected epoch above the current one was proposed and never decided
			if current.Epoch > suspected || !(current.IsInSync(p.identity) || p.play.options.Bugs.AnyoneLeads) {
				return current, false
			}
			next := p.play.policy.Successor(current, p.identity, p.lost)
			if !next.IsInSync(p.identity) {
				next.InSync = append(next.InSync, p.identity)
			}
			return p.spoil(next), true
		})
	})
}

func (p *process) spoil(next consensus.Record) consensus.Record {
	if p.play.options.Bugs.NoMinCopies {
		next.MinInSync = 0
	}
	return next
}

// adjust does the primary's work on the replicas: one change at a time.
func (p *process) adjust() {
	if p.busy {
		return
	}
	known := p.known
	if known.Primary == p.identity && known.Epoch > p.group.View().Epoch && !p.play.options.Bugs.NotFollowed {
		// a change of this process was decided without its knowing: its replica follows under the next epoch
		p.change(func(record consensus.Record) (consensus.Record, bool) { return record, true })
		return
	}
	var caughtUp []uint64
	hasState := map[uint64]bool{}
	for _, id := range p.caughtUp() {
		hasState[id] = true
		if !slices.Contains(p.group.View().Learners, id) {
			p.group.Admit(id)
			caughtUp = append(caughtUp, id)
		}
	}
	p.carryOut()
	if p.group == nil || !p.group.IsPrimary() {
		return
	}
	silent := p.group.Unresponsive(p.play.Now)
	switch {
	case len(caughtUp) > 0:
		p.change(func(record consensus.Record) (consensus.Record, bool) {
			next := record
			for _, id := range caughtUp {
				if consensus.HasMember(record.Members, id) {
					next.InSync = append(consensus.Without(next.InSync, id), id)
				}
			}
			return next, len(next.InSync) > len(record.InSync)
		})
	case len(silent) > 0:
		p.change(func(record consensus.Record) (consensus.Record, bool) {
			next := record
			for _, id := range silent {
				if p.lost(id) || len(next.InSync) > p.play.policy.InSyncFloor(record) {
					next.InSync = consensus.Without(next.InSync, id)
				}
			}
			return next, true
		})
	default:
		p.adjustMembers(known, hasState)
	}
}

func (p *process) adjustMembers(known consensus.Record, hasState map[uint64]bool) {
	observed := p.observe(hasState)
	planned, wanted := p.play.policy.Next(known, observed)
	if !wanted && len(known.Previous) == 0 {
		return
	}
	if planned.Admit != 0 {
		p.group.Admit(planned.Admit)
		p.carryOut()
	}
	p.change(func(record consensus.Record) (consensus.Record, bool) {
		step, wanted := p.play.policy.Next(record, observed)
		if !wanted {
			return record, len(record.Previous) > 0
		}
		if p.play.options.Bugs.SeatInSync {
			step.Record = seatInSync(record, step.Record)
		}
		return step.Record, step.Admit == planned.Admit
	})
}

// seatInSync is a fault: new members count as in sync.
func seatInSync(before, next consensus.Record) consensus.Record {
	for _, member := range next.Members {
		if !consensus.HasMember(before.Members, member.ID) && !next.IsInSync(member.ID) {
			next.InSync = append(append([]uint64(nil), next.InSync...), member.ID)
		}
	}
	return next
}

func (p *process) caughtUp() []uint64 {
	if !p.play.options.Bugs.AdmitLagging {
		return p.group.CaughtUp(p.play.Now)
	}
	var ids []uint64
	for _, id := range p.group.View().Replicas {
		if !p.group.View().IsInSync(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// observe gathers what the primary knows.
func (p *process) observe(hasState map[uint64]bool) membership.Observation {
	silent := func(limit int64) func(uint64) bool {
		return func(id uint64) bool { return p.play.Now-max(p.ledSince, p.sessions[id].heardAt) > limit }
	}
	o := membership.Observation{
		HasState: hasState, DiskLost: p.lost, Silent: silent(controlSilence), Departed: silent(controlGone),
		Draining: func(id uint64) bool { return p.sessions[id].leaving },
	}
	for _, n := range p.play.nodes {
		if session, heard := p.sessions[n.identity]; heard && p.play.Now-session.heardAt <= controlSilence {
			o.Alive = append(o.Alive, session.member)
		}
	}
	return o
}

// change changes the record while this process leads.
func (p *process) change(change func(consensus.Record) (consensus.Record, bool)) {
	p.propose(prepareBySelf, p.known, func(current consensus.Record) (consensus.Record, bool) {
		if current.Primary != p.identity {
			return current, false
		}
		next, wanted := change(current)
		if !wanted {
			return current, false
		}
		next = p.play.policy.WithMinInSync(next)
		next.Epoch = current.Epoch + 1
		return p.spoil(next), true
	})
}

// lead has the replica act on a record that this process has decided.
func (p *process) lead(record consensus.Record) {
	p.led = true
	p.note(record, true)
	p.group.SetView(membership.View(record), p.play.Now)
	p.carryOut()
}

// leave stops a process as planned; it starts again with its disk.
func (c *controlPlay) leave(n *node) {
	n.leaving = true
	p := c.members[n]
	n.later(0, func() { p.endWhenFree(c.Now+stopLimit, always, func() { c.After(c.Between(100, 1200), n.start) }) })
}

// replace replaces the machine with the oldest disk as planned: a new one comes first, then the old one is stopped for good.
func (c *controlPlay) replace(a *adversary) {
	oldest := c.nodes[0]
	for _, n := range c.nodes {
		if n.removed || !n.up || n.leaving {
			continue
		}
		if oldest.removed || n.born < oldest.born {
			oldest = n
		}
	}
	if oldest.removed || !oldest.up || oldest.leaving || c.running() > c.options.Members {
		return
	}
	fresh := c.newMachine(false)
	fresh.start()
	oldest.later(c.Between(300, 1500), func() {
		oldest.leaving = true
		allowed := func() bool { return c.mayRemove(oldest, a) }
		c.members[oldest].endWhenFree(c.Now+stopLimit, allowed, func() { c.remove(oldest, a) })
	})
}

func always() bool { return true }

// mayRemove tells whether a machine may go for good. One that the group still counts upon is a loss, which waits its turn.
func (c *controlPlay) mayRemove(n *node, a *adversary) bool {
	odd := len(c.newest.Members)%2 == 1 && (len(c.newest.Previous) == 0 || len(c.newest.Previous)%2 == 1)
	if slices.Contains(c.counted(), n.identity) {
		return odd && a.mayStrike()
	}
	return odd || len(a.open) == 0 // where half of the votes are lost, the machine's answer is the proof
}

// remove takes a machine away for good.
func (c *controlPlay) remove(n *node, a *adversary) {
	if slices.Contains(c.counted(), n.identity) {
		a.open[n.identity] = loss{}
	}
	n.removed = true
}

func (c *controlPlay) running() int {
	count := 0
	for _, n := range c.nodes {
		if !n.removed {
			count++
		}
	}
	return count
}

// endWhenFree ends a leaving process once the others can do without it or time is up.
func (p *process) endWhenFree(limit int64, allowed func() bool, ended func()) {
	needed := p.play.Now < limit && p.needed()
	if needed || !allowed() {
		if p.group.IsPrimary() {
			p.handOver()
		}
		p.later(superviseEvery, func() { p.endWhenFree(limit, allowed, ended) })
		return
	}
	p.crash()
	ended()
}

// needed tells whether others can't do without this process yet.
func (p *process) needed() bool {
	if !consensus.HasMember(p.known.Voters(), p.identity) || len(p.known.Members) < 2 {
		return false
	}
	if p.group.IsPrimary() || p.known.Primary == p.identity {
		return true
	}
	return len(p.known.Learners) > 0 || len(p.known.Previous) > 0 || membership.View(p.known).WouldUnderReplicate(p.identity)
}

// handOver asks an in-sync member to take the lead.
func (p *process) handOver() {
	for _, id := range p.known.InSync {
		member, named := p.known.Member(id)
		if id == p.identity || !named || p.sessions[id].leaving {
			continue
		}
		p.ask(member.Address, func(other *process) func() {
			if !other.leaving && other.known.IsInSync(other.identity) {
				other.takeOver(prepareOnTransfer)
			}
			record := other.known
			return func() { p.learn(record) }
		})
		return
	}
}

func (c *controlPlay) order() {
	c.After(c.Between(1, 2*orderEvery), c.order)
	for _, n := range c.nodes {
		if n.up && n.group.IsReady() && c.Chance(2) {
			n.propose()
		}
	}
}

// measure notes how long a repair took.
func (c *controlPlay) measure(p *process) {
	if c.repair.since == 0 || c.newest.Primary != p.identity || !p.group.IsReady() {
		return
	}
	inSync := 0
	for _, member := range c.newest.Members {
		if n := c.find(member.ID); n != nil && n.up && c.newest.IsInSync(member.ID) {
			inSync++
		}
	}
	reserve := inSync - len(c.newest.Members)/2 - 1
	if !c.repair.protected && inSync > c.options.Tolerate && reserve >= c.options.Tolerate {
		c.repair.protected = true
		c.outcome.Protected = append(c.outcome.Protected, c.Now-c.repair.since)
	}
	if inSync == len(c.newest.Members) && inSync >= c.policy.Voters() {
		c.outcome.Full = append(c.outcome.Full, c.Now-c.repair.since)
		c.repair = repairClock{}
	}
}

// whole tells whether the group has its full number of members, all in sync, and serves.
func (c *controlPlay) whole() bool {
	primary := c.find(c.newest.Primary)
	if primary == nil || primary.group == nil || !primary.group.IsReady() || primary.group.View().Epoch != c.newest.Epoch {
		return false
	}
	for _, member := range c.newest.Members {
		if n := c.find(member.ID); n == nil || !n.up || !c.newest.IsInSync(member.ID) {
			return false
		}
	}
	full := min(c.policy.Voters(), c.running())
	return len(c.newest.Members) >= full && primary.group.AppliedIndex()+5 > primary.group.LastIndex()
}
