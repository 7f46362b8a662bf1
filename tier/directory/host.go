package directory

import "otterseam/tier/codec"

// Host describes a host of a service, as reported by the host itself.
type Host struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Version  string
	Slots    int // maximum number of concurrent requests
	Draining bool
	Stage    string
	Models   string // JSON, passed on without being parsed
}

// Encode returns the host in its feed form.
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

// DecodeHost decodes a host.
func DecodeHost(data []byte) (Host, error) {
	d := codec.NewDecoder(data)
	h := Host{
		ID: d.String(), Service: d.String(), Address: d.String(), Zone: d.String(), Version: d.String(),
		Slots: int(d.Uint32()), Draining: d.Bool(), Stage: d.String(), Models: d.String(),
	}
	return h, d.Err()
}
