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
	// detectorMessageRate is the number of messages a second that the failure detector is configured for, and detectorShare the
	// fraction of them that it uses while nothing fails.
	detectorMessageRate = 60
	detectorShare       = 0.5
	neverAlive          = -1e9 // seconds; earlier than any time passed to Node
)

// Config is the configuration, which must be the same on all servers of a cluster.
type Config struct {
	Groups        int     // number of groups over which keys are distributed
	Replicas      int     // number of replicas of each group: 3 or 5
	MaxLogEntries int     // number of log entries after which a snapshot is made
	SnapshotRate  float64 // rate at which snapshots are sent to one server, in bytes a second
	ReplaceAfter  float64 // seconds of silence after which a server's replicas are created on other servers
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

// peerStatus is what this server knows about a server in the list.
type peerStatus struct {
	incarnation uint32  // 0: unknown
	aliveAt     float64 // time at which it was last known to be alive
}

// Node is one server of the quota store.
type Node struct {
	self        int // number of this server, which is its position in the list
	id          protocol.ReplicaID
	cluster     uint64 // ID of its cluster; 0: none yet
	peers       []Peer
	status      []peerStatus // by number
	config      Config
	random      rng.Stream
	processSeed uint64 // seed of this process; an incarnation whose disk survives has a new one in each process

	now          float64
	raftTickAt   float64 // time of the last tick of the replicas
	nextHello    float64
	nextAnnounce float64

	replicas  []*replica     // by group; nil: no replica on this server
	clients   []*groupClient // by group
	detector  *membership.Detector
	submitted uint64 // sequence number of the last request

	recovering     map[string]bool // unreported usage that is being recovered, by holder and key
	lastSnapshotAt float64         // time of the last snapshot of any group
	dropped        []Write         // for replicas that were removed
	outbox         []Message
	logLines       []string
	rejecting      bool // whether some group has no leader and its requests are rejected
	err            error

	// RecoveredUsages counts the recoveries of unreported usage of expired holders. MembershipChanges counts the proposed changes of
	// the membership of groups.
	RecoveredUsages, MembershipChanges int
}

// New returns a server. self is its position in the list, cluster is the ID of its cluster (0: none yet), seed must differ from the
// seeds of its earlier processes, and saved is its persistent state by group. The error is ErrInvalidConfig, an UnknownGroupError or
// a GroupError.
func New(self int, incarnation uint32, cluster uint64, peers []Peer, config Config, seed uint64, saved map[int]*PersistentState) (*Node, error) {
	if !config.valid() || self < 0 || self >= len(peers) || len(peers) > maxServers || incarnation == 0 {
		return nil, ErrInvalidConfig
	}
	n := &Node{
		self: self, id: protocol.NewReplicaID(self, incarnation), cluster: cluster, config: config, replicas: make([]*replica, config.Groups),
		random: rng.New("keeper %d %d ", self, seed), recovering: map[string]bool{}, processSeed: seed, submitted: seed << 32 >> 1,
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

// setPeers sets the list of servers. A server is identified by its position in the list.
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

// SetPeers sets a new list, to which servers may be added at the end, or in which servers may be marked as draining. The error is
// ErrServerRemoved or a ServerRenamedError.
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

// TakeLogLines returns the lines for the log since the last call.
func (n *Node) TakeLogLines() []string {
	lines := n.logLines
	n.logLines = nil
	return lines
}

// Err returns the error that stopped this server; nil: none.
func (n *Node) Err() error { return n.err }

// fail stops this server with an error that Err returns to the caller.
func (n *Node) fail(err error) {
	if n.err == nil {
		n.err = err
	}
}

// Cluster returns the ID of the cluster that the server belongs to; 0: none yet.
func (n *Node) Cluster() uint64 { return n.cluster }

// Incarnation returns the incarnation of this server. A server that has lost its data gets a new one.
func (n *Node) Incarnation() uint32 { return n.id.Incarnation() }

// Groups returns the number of groups.
func (n *Node) Groups() int { return n.config.Groups }

// GroupOf returns the group of a key.
func (n *Node) GroupOf(key string) int { return GroupOf(key, n.config.Groups) }

// localReplicas iterates over the replicas on this server, in the order of their groups.
func (n *Node) localReplicas(yield func(r *replica) bool) {
	for _, r := range n.replicas {
		if r != nil && !yield(r) {
			return
		}
	}
}

// hasReplicas reports whether any group has a replica on this server.
func (n *Node) hasReplicas() bool {
	for range n.localReplicas {
		return true
	}
	return false
}

// isFormer reports whether a replica belongs to a former incarnation of its server.
func (n *Node) isFormer(id protocol.ReplicaID) bool {
	number := id.Number()
	if number >= len(n.status) {
		return false
	}
	incarnation := n.status[number].incarnation
	return incarnation != 0 && incarnation != id.Incarnation()
}

// isLost reports whether a server is not in the list, or has been silent for so long that its replicas should be on other servers.
func (n *Node) isLost(now float64, number int) bool {
	return number >= len(n.peers) || now-n.status[number].aliveAt > n.config.ReplaceAfter
}

// canHost reports whether a server can have replicas.
func (n *Node) canHost(now float64, number int) bool {
	return !n.peers[number].Draining && n.status[number].incarnation != 0 && !n.isLost(now, number)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
