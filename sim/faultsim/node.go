package faultsim

import (
	"encoding/binary"

	"otterseam/tier/codec"
	"otterseam/tier/replica"
)

// journal is a state machine that keeps the numbers of the commands that it was given, and stands for a state of some size.
type journal struct {
	applied []uint32
	size    int // bytes of state besides
}

// Apply keeps a command.
func (j *journal) Apply(_ uint64, command []byte) any {
	j.applied = append(j.applied, binary.BigEndian.Uint32(command))
	return len(j.applied)
}

// Snapshot is the state as bytes.
func (j *journal) Snapshot() []byte {
	var e codec.Encoder
	e.Uint32(uint32(len(j.applied)))
	for _, command := range j.applied {
		e.Uint32(command)
	}
	e.Bytes = append(e.Bytes, make([]byte, j.size)...)
	return e.Bytes
}

// Restore replaces the state.
func (j *journal) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	j.applied = nil
	for range d.Count(4) {
		j.applied = append(j.applied, d.Uint32())
	}
	return d.Err()
}

// disk is what a loss of power leaves of a replica.
type disk struct {
	base    replica.Snapshot
	entries []replica.Entry
}

func (d *disk) write(w replica.Write) {
	if w.Snapshot != nil {
		d.base = *w.Snapshot
		d.entries = nil
	}
	for _, entry := range w.Entries {
		if entry.Index <= d.base.Index {
			continue
		}
		keep := entry.Index - d.base.Index - 1
		d.entries = append(d.entries[:keep], entry)
	}
}

// node is a machine with one process that holds one replica. Its identity belongs to its disk, its boot to the process.
type node struct {
	play     *play
	name     string
	address  string
	identity uint64
	boot     uint64
	up       bool
	leaving  bool
	removed  bool // for good
	born     int64
	life     int
	wiped    func() // the disk was lost

	group   *replica.Group
	machine *journal
	disk    disk
	queue   []replica.Write
	writing bool
	waiting map[uint64]uint32 // commands taken as primary, by index
}

// Bugs are faults put into machines, to see that a play finds them.
type Bugs struct {
	KeepIdentity bool // a machine that lost its disk keeps its identity
	EarlyDurable bool // a write counts as durable when it is begun
}

// play is what the plays of shards and of control have in common: nodes, a network, clients and what they were promised.
type play struct {
	*World
	nodes              []*node
	lastIdentity       uint64
	lastCommand        uint32
	acknowledged       []uint32
	newestAcknowledged uint32
	stateSize          int
	eager              bool          // primaries tell backups of each commit at once
	quiet              bool          // no more harm is done
	bugs               Bugs          // faults put into the machines
	fault              string        // what was found wrong, empty if nothing
	carried            func(*node)   // after each event of a node
	started            func(n *node) // a process starts
}

const (
	entriesKept = 24
	messageLoss = 50 // one message in so many is lost
	slowDisk    = 20 // one write in so many takes long
	linkBytes   = 75_000
	diskBytes   = 100_000 // per millisecond
	tickEvery   = 40
)

func newPlay(seed int64) *play {
	return &play{World: NewWorld(seed), lastIdentity: 100, carried: func(*node) {}, started: func(*node) {}}
}

func (p *play) fail(fault string) {
	if p.fault == "" {
		p.fault = fault
	}
}

// addNode adds a machine with an empty disk. It is started by start.
func (p *play) addNode(name string) *node {
	n := &node{play: p, name: name, address: name, wiped: func() {}}
	p.nodes = append(p.nodes, n)
	n.newDisk()
	return n
}

// newDisk gives a machine an empty disk, and with it another identity.
func (n *node) newDisk() {
	if !n.play.bugs.KeepIdentity || n.identity == 0 {
		n.play.lastIdentity++
		n.identity = n.play.lastIdentity
	}
	n.disk = disk{}
	n.born = n.play.Now
}

// find returns the running node of an identity.
func (p *play) find(identity uint64) *node {
	for _, n := range p.nodes {
		if n.identity == identity && !n.removed {
			return n
		}
	}
	return nil
}

func (n *node) open() {
	n.machine = &journal{size: n.play.stateSize}
	entries := append([]replica.Entry(nil), n.disk.entries...)
	group, err := replica.NewGroup(n.identity, n.machine, n.disk.base, entries, replica.Options{RetainedEntries: entriesKept, EagerCommit: n.play.eager})
	if err != nil {
		n.play.fail("a disk could not be read: " + err.Error())
		return
	}
	n.group = group
	n.queue = nil
	n.writing = false
	n.waiting = map[uint64]uint32{}
}

// start runs the process of a machine.
func (n *node) start() {
	if n.up || n.removed {
		return
	}
	n.up = true
	n.leaving = false
	n.life++
	n.boot = n.play.Random.Uint64()
	n.open()
	n.every(tickEvery, func() {
		if n.group != nil {
			n.group.Tick(n.play.Now, true)
			n.carryOut()
		}
	})
	n.play.started(n)
}

// crash ends the process at once; of the writes under way some may have reached the disk.
func (n *node) crash() {
	if !n.up {
		return
	}
	for _, write := range n.queue[:n.play.Random.Intn(len(n.queue)+1)] {
		n.disk.write(write)
	}
	n.up = false
	n.life++
	n.group = nil
}

// wipe ends the process and takes the disk away; it starts again on an empty one.
func (n *node) wipe(down int64) {
	n.crash()
	n.newDisk()
	n.wiped()
	n.play.After(down, n.start)
}

// every repeats something for as long as the process runs.
func (n *node) every(period int64, act func()) {
	life := n.life
	var again func()
	again = func() {
		if n.life != life {
			return
		}
		act()
		n.play.After(period, again)
	}
	n.play.After(n.play.Between(0, period), again)
}

// later has something happen if the process still runs then.
func (n *node) later(delay int64, act func()) {
	life := n.life
	n.play.After(delay, func() {
		if n.life == life && n.up {
			act()
		}
	})
}

// carryOut does what the replica asks for.
func (n *node) carryOut() {
	output := n.group.TakeOutput()
	if output.SteppedDown {
		n.waiting = map[uint64]uint32{}
	}
	n.queue = append(n.queue, output.Writes...)
	n.write()
	for _, out := range output.Messages {
		n.play.send(n.identity, out)
	}
	for _, applied := range output.Applied {
		command, waits := n.waiting[applied.Index]
		if !waits {
			continue
		}
		delete(n.waiting, applied.Index)
		if command != binary.BigEndian.Uint32(applied.Command) {
			n.play.fail("a client was answered for another's command")
		}
		n.play.acknowledged = append(n.play.acknowledged, command)
		n.play.newestAcknowledged = max(n.play.newestAcknowledged, command)
	}
	n.group.Trim()
	n.play.carried(n)
}

// write makes all that is queued durable after the time that a disk needs.
func (n *node) write() {
	if n.writing || len(n.queue) == 0 {
		return
	}
	n.writing = true
	count := len(n.queue)
	if n.play.bugs.EarlyDurable {
		n.reportDurable(n.queue)
	}
	bytes := 0
	for _, write := range n.queue {
		if write.Snapshot != nil {
			bytes += len(write.Snapshot.State)
		}
	}
	group := n.group
	n.later(n.play.diskDelay()+int64(bytes/diskBytes), func() {
		if n.group != group {
			return
		}
		done := n.queue[:count]
		n.queue = append([]replica.Write(nil), n.queue[count:]...)
		n.writing = false
		for _, write := range done {
			n.disk.write(write)
		}
		n.reportDurable(done)
		n.carryOut()
	})
}

// diskDelay is how long a disk takes; now and then one is slow.
func (p *play) diskDelay() int64 {
	if p.Chance(slowDisk) {
		return p.Between(30, 200)
	}
	return p.Between(2, 8)
}

// reportDurable tells the replica what has reached the disk.
func (n *node) reportDurable(writes []replica.Write) {
	for _, write := range writes {
		if write.Snapshot != nil {
			n.group.MarkDurable(write.Snapshot.Index, write.Snapshot.Epoch, n.play.Now)
		}
		if last := len(write.Entries) - 1; last >= 0 {
			n.group.MarkDurable(write.Entries[last].Index, write.Entries[last].Epoch, n.play.Now)
		}
	}
}

// send carries a message between replicas.
func (p *play) send(from uint64, out replica.Outgoing) {
	if p.Chance(messageLoss) {
		return
	}
	delay := p.Between(1, 4) + int64(len(out.Message.Chunk)/linkBytes)
	p.After(delay, func() {
		if to := p.find(out.To); to != nil && to.up && to.group != nil {
			to.group.Step(from, out.Message, p.Now)
			to.carryOut()
		}
	})
}

// propose has a client send a command to a primary.
func (n *node) propose() {
	if !n.up || n.group == nil || !n.group.IsReady() {
		return
	}
	n.play.lastCommand++
	command := n.play.lastCommand
	index := n.group.Propose(binary.BigEndian.AppendUint32(nil, command), n.play.Now)
	n.waiting[index] = command
	n.carryOut()
}

// judge looks whether a primary holds everything that was acknowledged, once.
func (p *play) judge(primary *node) {
	held := map[uint32]bool{}
	for _, command := range primary.machine.applied {
		if held[command] {
			p.fail("a command was applied twice")
		}
		held[command] = true
	}
	for _, command := range p.acknowledged {
		if !held[command] {
			p.fail("an acknowledged command is lost")
			return
		}
	}
}
