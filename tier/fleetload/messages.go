package fleetload

import (
	"otterseam/tier/codec"
	"otterseam/tier/rpc"
)

// Message kinds.
const (
	// KindReport is a call from a gateway with a Report. A home answers it with codes.OK and Totals.
	KindReport rpc.Kind = 41
	// KindZoneLoad is a one-way message with a ZoneLoad from a home to another home.
	KindZoneLoad rpc.Kind = 42
	// KindPlace is a call from a gateway with a PlaceRequest. A home answers it with codes.OK and a PlaceResponse, or with
	// codes.NoHost.
	KindPlace rpc.Kind = 43
)

// Report contains all requests that a gateway has in flight.
type Report struct {
	Gateway         uint64 // identifies one run of a gateway's process
	Number          uint64 // increases with each report of the gateway
	BeginsPerSecond uint32 // rate of the requests that the gateway sends to hosts
	Placed          uint64 // all placements up to this number are counted in Inflight or have ended
	Inflight        Loads
}

// Encode returns the wire encoding.
func (r Report) Encode() []byte {
	var e codec.Encoder
	e.Uint64(r.Gateway)
	e.Uint64(r.Number)
	e.Uint32(r.BeginsPerSecond)
	e.Uint64(r.Placed)
	r.Inflight.encode(&e)
	return e.Bytes
}

// DecodeReport decodes a Report.
func DecodeReport(message []byte) (Report, error) {
	d := codec.NewDecoder(message)
	r := Report{Gateway: d.Uint64(), Number: d.Uint64(), BeginsPerSecond: d.Uint32(), Placed: d.Uint64(), Inflight: decodeLoads(d)}
	return r, d.Err()
}

// Totals contains the requests that all gateways have in flight, as known to a home.
type Totals struct {
	Number          uint64 // number of the receiver's newest report that is counted
	Complete        bool   // the home has been running long enough to have received reports from all gateways
	BeginsPerSecond uint32 // request rate of all gateways together
	Inflight        Loads
}

// Encode returns the wire encoding.
func (t Totals) Encode() []byte {
	var e codec.Encoder
	e.Uint64(t.Number)
	e.Bool(t.Complete)
	e.Uint32(t.BeginsPerSecond)
	t.Inflight.encode(&e)
	return e.Bytes
}

// DecodeTotals decodes a Totals message.
func DecodeTotals(message []byte) (Totals, error) {
	d := codec.NewDecoder(message)
	t := Totals{Number: d.Uint64(), Complete: d.Bool(), BeginsPerSecond: d.Uint32(), Inflight: decodeLoads(d)}
	return t, d.Err()
}

// ZoneLoad contains the total of the requests that the gateways reporting to a home have in flight.
type ZoneLoad struct {
	Home            uint64 // identifies one run of the home's process
	Number          uint64 // increases with each message of the home
	Address         string // address of the home, to which the receiver sends its own ZoneLoad messages
	BeginsPerSecond uint32
	Inflight        Loads
}

// Encode returns the wire encoding.
func (z ZoneLoad) Encode() []byte {
	var e codec.Encoder
	e.Uint64(z.Home)
	e.Uint64(z.Number)
	e.String(z.Address)
	e.Uint32(z.BeginsPerSecond)
	z.Inflight.encode(&e)
	return e.Bytes
}

// DecodeZoneLoad decodes a ZoneLoad.
func DecodeZoneLoad(message []byte) (ZoneLoad, error) {
	d := codec.NewDecoder(message)
	z := ZoneLoad{Home: d.Uint64(), Number: d.Uint64(), Address: d.String(), BeginsPerSecond: d.Uint32(), Inflight: decodeLoads(d)}
	return z, d.Err()
}

// PlaceRequest asks a home for the host of one request.
type PlaceRequest struct {
	Gateway   uint64
	Placement uint64 // sequence number of the placement at the gateway
	Service   string
	Preferred HostKey   // the host with the prefix cache, 0 for none
	Avoid     []HostKey // hosts that the home must not choose
}

// Encode returns the wire encoding.
func (r PlaceRequest) Encode() []byte {
	var e codec.Encoder
	e.Uint64(r.Gateway)
	e.Uint64(r.Placement)
	e.String(r.Service)
	e.Uint32(uint32(r.Preferred))
	e.Uint32(uint32(len(r.Avoid)))
	for _, key := range r.Avoid {
		e.Uint32(uint32(key))
	}
	return e.Bytes
}

// minKeyBytes is the encoded size of a HostKey.
const minKeyBytes = 4

// DecodePlaceRequest decodes a PlaceRequest.
func DecodePlaceRequest(message []byte) (PlaceRequest, error) {
	d := codec.NewDecoder(message)
	r := PlaceRequest{Gateway: d.Uint64(), Placement: d.Uint64(), Service: d.String(), Preferred: HostKey(d.Uint32())}
	for range d.Count(minKeyBytes) {
		r.Avoid = append(r.Avoid, HostKey(d.Uint32()))
	}
	return r, d.Err()
}

// PlaceResponse names the host chosen for a request. The home counts the request as in flight at that host.
type PlaceResponse struct{ Host HostKey }

// Encode returns the wire encoding.
func (r PlaceResponse) Encode() []byte {
	var e codec.Encoder
	e.Uint32(uint32(r.Host))
	return e.Bytes
}

// DecodePlaceResponse decodes a PlaceResponse.
func DecodePlaceResponse(message []byte) (PlaceResponse, error) {
	d := codec.NewDecoder(message)
	r := PlaceResponse{Host: HostKey(d.Uint32())}
	return r, d.Err()
}
