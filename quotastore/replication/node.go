package replication

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"otterseam/gateway/membership"
	"otterseam/internal/rng"
	"otterseam/quotastore/protocol"
)

const (
	// detectorMessageRate is how many messages a second the failure detector reckons with; detectorShare of them are its own.
	detectorMessageRate = 60
	detectorShare       = 0.5
	neverAlive          = -1e9 // seconds; before any time to which Node is told
)

// Config is what all servers of a cluster have to agree on.
type Config struct {
	Groups        int     // into which keys are spread
	Replicas      int     // of each group: 3 or 5
	MaxLogEntries int     // of a log, after which a snapshot takes their place
	SnapshotRate  float64 // bytes a second at which snapshots are sent to one server
	ReplaceAfter  float64 // seconds after which the replicas of a silent server are made anew on others
}

// Bounds of a configuration.
const (
	maxGroups     = 1024
	maxReplicas   = 7
	minLogEntries = 16
	maxServers    = 200
)

func (c *Config) valid() bool {
	groups := c.Groups >= 1 && c.Groups <= maxGroups
	replicas := c.Replicas >= 1 && c.Replicas <= maxReplicas
	return groups && replicas && c.MaxLogEntries >= minLogEntries && c.SnapshotRate > 0
}

// peerStatus is what a server knows of one in the list.
type peerStatus struct {
	incarnation uint32  // 0: never heard of
	aliveAt     float64 // when it was last known to be alive
}

// Node is one server.
type Node struct {
	self    int // its number, which is its place in the list
	id      protocol.ReplicaID
	cluster uint64 // 0: it belongs to none yet
	peers   []Peer
	status  []peerStatus // by number
	config  Config
	random  rng.Stream
	run     uint64 // another one in each process: an incarnation that has a disk may have several

	now          float64
	raftTickAt   float64 // when replicas last ticked
	nextHello    float64
	nextAnnounce float64

	replicas  []*replica     // by group; nil: none here
	clients   []*groupClient // by group
	detector  *membership.Detector
	submitted uint64 // sequence number of the last request

	recovering     map[string]bool // unreported usage that is being recovered, by holder and key
	lastSnapshotAt float64         // when a snapshot of any group was last made
	dropped        []Write         // of replicas that were removed
	outbox         []Message
	logLines       []string
	rejecting      bool // requests of some group
	err            error

	// RecoveredUsages counts unreported usage of expired holders that was recovered, MembershipChanges changes of who has a
	// replica.
	RecoveredUsages, MembershipChanges int
}

// New makes a server: its place in the list, its incarnation, the cluster it belongs to (0: none yet), a seed that no process of
// it had before, and what it had written by group. The error wraps ErrInvalidConfig, or is an UnknownGroupError or a GroupError.
func New(self int, incarnation uint32, cluster uint64, peers []Peer, config Config, seed uint64, saved map[int]*PersistentState) (*Node, error) {
	if !config.valid() || self < 0 || self >= len(peers) || len(peers) > maxServers || incarnation == 0 {
		return nil, ErrInvalidConfig
	}
	n := &Node{
		self: self, id: protocol.NewReplicaID(self, incarnation), cluster: cluster, config: config, replicas: make([]*replica, config.Groups),
		random: rng.New("keeper %d %d ", self, seed), recovering: map[string]bool{}, run: seed, submitted: seed << 32 >> 1,
	}
	n.setPeers(peers, seed)
	n.status[self].incarnation = incarnation
	for group := range config.Groups {
		n.clients = append(n.clients, &groupClient{node: n, group: group, leader: noLeader})
	}
	for _, group := range sortedKeys(saved) {
		if group < 0 || group >= config.Groups {
			return nil, &UnknownGroupError{Group: group, Groups: config.Groups}
		}
		r, err := newReplica(n, group, saved[group])
		if err != nil {
			return nil, &GroupError{Group: group, Err: err}
		}
		n.replicas[group] = r
	}
	return n, nil
}

// setPeers takes the list; servers are known by their place in it.
func (n *Node) setPeers(peers []Peer, seed uint64) {
	n.peers = peers
	for len(n.status) < len(peers) {
		n.status = append(n.status, peerStatus{aliveAt: neverAlive})
	}
	if len(peers) > 1 {
		n.detector = membership.New(membership.Config{
			Self: n.self, Members: len(peers), MessageRate: detectorMessageRate, Part: detectorShare, Seed: seed,
		})
	}
}

// SetPeers takes up a list to which servers were added, or in which some are to leave. The error is ErrServerRemoved or a
// ServerRenamedError.
func (n *Node) SetPeers(now float64, peers []Peer, seed uint64) error {
	if len(peers) < len(n.peers) {
		return ErrServerRemoved
	}
	for i, p := range n.peers {
		if p.Name != peers[i].Name {
			return &ServerRenamedError{Number: i, Old: p.Name, New: peers[i].Name}
		}
	}
	n.now = now
	n.setPeers(peers, seed)
	return nil
}

func (n *Node) logf(format string, args ...any) {
	n.logLines = append(n.logLines, fmt.Sprintf(format, args...))
}

// TakeLogLines returns what is to be logged since the last call.
func (n *Node) TakeLogLines() []string {
	lines := n.logLines
	n.logLines = nil
	return lines
}

// Err says why this server can't go on; nil: it can.
func (n *Node) Err() error { return n.err }

// fail ends this server, whose caller has to look at Err.
func (n *Node) fail(err error) {
	if n.err == nil {
		n.err = err
	}
}

// Cluster is the cluster that it belongs to; 0: none yet.
func (n *Node) Cluster() uint64 { return n.cluster }

// Incarnation is which of its incarnations this is. A server that has lost what it held has another one.
func (n *Node) Incarnation() uint32 { return n.id.Incarnation() }

// Groups is how many groups there are.
func (n *Node) Groups() int { return n.config.Groups }

// GroupOf is the group that holds a key.
func (n *Node) GroupOf(key string) int { return GroupOf(key, n.config.Groups) }

// localReplicas iterates over the replicas here, in the order of their groups.
func (n *Node) localReplicas(yield func(r *replica) bool) {
	for _, r := range n.replicas {
		if r != nil && !yield(r) {
			return
		}
	}
}

// hasReplicas reports whether any group has a replica here.
func (n *Node) hasReplicas() bool {
	for range n.localReplicas {
		return true
	}
	return false
}

// isFormer reports whether a replica is of a former incarnation of its server.
func (n *Node) isFormer(id protocol.ReplicaID) bool {
	number := id.Number()
	if number >= len(n.status) {
		return false
	}
	incarnation := n.status[number].incarnation
	return incarnation != 0 && incarnation != id.Incarnation()
}

// isLost reports whether a server has been silent for so long that others should have its replicas.
func (n *Node) isLost(now float64, number int) bool {
	return number >= len(n.peers) || now-n.status[number].aliveAt > n.config.ReplaceAfter
}

// canHost reports whether a server can have replicas.
func (n *Node) canHost(now float64, number int) bool {
	return !n.peers[number].Draining && n.status[number].incarnation != 0 && !n.isLost(now, number)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
