package faultsim

import (
	"slices"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// The times of control processes, in milliseconds.
const (
	controlHeartbeatInterval = 200
	superviseInterval        = 50
	suspectTimeout           = 500
	suspectRankStep          = 120 // added to suspectTimeout for each member ranked before
	stickyLeaderTimeout      = 350 // since the primary's last heartbeat; until then an acceptor helps no successor
	proposeTimeout           = 1200
	controlSessionTimeout    = 2500
	controlDepartedTimeout   = 6000
	bootstrapWait            = 700
	controlDrainTimeout      = 6500
)

const (
	seedCount         = 3  // addresses of seeds in a process's settings
	primaryLocateOdds = 20 // a primary looks for others in one of so many rounds
	locateOdds        = 4  // a process that may not lead, likewise
)

// takeOverDelays leave time to hear from others before a takeover.
var takeOverDelays = delays{10, 30}

// process is a control process in its present incarnation, with what its disk keeps of its acceptor.
type process struct {
	*node
	sim       *controlSimulation
	bootstrap bool // it may found the group

	acceptor consensus.Acceptor // durable
	round    uint64             // durable

	known               consensus.Record // the newest record that it knows
	knownDecided        bool
	learnedAt           int64 // when it learned of that record's epoch
	identities          *membership.IdentityTracker
	seeds               []string                    // of its settings, written when it started
	bootstrapCandidates map[string]consensus.Member // who answered as such, by address
	sessions            map[uint64]controlSession
	startedAt           int64
	leaderSince         int64 // 0: it doesn't lead
	hasLed              bool  // in this incarnation
	proposing           bool
}

type controlSession struct {
	member        consensus.Member
	lastHeartbeat int64
	draining      bool
}

func (c *controlSimulation) startProcess(n *node) {
	p := c.processes[n]
	p.known = p.acceptor.Value
	p.knownDecided = false
	p.identities = membership.NewIdentityTracker()
	p.bootstrapCandidates = map[string]consensus.Member{}
	p.seeds = c.presentSeeds()
	p.sessions = map[uint64]controlSession{}
	p.startedAt = c.now()
	p.leaderSince = 0
	p.hasLed = false
	p.proposing = false
	n.every(controlHeartbeatInterval, p.heartbeat)
	n.every(superviseInterval, p.supervise)
}

// presentSeeds are what the operator writes into the settings of a process that starts: a few machines that are there.
func (c *controlSimulation) presentSeeds() []string {
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

// addresses are where other control processes may be.
func (p *process) addresses() []string {
	all := append([]string(nil), p.seeds...)
	for _, member := range append(p.known.Voters(), p.known.Learners...) {
		if !slices.Contains(all, member.Address) {
			all = append(all, member.Address)
		}
	}
	return all
}

// learn takes a record that was accepted here or received. It need not have been decided.
func (p *process) learn(record consensus.Record) { p.observeRecord(record, false) }

// observeRecord keeps the newest record, and whose identities it lists.
func (p *process) observeRecord(record consensus.Record, decided bool) {
	if record.Epoch > p.known.Epoch || (record.Epoch == p.known.Epoch && (decided || !p.knownDecided)) {
		if record.Epoch > p.known.Epoch {
			p.learnedAt = p.sim.now()
		}
		p.known = record
		p.knownDecided = decided
	}
	if decided && record.Epoch >= p.sim.newest.Epoch {
		p.sim.newest = record
		p.sim.onChange()
	}
	for _, member := range append(p.known.Voters(), p.known.Learners...) {
		p.identities.ObserveListed(member, p.sim.now())
	}
}

// locate asks everyone who they are and what they know.
func (p *process) locate() {
	asked, mine := p.sim.now(), p.known
	for _, address := range p.addresses() {
		if address == p.address {
			continue
		}
		p.ask(address, func(other *process) func() {
			other.learn(mine)
			member, record, canBootstrap := other.self(), other.known, other.bootstrap
			return func() {
				p.learn(record)
				p.identities.ObserveAnswer(member, asked)
				delete(p.bootstrapCandidates, address)
				if canBootstrap {
					p.bootstrapCandidates[address] = member
				}
			}
		})
	}
}

// heartbeat keeps the session with whoever leads.
func (p *process) heartbeat() {
	me, draining := p.self(), p.draining
	if p.group.IsPrimary() {
		p.sessions[me.ID] = controlSession{member: me, lastHeartbeat: p.sim.now(), draining: draining}
		return
	}
	for _, address := range p.addresses() {
		p.ask(address, func(other *process) func() {
			if !other.group.IsPrimary() {
				return nil
			}
			other.sessions[me.ID] = controlSession{member: me, lastHeartbeat: p.sim.now(), draining: draining}
			other.identities.ObserveAnswer(me, p.sim.now())
			record := other.known
			return func() { p.learn(record) }
		})
	}
}

// diskLost reports whether a member's disk is provably lost.
func (p *process) diskLost(id uint64) bool {
	if id == p.identity {
		return false
	}
	member, named := p.known.Member(id)
	if named && member.Address == p.address && member.Node == p.name {
		return true
	}
	return p.identities.DiskLost(id)
}

func (p *process) supervise() {
	switch {
	case !p.known.IsBootstrapped():
		p.discoverOrBootstrap()
	case p.group.IsPrimary() && !p.superseded():
		if p.leaderSince == 0 {
			p.leaderSince = p.sim.now()
		}
		if p.sim.oneIn(primaryLocateOdds) {
			p.locate()
		}
		p.reconcile()
		p.sim.measureRecovery(p)
	default:
		p.leaderSince = 0
		p.watchPrimary()
	}
}
