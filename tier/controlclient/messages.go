// Package controlclient is how other processes of the tier speak with control: the messages, and a client that finds the
// primary.
package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/directory"
	"otterseam/tier/rpc"
)

// The kinds of calls that control processes take.
const (
	KindLocate           rpc.Kind = 20 // who is there and who leads
	KindPrepare          rpc.Kind = 21 // to a witness
	KindAccept           rpc.Kind = 22 // to a witness
	KindSubmit           rpc.Kind = 23 // a command for the primary
	KindStoreHeartbeat   rpc.Kind = 24 // a store's session
	KindInSyncChange     rpc.Kind = 25 // of a shard's primary
	KindMemberHeartbeat  rpc.Kind = 26 // a control process's session
	KindRetirementState  rpc.Kind = 27
	KindHostHeartbeat    rpc.Kind = 28
	KindDeregisterHost   rpc.Kind = 29
	KindHeartbeatReport  rpc.Kind = 31 // hosts whose sessions another control process keeps
	KindPreVote          rpc.Kind = 32 // to a voter: would it help to replace the primary
	KindHostObservations rpc.Kind = 33 // what a gateway saw of hosts; also from a proxy to its agent
)

// StoreHeartbeat keeps a store's session.
type StoreHeartbeat struct {
	Store   directory.Store
	Leaving bool
}

// Encode is the message's form on the wire.
func (b StoreHeartbeat) Encode() []byte {
	var e codec.Encoder
	e.Blob(b.Store.Encode())
	e.Bool(b.Leaving)
	return e.Bytes
}

// DecodeStoreHeartbeat reads the message.
func DecodeStoreHeartbeat(data []byte) (StoreHeartbeat, error) {
	d := codec.NewDecoder(data)
	store, err := directory.DecodeStore(d.Blob())
	b := StoreHeartbeat{Store: store, Leaving: d.Bool()}
	if err == nil {
		err = d.Err()
	}
	return b, err
}

// InSyncChange asks to take a replica into a shard's in-sync set or out of it.
type InSyncChange struct {
	Shard   uint32
	Epoch   uint64
	Replica uint64
	Admit   bool
}

// Encode is the message's form on the wire.
func (c InSyncChange) Encode() []byte {
	var e codec.Encoder
	e.Uint32(c.Shard)
	e.Uint64(c.Epoch)
	e.Uint64(c.Replica)
	e.Bool(c.Admit)
	return e.Bytes
}

// DecodeInSyncChange reads the message.
func DecodeInSyncChange(data []byte) (InSyncChange, error) {
	d := codec.NewDecoder(data)
	c := InSyncChange{Shard: d.Uint32(), Epoch: d.Uint64(), Replica: d.Uint64(), Admit: d.Bool()}
	return c, d.Err()
}

// HostHeartbeat is a host's heartbeat as one control process hands it to the primary.
type HostHeartbeat struct {
	Host directory.Host
	Seq  uint64
}

// Encode is the message's form on the wire.
func (b HostHeartbeat) Encode() []byte {
	var e codec.Encoder
	e.Blob(b.Host.Encode())
	e.Uint64(b.Seq)
	return e.Bytes
}

// DecodeHostHeartbeat reads the message.
func DecodeHostHeartbeat(data []byte) (HostHeartbeat, error) {
	d := codec.NewDecoder(data)
	host, err := directory.DecodeHost(d.Blob())
	b := HostHeartbeat{Host: host, Seq: d.Uint64()}
	if err == nil {
		err = d.Err()
	}
	return b, err
}
