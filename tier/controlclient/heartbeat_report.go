package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/replica"
)

// HeartbeatReport tells the primary which hosts a backup has heard from.
type HeartbeatReport struct {
	From   uint64            // the backup
	Echoed replica.Timestamp // the newest probe of the primary that the backup had read; ages count from there
	Hosts  []ReportedHost
}

// ReportedHost is a host whose heartbeat a backup acknowledged.
type ReportedHost struct {
	ID    string
	AgeMS uint32 // of the heartbeat when the report was written, in milliseconds
}

// minReportedHostBytes is the encoded size of a ReportedHost with an empty ID.
const minReportedHostBytes = 4 + 4

// Encode is the message's form on the wire.
func (r HeartbeatReport) Encode() []byte {
	var e codec.Encoder
	e.Uint64(r.From)
	r.Echoed.Encode(&e)
	e.Uint32(uint32(len(r.Hosts)))
	for _, host := range r.Hosts {
		e.String(host.ID)
		e.Uint32(host.AgeMS)
	}
	return e.Bytes
}

// DecodeHeartbeatReport reads the message.
func DecodeHeartbeatReport(data []byte) (HeartbeatReport, error) {
	d := codec.NewDecoder(data)
	r := HeartbeatReport{From: d.Uint64(), Echoed: replica.DecodeTimestamp(d)}
	for range d.Count(minReportedHostBytes) {
		r.Hosts = append(r.Hosts, ReportedHost{ID: d.String(), AgeMS: d.Uint32()})
	}
	return r, d.Err()
}

// minStringBytes is the encoded size of an empty string.
const minStringBytes = 4

// EncodeUnregisteredHosts is the answer to a HeartbeatReport: the hosts of the report that are not on the list.
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
	for range d.Count(minStringBytes) {
		ids = append(ids, d.String())
	}
	return ids, d.Err()
}
