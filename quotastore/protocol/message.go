package protocol

import "otterseam/quotastore/statemachine"

// ClientSender is the Sender in the Hello of a client, which is no replica: a gateway, or an operator's command.
const ClientSender = -1

// Hello says who sends on a stream.
type Hello struct {
	Sender      int    `cbor:"1,keyasint"` // the replica's number in the list, or ClientSender
	Incarnation uint32 `cbor:"2,keyasint"`
	Bulk        bool   `cbor:"3,keyasint,omitempty"`
}

// LeaderAnnouncement says that the sender leads a group, and which replicas it has.
type LeaderAnnouncement struct {
	Group   int      `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Index   uint64   `cbor:"3,keyasint"` // how far the leader has applied its log
	Members []uint64 `cbor:"4,keyasint"` // replica IDs
}

// Request is a command for a group. Its ID names it in the response, and is the sender's own.
type Request struct {
	Group   int                  `cbor:"1,keyasint"` // not read in a client's request: the command's key decides
	ID      uint64               `cbor:"2,keyasint"`
	Command statemachine.Command `cbor:"3,keyasint"`
}

// Response is the outcome of a Request.
type Response struct {
	Group     int                `cbor:"1,keyasint"`
	RequestID uint64             `cbor:"2,keyasint"`
	NotLeader bool               `cbor:"3,keyasint,omitempty"` // rejected: nothing was proposed here
	Leader    int                `cbor:"4,keyasint"`           // number of the replica that leads, as far as known; -1: none
	Reply     statemachine.Reply `cbor:"5,keyasint"`           // of the state machine, unless NotLeader or Unknown
	Unknown   bool               `cbor:"6,keyasint,omitempty"` // to a client: the command may have been applied, or may yet be
}

// The operations of an operator's command. Their texts are part of the wire format.
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
	Cluster     uint64                       `cbor:"6,keyasint,omitempty"` // that it belongs to; 0: none
	Health      []GroupHealth                `cbor:"7,keyasint,omitempty"`
	Snapshots   map[int][]byte               `cbor:"8,keyasint,omitempty"` // by group
	Usage       []statemachine.CustomerUsage `cbor:"9,keyasint,omitempty"`
	Failure     string                       `cbor:"10,keyasint,omitempty"` // "": the command succeeded
}

// Bootstrap begins a cluster: its replicas, each in the incarnation that it has now.
type Bootstrap struct {
	Cluster  uint64      `cbor:"1,keyasint"` // ID of the cluster, never 0
	Members  []ReplicaID `cbor:"2,keyasint"`
	Groups   int         `cbor:"3,keyasint"`
	Replicas int         `cbor:"4,keyasint"` // of each group
	// Snapshots are the states that groups begin with, from an operator's snapshot; nil: all begin empty.
	Snapshots map[int][]byte `cbor:"5,keyasint,omitempty"`
}

// GroupHealth is the state of one group as a replica sees it. The text keys are part of the wire format.
type GroupHealth struct {
	Group        int         `cbor:"Group"`
	IsLeader     bool        `cbor:"Leads"`   // this replica leads the group
	Leader       int         `cbor:"Leader"`  // number of the replica that leads; -1: none is known
	HasReplica   bool        `cbor:"Held"`    // this replica holds the group
	Replicas     []ReplicaID `cbor:"Holders"` // voters, as applied here
	Stable       bool        `cbor:"Settled"` // no change of the voters is under way
	AllInSync    bool        `cbor:"Alive"`   // set at the leader: all replicas answer, and follow closely
	Unavailable  bool        `cbor:"Away"`    // requests for the group are rejected here
	Counters     int         `cbor:"Names"`
	AppliedIndex uint64      `cbor:"Index"`
}

// ReplicaID names a replica in a Raft group: its number in the list and its incarnation. A replica that lost its data has
// another incarnation, and so never votes or acknowledges for the one before.
type ReplicaID uint64

// The low byte of a ReplicaID is the number plus one, so that no ID is 0, which the Raft library takes for no replica.
const (
	numberBits = 8
	numberMask = 1<<numberBits - 1
)

// NewReplicaID returns the ID of a replica by its number, 0 to 254, and its incarnation.
func NewReplicaID(number int, incarnation uint32) ReplicaID {
	return ReplicaID(uint64(incarnation)<<numberBits | uint64(number+1))
}

// Number returns the replica's place in the list.
func (id ReplicaID) Number() int { return int(id&numberMask) - 1 }

// Incarnation returns the incarnation of the replica.
func (id ReplicaID) Incarnation() uint32 { return uint32(id >> numberBits) }
