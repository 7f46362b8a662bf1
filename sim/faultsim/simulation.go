package faultsim

const (
	firstIdentity       = 100    // the first disk has the next higher identity
	meanCommandInterval = 9      // milliseconds between a client's commands
	recoveryTimeout     = 60_000 // milliseconds within which a group must recover after the last fault
	maxApplyLag         = 5      // the primary of a recovered group has fewer entries than this left to apply
)

// simulation holds what the simulations of shards and of control have in common: machines, a network, clients and the commands
// acknowledged to them.
type simulation struct {
	*kernel
	nodes              []*node
	lastIdentity       uint64
	lastCommand        uint32
	acknowledged       []uint32
	newestAcknowledged uint32
	stateBytes         int           // size of each replica's state, without the commands
	eagerCommit        bool          // primaries notify backups of each commit at once
	quiesced           bool          // no more faults are injected
	bugs               Bugs          // defects injected into the machines
	violation          string        // the first one found, empty if none
	onStart            func(n *node) // starts the work of a process that was started
}

func newSimulation(seed int64) *simulation {
	return &simulation{kernel: newKernel(seed), lastIdentity: firstIdentity}
}

// addNode adds a machine with an empty disk. Its process is not started.
func (s *simulation) addNode(name string) *node {
	n := &node{sim: s, name: name, address: name, onDiskLost: func() {}}
	s.nodes = append(s.nodes, n)
	n.replaceDisk()
	return n
}

// find returns the node of an identity, whether its process runs or not, or nil if there is none or the machine was removed.
func (s *simulation) find(identity uint64) *node {
	for _, n := range s.nodes {
		if n.identity == identity && !n.removed {
			return n
		}
	}
	return nil
}
