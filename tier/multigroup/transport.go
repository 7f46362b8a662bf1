package multigroup

import (
	"otterseam/tier/codec"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

// KindReplica is a message between replicas.
const KindReplica rpc.Kind = 10

// transport sends messages to other nodes. Node.mu guards it.
type transport struct {
	clients   *rpc.Clients
	addresses map[uint64]string // by identity of the node
}

// SetAddress tells where the node of a replica is reached.
func (n *Node) SetAddress(identity uint64, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transport.addresses[identity] = address
}

// sendMessage sends a replica's message, or drops it if it is not known where to; the lock is held.
func (n *Node) sendMessage(group uint32, out replica.Outgoing) {
	address := n.transport.addresses[out.To]
	if address == "" {
		return
	}
	n.transport.clients.To(address).Send(KindReplica, n.encodeMessage(group, out))
}

// sender is what a message says of the node that sent it.
type sender struct {
	clusterID uint64
	node      uint64
	starts    uint64
}

// encodeMessage puts the header before a replica's message: its group, cluster, sender, the sender's number of starts, and
// receiver.
func (n *Node) encodeMessage(group uint32, out replica.Outgoing) []byte {
	var e codec.Encoder
	e.Uint32(group)
	e.Uint64(n.ClusterID())
	e.Uint64(n.Identity)
	e.Uint64(n.disk.starts)
	e.Uint64(out.To)
	out.Message.Encode(&e)
	return e.Bytes
}

// HandleMessage takes a message between replicas. Those for another identity, of another cluster, of an earlier start of
// the sender, or for a group that is not open, are dropped. unknownGroup is called for a group that is not open and may open it;
// nil does nothing.
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
	n.WithGroup(group, func(g *replica.Group) { g.Step(from.node, message, Now()) })
}
