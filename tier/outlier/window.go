package outlier

import "otterseam/tier/codec"

// Failure tells how a request at a host failed.
type Failure uint8

// The kinds of failures.
const (
	ConnectFailed    Failure = iota // the host could not be reached
	ConnectionBroken                // the connection or the answer broke off
	Hung                            // nothing came for out of the ordinary long
	ServerError                     // the host said that it failed

	failureKinds
)

// MaxHosts bounds the hosts that one window names, so that its size is bounded whatever fails: those with most failures.
const MaxHosts = 24

// Observation is what a gateway saw of one host.
type Observation struct {
	Host   string
	Counts [failureKinds]uint32
}

// Total is the sum over all kinds.
func (o Observation) Total() (sum uint32) {
	for _, count := range o.Counts {
		sum += count
	}
	return sum
}

// Window is what one gateway saw since the window before. It names only hosts at which something failed.
type Window struct {
	Reporter  uint64 // drawn by the gateway's process when it starts
	Number    uint64 // rises with each window of the reporter
	Zone      string // of the reporter
	Contacted uint32 // how many hosts it has sent requests to
	Hosts     []Observation
}

// fewFailed is how many hosts may fail a reporter, whatever their share, before it is suspected itself.
const fewFailed = 2

// IsReporterFault tells whether most of the hosts that the reporter used failed it: then the cause is more likely its own.
func (w Window) IsReporterFault() bool {
	return len(w.Hosts) > fewFailed && 2*len(w.Hosts) > int(w.Contacted)
}

// Encode is the window's form on the wire.
func (w Window) Encode() []byte {
	var e codec.Encoder
	e.Uint64(w.Reporter)
	e.Uint64(w.Number)
	e.String(w.Zone)
	e.Uint32(w.Contacted)
	e.Uint32(uint32(len(w.Hosts)))
	for _, each := range w.Hosts {
		e.String(each.Host)
		for _, count := range each.Counts {
			e.Uint32(count)
		}
	}
	return e.Bytes
}

// minObservationBytes is the shortest encoding of an observation, by which the count of a window is checked.
const minObservationBytes = 4 + 4*int(failureKinds)

// DecodeWindow reads a window; the error is that of the decoder.
func DecodeWindow(data []byte) (Window, error) {
	d := codec.NewDecoder(data)
	w := Window{Reporter: d.Uint64(), Number: d.Uint64(), Zone: d.String(), Contacted: d.Uint32()}
	for range d.Count(minObservationBytes) {
		each := Observation{Host: d.String()}
		for kind := range each.Counts {
			each.Counts[kind] = d.Uint32()
		}
		w.Hosts = append(w.Hosts, each)
	}
	return w, d.Err()
}
