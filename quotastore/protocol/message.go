package protocol

import "otterseam/quotastore/statemachine"

// ClientSender is the Sender in the Hello of a client, which is a gateway or an operator's command and not a replica.
const ClientSender = -1

// Hello identifies the sender of a stream.
type Hello struct {
	Sender      int    `cbor:"1,keyasint"` // the replica's number in the server list, or ClientSender
	Incarnation uint32 `cbor:"2,keyasint"`
	Bulk        bool   `cbor:"3,keyasint,omitempty"`
}

// LeaderAnnouncement announces that the sender leads a group, and lists the group's replicas.
type LeaderAnnouncement struct {
	Group   int      `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Index   uint64   `cbor:"3,keyasint"` // of the last log entry that the leader has applied
	Members []uint64 `cbor:"4,keyasint"` // replica IDs
}

// Request is a command for a group. The sender chooses the ID, and the response carries it.
type Request struct {
	Group   int                  `cbor:"1,keyasint"` // ignored in a client's request: the command's key determines the group
	ID      uint64               `cbor:"2,keyasint"`
	Command statemachine.Command `cbor:"3,keyasint"`
}

// Response is the outcome of a Request.
type Response struct {
	Group     int                `cbor:"1,keyasint"`
	RequestID uint64             `cbor:"2,keyasint"`
	NotLeader bool               `cbor:"3,keyasint,omitempty"` // rejected: the sender does not lead the group and proposed nothing
	Leader    int                `cbor:"4,keyasint"`           // number of the leader as far as known; -1: none
	Reply     statemachine.Reply `cbor:"5,keyasint"`           // of the state machine; unset with NotLeader or Unknown
	Unknown   bool               `cbor:"6,keyasint,omitempty"` // to a client: the command may have been applied, or may still be
}

// The operations of an operator's command. Their values are part of the wire format.
const (
	OperationStatus       = "who"   // identity and health of the replica
	OperationBootstrap    = "found" // become a member of a new cluster
	OperationSnapshot     = "save"  // the states of the groups that the replica leads
	OperationCollectUsage = "take"  // a batch of metered usage
)

// Admin is an operator's command to one replica, or the answer to it.
type Admin struct {
	Operation   string                       `cbor:"1,keyasint"`           // one of the Operation constants
	Bootstrap   *Bootstrap                   `cbor:"2,keyasint,omitempty"` // of OperationBootstrap
	Batch       uint64                       `cbor:"3,keyasint,omitempty"` // of OperationCollectUsage
	Replica     int                          `cbor:"4,keyasint"`           // number of the replica that answers
	Incarnation uint32                       `cbor:"5,keyasint,omitempty"` // of the replica that answers
	Cluster     uint64                       `cbor:"6,keyasint,omitempty"` // ID of the cluster of the replica that answers; 0: none
	Health      []GroupHealth                `cbor:"7,keyasint,omitempty"`
	Snapshots   map[int][]byte               `cbor:"8,keyasint,omitempty"` // by group
	Usage       []statemachine.CustomerUsage `cbor:"9,keyasint,omitempty"`
	Failure     string                       `cbor:"10,keyasint,omitempty"` // error text; "": the command succeeded
}

// Bootstrap is a request to form a cluster.
type Bootstrap struct {
	Cluster  uint64      `cbor:"1,keyasint"` // ID of the new cluster, never 0
	Members  []ReplicaID `cbor:"2,keyasint"` // each in its present incarnation
	Groups   int         `cbor:"3,keyasint"`
	Replicas int         `cbor:"4,keyasint"` // number of replicas of each group
	// Snapshots are the initial states by group, from an operator's snapshot; nil: all groups start empty.
	Snapshots map[int][]byte `cbor:"5,keyasint,omitempty"`
}

// GroupHealth is the state of one group as known to one replica. The text keys are part of the wire format.
type GroupHealth struct {
	Group        int         `cbor:"Group"`
	IsLeader     bool        `cbor:"Leads"`   // this replica leads the group
	Leader       int         `cbor:"Leader"`  // number of the leader; -1: none is known
	HasReplica   bool        `cbor:"Held"`    // this server has a replica of the group
	Replicas     []ReplicaID `cbor:"Holders"` // voters, according to the log entries applied here
	Stable       bool        `cbor:"Settled"` // no change of the voters is in progress
	AllInSync    bool        `cbor:"Alive"`   // set by the leader only: all replicas are alive and nearly caught up
	Unavailable  bool        `cbor:"Away"`    // this server rejects requests for the group
	Counters     int         `cbor:"Names"`
	AppliedIndex uint64      `cbor:"Index"`
}

// ReplicaID identifies a replica in a Raft group by its number in the server list and its incarnation. A replica that lost its
// data gets a new incarnation, and so never votes or acknowledges in the name of the previous one.
type ReplicaID uint64

// The low byte of a ReplicaID is the number plus one, so that no ID is 0. To the Raft library 0 means no replica.
const (
	numberBits = 8
	numberMask = 1<<numberBits - 1
)

// NewReplicaID returns the ID of the replica with a number from 0 to 254 and an incarnation.
func NewReplicaID(number int, incarnation uint32) ReplicaID {
	return ReplicaID(uint64(incarnation)<<numberBits | uint64(number+1))
}

// Number returns the replica's position in the server list.
func (id ReplicaID) Number() int { return int(id&numberMask) - 1 }

// Incarnation returns the incarnation of the replica.
func (id ReplicaID) Incarnation() uint32 { return uint32(id >> numberBits) }
