package outlier

import (
	"slices"
	"strings"
)

// Collector counts the requests and failures that one gateway observes. It is not safe for concurrent use.
type Collector struct {
	reporter  uint64
	zone      string
	number    uint64
	contacted map[string]bool
	failed    map[string]*Observation
}

// NewCollector returns the collector of a gateway in a zone. The number reporter identifies the gateway's process, which draws it at
// random.
func NewCollector(reporter uint64, zone string) *Collector {
	return &Collector{reporter: reporter, zone: zone, contacted: map[string]bool{}, failed: map[string]*Observation{}}
}

// RecordRequest records that a request was sent to a host.
func (c *Collector) RecordRequest(host string) { c.contacted[host] = true }

// RecordFailure records a failure of a host. It reports whether the failure is the first one of the window, in which case the window
// should be flushed soon.
func (c *Collector) RecordFailure(host string, kind Failure) (first bool) {
	first = len(c.failed) == 0
	observation := c.failed[host]
	if observation == nil {
		observation = &Observation{Host: host}
		c.failed[host] = observation
	}
	observation.Counts[kind]++
	return first
}

// Flush returns the current window and begins a new one.
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
