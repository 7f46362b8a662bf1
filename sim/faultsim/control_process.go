package faultsim

import (
	"slices"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// Intervals and timeouts of control processes, in milliseconds.
const (
	controlHeartbeatInterval = 200
	superviseInterval        = 50
	suspectTimeout           = 500
	suspectRankStep          = 120 // added to suspectTimeout for each member of higher precedence
	stickyLeaderTimeout      = 350 // since the primary's last heartbeat; until then an acceptor refuses a takeover
	proposeTimeout           = 1200
	controlSessionTimeout    = 2500
	controlDepartedTimeout   = 6000
	bootstrapWait            = 700
	controlDrainTimeout      = 6500
)

const (
	seedCount         = 3  // seed addresses in the settings of a process
	primaryLocateOdds = 20 // a primary locates other processes in one of this many rounds
	locateOdds        = 4  // the same for a process that may not lead
)

// takeOverDelays is the range of delays before a takeover, in which responses from other processes can arrive.
var takeOverDelays = delays{10, 30}

// process is the current incarnation of a control process, with its acceptor's durable state.
type process struct {
	*node
	sim       *controlSimulation
	bootstrap bool // it may bootstrap the group

	acceptor consensus.Acceptor // durable
	round    uint64             // durable

	known               consensus.Record // the newest record that it knows
	knownDecided        bool             // the known record was decided
	learnedAt           int64            // when it learned of the known record's epoch
	identities          *membership.IdentityTracker
	seeds               []string                    // from its settings, which were written when it started
	bootstrapCandidates map[string]consensus.Member // processes that responded as candidates, by address
	sessions            map[uint64]controlSession
	startedAt           int64
	leaderSince         int64 // 0 if it doesn't lead
	hasLed              bool  // in this incarnation
	proposing           bool
}

type controlSession struct {
	member        consensus.Member
	lastHeartbeat int64
	draining      bool
}

// startProcess resets the volatile state of a process and starts its work.
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

// presentSeeds returns the seed addresses that an operator writes into the settings of a process that starts: those of a few existing
// machines.
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

// addresses returns the addresses at which other control processes may run.
func (p *process) addresses() []string {
	all := append([]string(nil), p.seeds...)
	for _, member := range append(p.known.Voters(), p.known.Learners...) {
		if !slices.Contains(all, member.Address) {
			all = append(all, member.Address)
		}
	}
	return all
}

// learn observes a record that was accepted here or received, and that may not be decided.
func (p *process) learn(record consensus.Record) { p.observeRecord(record, false) }

// observeRecord keeps a record if it is the newest one, and records the identities that the newest record lists.
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

// locate sends the newest known record to all other processes, and requests their identities and records.
func (p *process) locate() {
	requestedAt, own := p.sim.now(), p.known
	for _, address := range p.addresses() {
		if address == p.address {
			continue
		}
		p.call(address, func(other *process) func() {
			other.learn(own)
			member, record, canBootstrap := other.self(), other.known, other.bootstrap
			return func() {
				p.learn(record)
				p.identities.ObserveAnswer(member, requestedAt)
				delete(p.bootstrapCandidates, address)
				if canBootstrap {
					p.bootstrapCandidates[address] = member
				}
			}
		})
	}
}

// heartbeat renews this process's session with the primary.
func (p *process) heartbeat() {
	sender, draining := p.self(), p.draining
	if p.group.IsPrimary() {
		p.sessions[sender.ID] = controlSession{member: sender, lastHeartbeat: p.sim.now(), draining: draining}
		return
	}
	for _, address := range p.addresses() {
		p.call(address, func(other *process) func() {
			if !other.group.IsPrimary() {
				return nil
			}
			other.sessions[sender.ID] = controlSession{member: sender, lastHeartbeat: p.sim.now(), draining: draining}
			other.identities.ObserveAnswer(sender, p.sim.now())
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
	member, found := p.known.Member(id)
	if found && member.Address == p.address && member.Node == p.name {
		return true
	}
	return p.identities.DiskLost(id)
}

// supervise does the periodic work of a process according to its role.
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
