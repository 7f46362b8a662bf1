package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/replica"
)

// HeartbeatReport lists the hosts from which a backup received heartbeats. The backup sends it to the primary.
type HeartbeatReport struct {
	From   uint64            // identity of the backup
	Echoed replica.Timestamp // the newest probe of the primary that the backup had received; ages are relative to it
	Hosts  []ReportedHost
}

// ReportedHost is a host whose heartbeat a backup acknowledged.
type ReportedHost struct {
	ID    string
	AgeMS uint32 // age of the heartbeat when the report was written, in milliseconds
}

// minReportedHostBytes is the encoded size of a ReportedHost with an empty ID.
const minReportedHostBytes = 4 + 4

// Encode returns the encoded message.
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

// DecodeHeartbeatReport decodes the message.
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

// HeartbeatReportResponse is the primary's response to a HeartbeatReport.
type HeartbeatReportResponse struct {
	Unregistered []string // hosts in the report that are not registered
	// MoveHosts is the number of hosts that the backup has to redirect, so that they send their heartbeats to the control process at
	// MoveTo.
	MoveHosts uint32
	MoveTo    string
}

// Encode returns the encoded message. If MoveHosts is 0, the encoding ends after the list, as in versions without these fields.
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

// DecodeHeartbeatReportResponse decodes the message.
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
