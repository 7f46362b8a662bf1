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

// HeartbeatReportResponse is the primary's answer to a HeartbeatReport.
type HeartbeatReportResponse struct {
	Unregistered []string // hosts of the report that are not on the list
	// MoveHosts is how many hosts the backup is to ask to send their heartbeats to the control process at MoveTo.
	MoveHosts uint32
	MoveTo    string
}

// Encode is the message's form on the wire. Without hosts to move it ends behind the list, as in versions that moved none.
func (r HeartbeatReportResponse) Encode() []byte {
	var e codec.Encoder
	e.Uint32(uint32(len(r.Unregistered)))
	for _, id := range r.Unregistered {
		e.String(id)
	}
	if r.MoveHosts > 0 {
		e.Uint32(r.MoveHosts)
		e.String(r.MoveTo)
	}
	return e.Bytes
}

// DecodeHeartbeatReportResponse reads the message.
func DecodeHeartbeatReportResponse(data []byte) (HeartbeatReportResponse, error) {
	d := codec.NewDecoder(data)
	var r HeartbeatReportResponse
	for range d.Count(minStringBytes) {
		r.Unregistered = append(r.Unregistered, d.String())
	}
	if d.Err() == nil && len(d.Rest()) > 0 {
		r.MoveHosts = d.Uint32()
		r.MoveTo = d.String()
	}
	return r, d.Err()
}
