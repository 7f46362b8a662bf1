package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/consensus"
	"otterseam/tier/replica"
)

// ControlBeat keeps a control process's session with the primary.
type ControlBeat struct {
	Member   consensus.Member
	Leaving  bool              // it is about to end
	Refusals uint64            // heartbeats of hosts that it has refused for want of a lease
	Question replica.Timestamp // the newest question of the primary that it has read
}

// Encode is the message's form on the wire.
func (b ControlBeat) Encode() []byte {
	var e codec.Encoder
	e.Uint64(b.Member.ID)
	e.String(b.Member.Address)
	e.String(b.Member.Node)
	e.Bool(b.Leaving)
	e.Uint64(b.Refusals)
	b.Question.Encode(&e)
	return e.Bytes
}

// DecodeControlBeat reads the message.
func DecodeControlBeat(data []byte) (ControlBeat, error) {
	d := codec.NewDecoder(data)
	b := ControlBeat{
		Member:  consensus.Member{ID: d.Uint64(), Address: d.String(), Node: d.String()},
		Leaving: d.Bool(), Refusals: d.Uint64(), Question: replica.DecodeTimestamp(d),
	}
	return b, d.Err()
}

// HeardHost is a host whose heartbeat a backup acknowledged, that many milliseconds before the report.
type HeardHost struct {
	ID  string
	Age uint32
}

// HostsHeard tells the primary of hosts that a backup has heard.
type HostsHeard struct {
	By       uint64
	Question replica.Timestamp // the newest question of the primary that the backup had read
	Hosts    []HeardHost
}

const smallestHeard = 4 + 4

// Encode is the message's form on the wire.
func (h HostsHeard) Encode() []byte {
	var e codec.Encoder
	e.Uint64(h.By)
	h.Question.Encode(&e)
	e.Uint32(uint32(len(h.Hosts)))
	for _, host := range h.Hosts {
		e.String(host.ID)
		e.Uint32(host.Age)
	}
	return e.Bytes
}

// DecodeHostsHeard reads the message.
func DecodeHostsHeard(data []byte) (HostsHeard, error) {
	d := codec.NewDecoder(data)
	h := HostsHeard{By: d.Uint64(), Question: replica.DecodeTimestamp(d)}
	for range d.Count(smallestHeard) {
		h.Hosts = append(h.Hosts, HeardHost{ID: d.String(), Age: d.Uint32()})
	}
	return h, d.Err()
}

// EncodeMissing is the answer to HostsHeard: the hosts of the report that are not on the list.
func EncodeMissing(ids []string) []byte {
	var e codec.Encoder
	e.Uint32(uint32(len(ids)))
	for _, id := range ids {
		e.String(id)
	}
	return e.Bytes
}

// DecodeMissing reads the answer.
func DecodeMissing(data []byte) ([]string, error) {
	d := codec.NewDecoder(data)
	var ids []string
	for range d.Count(4) {
		ids = append(ids, d.String())
	}
	return ids, d.Err()
}
