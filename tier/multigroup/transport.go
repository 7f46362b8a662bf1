package multigroup

import (
	"otterseam/tier/codec"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

// KindReplica is the kind of messages between replicas.
const KindReplica rpc.Kind = 10

// transport sends messages to other nodes. Node.mu guards it.
type transport struct {
	clients   *rpc.Clients
	addresses map[uint64]string // by node identity
}

// SetAddress sets the address of the node with an identity.
func (n *Node) SetAddress(identity uint64, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transport.addresses[identity] = address
}

// maxQueuedBytes is how many bytes may wait for the connection to a replica before messages with data are dropped.
const maxQueuedBytes = 4 << 20

// sendMessage sends a message of a replica. It drops the message if the receiver's address is unknown, or if it carries data and too
// much waits for the receiver already. The caller holds n.mu.
func (n *Node) sendMessage(group uint32, out replica.Outgoing) {
	address := n.transport.addresses[out.To]
	if address == "" {
		return
	}
	client := n.transport.clients.To(address)
	if out.Message.DataBytes() > 0 && client.QueuedBytes() > maxQueuedBytes {
		return // the replica reads too slowly; what it lacks is sent again
	}
	client.Send(KindReplica, n.encodeMessage(group, out))
}

// sender holds the fields of a message header that describe the sending node.
type sender struct {
	clusterID uint64
	node      uint64
	starts    uint64
}

// messageOverhead is the usual size of an encoded message without its data.
const messageOverhead = 128

// encodeMessage encodes a message of a replica after a header of group, cluster ID, sender, the sender's start count and receiver.
func (n *Node) encodeMessage(group uint32, out replica.Outgoing) []byte {
	e := codec.Encoder{Bytes: make([]byte, 0, messageOverhead+out.Message.DataBytes())}
	e.Uint32(group)
	e.Uint64(n.ClusterID())
	e.Uint64(n.Identity)
	e.Uint64(n.disk.starts)
	e.Uint64(out.To)
	out.Message.Encode(&e)
	return e.Bytes
}

// HandleMessage passes a message to the replica of its group. It drops messages for another identity, from another cluster, from an
// earlier start of the sender, and for a group that is not open. If the group is not open and unknownGroup is not nil, unknownGroup
// is called first and may open the group.
func (n *Node) HandleMessage(payload []byte, unknownGroup func(group uint32)) {
	d := codec.NewDecoder(payload)
	group := d.Uint32()
	from := sender{clusterID: d.Uint64(), node: d.Uint64(), starts: d.Uint64()}
	to := d.Uint64()
	message := replica.DecodeMessage(d)
	if d.Err() != nil || to != n.Identity || !n.disk.accepts(from) {
		return
	}
	if !n.HasGroup(group) && unknownGroup != nil {
		unknownGroup(group)
	}
	n.WithGroup(group, func(g *replica.Group) {
		if message.DataBytes() > 0 && n.writer.isBehind() {
			return // the disk is too slow; the primary sends the data again
		}
		g.Step(from.node, message, Now())
	})
}
