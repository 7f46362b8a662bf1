package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/consensus"
	"otterseam/tier/replica"
)

// MemberHeartbeat keeps a control process's session with the primary.
type MemberHeartbeat struct {
	Member             consensus.Member
	Leaving            bool              // it is about to end
	RejectedHeartbeats uint64            // heartbeats of hosts that it has refused for want of a lease
	Echoed             replica.Timestamp // the newest question of the primary that it has read
}

// Encode is the message's form on the wire.
func (b MemberHeartbeat) Encode() []byte {
	var e codec.Encoder
	e.Uint64(b.Member.ID)
	e.String(b.Member.Address)
	e.String(b.Member.Node)
	e.Bool(b.Leaving)
	e.Uint64(b.RejectedHeartbeats)
	b.Echoed.Encode(&e)
	return e.Bytes
}

// DecodeMemberHeartbeat reads the message.
func DecodeMemberHeartbeat(data []byte) (MemberHeartbeat, error) {
	d := codec.NewDecoder(data)
	b := MemberHeartbeat{
		Member:  consensus.Member{ID: d.Uint64(), Address: d.String(), Node: d.String()},
		Leaving: d.Bool(), RejectedHeartbeats: d.Uint64(), Echoed: replica.DecodeTimestamp(d),
	}
	return b, d.Err()
}

// ReportedHost is a host whose heartbeat a backup acknowledged, that many milliseconds before the report.
type ReportedHost struct {
	ID    string
	AgeMS uint32
}

// HeartbeatReport tells the primary of hosts that a backup has heard.
type HeartbeatReport struct {
	From   uint64
	Echoed replica.Timestamp // the newest question of the primary that the backup had read
	Hosts  []ReportedHost
}

const smallestHeard = 4 + 4

// Encode is the message's form on the wire.
func (h HeartbeatReport) Encode() []byte {
	var e codec.Encoder
	e.Uint64(h.From)
	h.Echoed.Encode(&e)
	e.Uint32(uint32(len(h.Hosts)))
	for _, host := range h.Hosts {
		e.String(host.ID)
		e.Uint32(host.AgeMS)
	}
	return e.Bytes
}

// DecodeHeartbeatReport reads the message.
func DecodeHeartbeatReport(data []byte) (HeartbeatReport, error) {
	d := codec.NewDecoder(data)
	h := HeartbeatReport{From: d.Uint64(), Echoed: replica.DecodeTimestamp(d)}
	for range d.Count(smallestHeard) {
		h.Hosts = append(h.Hosts, ReportedHost{ID: d.String(), AgeMS: d.Uint32()})
	}
	return h, d.Err()
}

// EncodeUnregisteredHosts is the answer to HostsHeard: the hosts of the report that are not on the list.
func EncodeUnregisteredHosts(ids []string) []byte {
	var e codec.Encoder
	e.Uint32(uint32(len(ids)))
	for _, id := range ids {
		e.String(id)
	}
	return e.Bytes
}

// DecodeUnregisteredHosts reads the answer.
func DecodeUnregisteredHosts(data []byte) ([]string, error) {
	d := codec.NewDecoder(data)
	var ids []string
	for range d.Count(4) {
		ids = append(ids, d.String())
	}
	return ids, d.Err()
}
