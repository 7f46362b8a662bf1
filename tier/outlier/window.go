package outlier

import "otterseam/tier/codec"

// Failure is the kind of a failed request at a host.
type Failure uint8

// Kinds of failures.
const (
	ConnectFailed    Failure = iota // the host could not be reached
	ConnectionBroken                // the connection was lost, or the response was incomplete
	Hung                            // the host sent nothing for unusually long
	ServerError                     // the host responded with a server error

	failureKinds
)

// MaxHosts is the maximum number of hosts that a window names, which bounds its size. The hosts with the most failures are kept.
const MaxHosts = 24

// Observation contains the failures of one host as a gateway saw them.
type Observation struct {
	Host   string
	Counts [failureKinds]uint32
}

// Total returns the number of failures of all kinds.
func (o Observation) Total() (sum uint32) {
	for _, count := range o.Counts {
		sum += count
	}
	return sum
}

// Window contains the observations of one gateway since its previous window. It names only hosts with failures.
type Window struct {
	Reporter  uint64 // random number of the gateway's process, drawn when it starts
	Number    uint64 // increases with each window of the reporter
	Zone      string // zone of the reporter
	Contacted uint32 // number of hosts that the reporter sent requests to
	Hosts     []Observation
}

// fewFailed is the number of failing hosts up to which a reporter is never assumed to be at fault itself, whatever their share.
const fewFailed = 2

// IsReporterFault reports whether most of the hosts that the reporter used failed, so that the cause is more likely the reporter
// itself.
func (w Window) IsReporterFault() bool {
	return len(w.Hosts) > fewFailed && 2*len(w.Hosts) > int(w.Contacted)
}

// Encode returns the wire encoding of the window.
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

// minObservationBytes is the size of the shortest encoding of an observation. The decoder checks the number of observations against
// it.
const minObservationBytes = 4 + 4*int(failureKinds)

// DecodeWindow decodes a window.
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
