// Package outlier finds hosts that fail where their peers do not, from what all gateways see together. Each gateway meets a given
// host rarely, so that its own record of it is always too old; the sum over the fleet is not. The package is pure: windows of
// observations go in, with the time; verdicts come out. What it sums can be merged in any order, each window once.
package outlier

import (
	"slices"
	"strings"

	"otterseam/tier/codec"
)

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

// IsReporterFault tells whether most of the hosts that the reporter used failed it: then the cause is more likely its own.
func (w Window) IsReporterFault() bool { return len(w.Hosts) > 2 && 2*len(w.Hosts) > int(w.Contacted) }

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

const minObservationBytes = 4 + 4*int(failureKinds)

// DecodeWindow reads a window.
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

// Collector counts what one gateway sees. It has one owner.
type Collector struct {
	reporter  uint64
	zone      string
	number    uint64
	contacted map[string]bool
	failed    map[string]*Observation
}

// NewCollector makes one for a gateway.
func NewCollector(reporter uint64, zone string) *Collector {
	return &Collector{reporter: reporter, zone: zone, contacted: map[string]bool{}, failed: map[string]*Observation{}}
}

// RecordRequest notes that a request went to a host.
func (c *Collector) RecordRequest(host string) { c.contacted[host] = true }

// Counts notes a failure there. It reports whether it is the first of the window, which is then to be taken soon.
func (c *Collector) RecordFailure(host string, how Failure) (first bool) {
	first = len(c.failed) == 0
	held := c.failed[host]
	if held == nil {
		held = &Observation{Host: host}
		c.failed[host] = held
	}
	held.Counts[how]++
	return first
}

// Flush ends the window and begins another one.
func (c *Collector) Flush() Window {
	c.number++
	w := Window{Reporter: c.reporter, Number: c.number, Zone: c.zone, Contacted: uint32(len(c.contacted))}
	for _, each := range c.failed {
		w.Hosts = append(w.Hosts, *each)
	}
	slices.SortFunc(w.Hosts, func(a, b Observation) int {
		if a.Total() != b.Total() {
			return int(b.Total()) - int(a.Total())
		}
		return strings.Compare(a.Host, b.Host)
	})
	if len(w.Hosts) > MaxHosts {
		w.Hosts = w.Hosts[:MaxHosts]
	}
	clear(c.failed)
	clear(c.contacted)
	return w
}
