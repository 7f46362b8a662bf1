package faultsim

import (
	"fmt"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// ControlOptions configures a simulation of control. Times are milliseconds of virtual time.
type ControlOptions struct {
	Members          int
	ToleratedLosses  int
	MaxFaultInterval int64
	Duration         int64 // time for which faults are injected
	LateSeed         bool  // one seed starts seconds after the others
	StateBytes       int   // size of each replica's state, without the commands
	Bugs             ControlBugs
}

// controlSimulation simulates the control group.
type controlSimulation struct {
	*simulation
	options         ControlOptions
	policy          membership.Policy
	processes       map[*node]*process
	seeds           []string
	outcome         Outcome
	recovery        recoveryClock
	onChange        func() // called after each change of the record
	machinesCreated int
	newest          consensus.Record // the newest decided record
}

const (
	lateSeed           = 2 // index of the seed that starts late
	controlCommandOdds = 2 // a primary is given a command in one of this many rounds
)

var (
	startDelays    = delays{0, 300}
	lateSeedDelays = delays{2000, 9000}
)

// SimulateControl simulates the control group under faults, checks it and returns the outcome.
func SimulateControl(seed int64, options ControlOptions) Outcome {
	c := newControlSimulation(seed, options)
	c.startMembers()
	c.submitCommands()
	if !c.runUntilHolds(func() bool { return c.newestAcknowledged > 0 }) {
		c.fail("the group was not bootstrapped")
		return c.end()
	}
	a := c.newAdversary()
	c.onChange = a.onGroupChange
	a.injectFault()
	c.runUntil(c.now() + options.Duration)
	c.quiesced = true
	c.outcome.DisksLost = a.disksLost
	if !c.runUntilHolds(c.hasRecovered) {
		c.fail(fmt.Sprintf("not recovered: %+v", c.newest))
		return c.end()
	}
	c.checkAcknowledged(c.find(c.newest.Primary))
	return c.end()
}

func newControlSimulation(seed int64, options ControlOptions) *controlSimulation {
	c := &controlSimulation{
		simulation: newSimulation(seed),
		options:    options,
		policy:     membership.Policy{Tolerate: options.ToleratedLosses},
		processes:  map[*node]*process{},
		onChange:   func() {},
	}
	c.stateBytes = options.StateBytes
	c.bugs = options.Bugs.Bugs
	c.eagerCommit = true
	c.onStart = c.startProcess
	return c
}

// startMembers adds the machines of the first members and schedules their start.
func (c *controlSimulation) startMembers() {
	for i := range c.options.Members {
		n := c.newMachine(true)
		if i < seedCount {
			c.seeds = append(c.seeds, n.address)
		}
		delay := c.draw(startDelays)
		if c.options.LateSeed && i == lateSeed {
			delay = c.draw(lateSeedDelays)
		}
		c.after(delay, n.start)
	}
}

func (c *controlSimulation) newAdversary() *adversary {
	a := &adversary{
		sim:              c.simulation,
		toleratedLosses:  c.options.ToleratedLosses,
		maxInterval:      c.options.MaxFaultInterval,
		inSync:           c.protectingIDs,
		primary:          func() uint64 { return c.newest.Primary },
		survivableLosses: c.survivableLosses,
		onDiskLost:       func() { c.recovery = recoveryClock{since: c.now()} },
		drain:            c.drain,
		openLosses:       map[uint64]loss{},
	}
	a.replaceMachine = func() { c.replaceOldest(a) }
	return a
}

// end completes and returns the outcome.
func (c *controlSimulation) end() Outcome {
	c.outcome.Violation = c.violation
	c.outcome.Acknowledged = len(c.acknowledged)
	return c.outcome
}

// newMachine adds a machine. Its first process may bootstrap the group if bootstrap is set.
func (c *controlSimulation) newMachine(bootstrap bool) *node {
	c.machinesCreated++
	n := c.addNode(fmt.Sprintf("core-%d", c.machinesCreated))
	c.processes[n] = &process{node: n, sim: c, bootstrap: bootstrap}
	n.onDiskLost = func() {
		if old := c.processes[n]; !c.bugs.KeepIdentity {
			c.processes[n] = &process{node: n, sim: c}
		} else {
			old.acceptor = consensus.Acceptor{}
		}
	}
	return n
}

// submitCommands proposes clients' commands to the primaries at random intervals.
func (c *controlSimulation) submitCommands() {
	c.after(c.between(1, 2*meanCommandInterval), c.submitCommands)
	for _, n := range c.nodes {
		if n.up && n.group.IsReady() && c.oneIn(controlCommandOdds) {
			n.propose()
		}
	}
}

// measureRecovery records how long the recovery from a lost disk took.
func (c *controlSimulation) measureRecovery(p *process) {
	if c.recovery.since == 0 || c.newest.Primary != p.identity || !p.group.IsReady() {
		return
	}
	inSync := c.runningInSync()
	spareVotes := inSync - len(c.newest.Members)/2 - 1
	if !c.recovery.protected && inSync > c.options.ToleratedLosses && spareVotes >= c.options.ToleratedLosses {
		c.outcome.noteProtected(&c.recovery, c.now())
	}
	if inSync == len(c.newest.Members) && inSync >= c.policy.Voters() {
		c.outcome.noteFull(&c.recovery, c.now())
	}
}

// runningInSync returns the number of members that run and are in sync.
func (c *controlSimulation) runningInSync() int {
	count := 0
	for _, member := range c.newest.Members {
		if n := c.find(member.ID); n != nil && n.up && c.newest.IsInSync(member.ID) {
			count++
		}
	}
	return count
}

// hasRecovered reports whether the group has its full number of members, all running and in sync, and its primary is ready and has
// applied almost all of its log.
func (c *controlSimulation) hasRecovered() bool {
	primary := c.find(c.newest.Primary)
	if primary == nil || primary.group == nil || !primary.group.IsReady() || primary.group.View().Epoch != c.newest.Epoch {
		return false
	}
	if c.runningInSync() < len(c.newest.Members) {
		return false
	}
	full := min(c.policy.Voters(), c.machineCount())
	return len(c.newest.Members) >= full && primary.group.AppliedIndex()+maxApplyLag > primary.group.LastIndex()
}
