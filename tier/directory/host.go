package directory

import "otterseam/tier/codec"

// Host is a host of a service, as it described itself.
type Host struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Version  string
	Slots    int // requests that it serves at once
	Draining bool
	Stage    string
	Models   string // as JSON, unread
}

// Encode is the host's form in a feed.
func (h Host) Encode() []byte {
	var e codec.Encoder
	e.String(h.ID)
	e.String(h.Service)
	e.String(h.Address)
	e.String(h.Zone)
	e.String(h.Version)
	e.Uint32(uint32(h.Slots))
	e.Bool(h.Draining)
	e.String(h.Stage)
	e.String(h.Models)
	return e.Bytes
}

// DecodeHost reads a host.
func DecodeHost(data []byte) (Host, error) {
	d := codec.NewDecoder(data)
	h := Host{
		ID: d.String(), Service: d.String(), Address: d.String(), Zone: d.String(), Version: d.String(),
		Slots: int(d.Uint32()), Draining: d.Bool(), Stage: d.String(), Models: d.String(),
	}
	return h, d.Err()
}
