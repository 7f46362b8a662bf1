package faultsim

const (
	firstIdentity       = 100    // identities of disks are numbered from the next one on
	meanCommandInterval = 9      // milliseconds between a client's commands
	recoveryTimeout     = 60_000 // milliseconds until a group must be complete once no more faults come
	maxApplyLag         = 5      // entries that a primary of a recovered group may have yet to apply
)

// simulation is what the simulations of shards and of control have in common: machines, a network, clients and what was
// acknowledged to them.
type simulation struct {
	*kernel
	nodes              []*node
	lastIdentity       uint64
	lastCommand        uint32
	acknowledged       []uint32
	newestAcknowledged uint32
	stateBytes         int           // of each replica's state, besides the commands
	eagerCommit        bool          // primaries tell backups of each commit at once
	quiesced           bool          // no more faults are injected
	bugs               Bugs          // put into the machines
	violation          string        // the first that was found, empty if none
	onStart            func(n *node) // runs the process of a machine that starts
}

func newSimulation(seed int64) *simulation {
	return &simulation{kernel: newKernel(seed), lastIdentity: firstIdentity}
}

// addNode adds a machine with an empty disk. It is started by start.
func (s *simulation) addNode(name string) *node {
	n := &node{sim: s, name: name, address: name, onDiskLost: func() {}}
	s.nodes = append(s.nodes, n)
	n.replaceDisk()
	return n
}

// find returns the running node of an identity.
func (s *simulation) find(identity uint64) *node {
	for _, n := range s.nodes {
		if n.identity == identity && !n.removed {
			return n
		}
	}
	return nil
}
