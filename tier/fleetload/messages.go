package fleetload

import (
	"otterseam/tier/codec"
	"otterseam/tier/rpc"
)

// The kinds of messages.
const (
	// KindReport is a call of a gateway with a Report. A home answers it with codes.OK and Totals.
	KindReport rpc.Kind = 41
	// KindZoneLoad is a one-way message of a home with a ZoneLoad, to other homes.
	KindZoneLoad rpc.Kind = 42
	// KindPlace is a call of a gateway with a PlaceRequest. A home answers it with codes.OK and a PlaceResponse, or with codes.NoHost.
	KindPlace rpc.Kind = 43
)

// Report is all that a gateway has in flight.
type Report struct {
	Gateway         uint64 // identifies one run of a gateway's process
	Number          uint64 // rises with each report of the gateway
	BeginsPerSecond uint32 // requests that the gateway sends to hosts
	Placed          uint64 // all placements up to this number are in flight here, or have ended
	Inflight        Loads
}

// Encode is the message's form on the wire.
func (r Report) Encode() []byte {
	var e codec.Encoder
	e.Uint64(r.Gateway)
	e.Uint64(r.Number)
	e.Uint32(r.BeginsPerSecond)
	e.Uint64(r.Placed)
	r.Inflight.encode(&e)
	return e.Bytes
}

// DecodeReport reads the message.
func DecodeReport(message []byte) (Report, error) {
	d := codec.NewDecoder(message)
	r := Report{Gateway: d.Uint64(), Number: d.Uint64(), BeginsPerSecond: d.Uint32(), Placed: d.Uint64(), Inflight: decodeLoads(d)}
	return r, d.Err()
}

// Totals is what all gateways have in flight, as far as a home knows.
type Totals struct {
	Number          uint64 // of the newest report of the receiver that is counted
	Complete        bool   // the home has listened for long enough to have heard all
	BeginsPerSecond uint32 // of all gateways
	Inflight        Loads
}

// Encode is the message's form on the wire.
func (t Totals) Encode() []byte {
	var e codec.Encoder
	e.Uint64(t.Number)
	e.Bool(t.Complete)
	e.Uint32(t.BeginsPerSecond)
	t.Inflight.encode(&e)
	return e.Bytes
}

// DecodeTotals reads the message.
func DecodeTotals(message []byte) (Totals, error) {
	d := codec.NewDecoder(message)
	t := Totals{Number: d.Uint64(), Complete: d.Bool(), BeginsPerSecond: d.Uint32(), Inflight: decodeLoads(d)}
	return t, d.Err()
}

// ZoneLoad is what the gateways that report to a home have in flight together.
type ZoneLoad struct {
	Home            uint64 // identifies one run of the home's process
	Number          uint64 // rises with each message of the home
	Address         string // of the home, for answers
	BeginsPerSecond uint32
	Inflight        Loads
}

// Encode is the message's form on the wire.
func (z ZoneLoad) Encode() []byte {
	var e codec.Encoder
	e.Uint64(z.Home)
	e.Uint64(z.Number)
	e.String(z.Address)
	e.Uint32(z.BeginsPerSecond)
	z.Inflight.encode(&e)
	return e.Bytes
}

// DecodeZoneLoad reads the message.
func DecodeZoneLoad(message []byte) (ZoneLoad, error) {
	d := codec.NewDecoder(message)
	z := ZoneLoad{Home: d.Uint64(), Number: d.Uint64(), Address: d.String(), BeginsPerSecond: d.Uint32(), Inflight: decodeLoads(d)}
	return z, d.Err()
}

// PlaceRequest asks a home for the host of one request.
type PlaceRequest struct {
	Gateway   uint64
	Placement uint64 // numbers the placements of the gateway
	Service   string
	Preferred HostKey   // the host with the prefix cache, 0 for none
	Avoid     []HostKey // hosts that the gateway does not want
}

// Encode is the message's form on the wire.
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

// DecodePlaceRequest reads the message.
func DecodePlaceRequest(message []byte) (PlaceRequest, error) {
	d := codec.NewDecoder(message)
	r := PlaceRequest{Gateway: d.Uint64(), Placement: d.Uint64(), Service: d.String(), Preferred: HostKey(d.Uint32())}
	for range d.Count(minKeyBytes) {
		r.Avoid = append(r.Avoid, HostKey(d.Uint32()))
	}
	return r, d.Err()
}

// PlaceResponse names the host of a request. The home counts the request there from now on.
type PlaceResponse struct{ Host HostKey }

// Encode is the message's form on the wire.
func (r PlaceResponse) Encode() []byte {
	var e codec.Encoder
	e.Uint32(uint32(r.Host))
	return e.Bytes
}

// DecodePlaceResponse reads the message.
func DecodePlaceResponse(message []byte) (PlaceResponse, error) {
	d := codec.NewDecoder(message)
	r := PlaceResponse{Host: HostKey(d.Uint32())}
	return r, d.Err()
}
