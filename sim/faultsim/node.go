package faultsim

import (
	"encoding/binary"

	"otterseam/tier/replica"
)

const (
	retainedEntries = 24 // entries that a replica's log retains behind its snapshot
	tickInterval    = 40 // milliseconds between ticks of a replica
)

// restartDelays is the range of downtimes of a process that was stopped or killed alone.
var restartDelays = delays{100, 1200}

// node is a machine with one process that holds one replica. The identity belongs to its disk, the incarnation to its process.
type node struct {
	sim           *simulation
	name          string
	address       string
	identity      uint64
	incarnation   uint64
	up            bool
	draining      bool
	removed       bool // permanently
	diskCreatedAt int64
	generation    int    // changes with each start and crash, so that earlier timers don't fire
	onDiskLost    func() // called once an empty disk has replaced the lost one

	group        *replica.Group // nil while no replica is open
	stateMachine *commandLog
	disk         disk
	unwritten    []replica.Write
	writing      bool
	uncommitted  map[uint64]uint32 // commands proposed as primary and not committed yet, by index
}

// openReplica opens the replica from the state on the disk.
func (n *node) openReplica() {
	n.stateMachine = &commandLog{padding: n.sim.stateBytes}
	entries := append([]replica.Entry(nil), n.disk.entries...)
	group, err := replica.NewGroup(n.identity, n.stateMachine, n.disk.snapshot, entries, replica.Options{RetainedEntries: retainedEntries, EagerCommit: n.sim.eagerCommit})
	if err != nil {
		n.sim.fail("opening a replica from its disk failed: " + err.Error())
		return
	}
	n.group = group
	n.unwritten = nil
	n.writing = false
	n.uncommitted = map[uint64]uint32{}
}

// start starts the process of a machine, unless it runs already or the machine is removed.
func (n *node) start() {
	if n.up || n.removed {
		return
	}
	n.up = true
	n.draining = false
	n.generation++
	n.incarnation = n.sim.random.Uint64()
	n.openReplica()
	n.every(tickInterval, func() {
		if n.group != nil {
			n.group.Tick(n.sim.now(), true)
			n.handleOutput()
		}
	})
	n.sim.onStart(n)
}

// crash ends the process at once. A random number of the pending writes, the oldest first, still reaches the disk.
func (n *node) crash() {
	if !n.up {
		return
	}
	for _, write := range n.unwritten[:n.sim.random.Intn(len(n.unwritten)+1)] {
		n.disk.write(write)
	}
	n.up = false
	n.generation++
	n.group = nil
}

// every calls act at a fixed period for as long as the process runs. The first call comes after a random part of the period.
func (n *node) every(period int64, act func()) {
	generation := n.generation
	var again func()
	again = func() {
		if n.generation != generation {
			return
		}
		act()
		n.sim.after(period, again)
	}
	n.sim.after(n.sim.between(0, period), again)
}

// afterIfRunning calls act after a delay, unless the process has ended by then.
func (n *node) afterIfRunning(delay int64, act func()) {
	generation := n.generation
	n.sim.after(delay, func() {
		if n.generation == generation && n.up {
			act()
		}
	})
}

// handleOutput handles the output of the replica: it starts writes, sends messages and acknowledges applied commands to their
// clients.
func (n *node) handleOutput() {
	output := n.group.TakeOutput()
	if output.SteppedDown {
		n.uncommitted = map[uint64]uint32{}
	}
	n.unwritten = append(n.unwritten, output.Writes...)
	n.startWrite()
	for _, out := range output.Messages {
		n.sim.send(n.identity, out)
	}
	for _, applied := range output.Applied {
		command, pending := n.uncommitted[applied.Index]
		if !pending {
			continue
		}
		delete(n.uncommitted, applied.Index)
		if command != binary.BigEndian.Uint32(applied.Command) {
			n.sim.fail("a client received the acknowledgment of another command")
		}
		n.sim.acknowledged = append(n.sim.acknowledged, command)
		n.sim.newestAcknowledged = max(n.sim.newestAcknowledged, command)
	}
	n.group.Trim()
}

// propose proposes a client's next command, if the replica is a primary that is ready.
func (n *node) propose() {
	if !n.up || n.group == nil || !n.group.IsReady() {
		return
	}
	n.sim.lastCommand++
	command := n.sim.lastCommand
	index := n.group.Propose(binary.BigEndian.AppendUint32(nil, command), n.sim.now())
	n.uncommitted[index] = command
	n.handleOutput()
}
