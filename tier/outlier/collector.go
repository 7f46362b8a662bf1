package outlier

import (
	"slices"
	"strings"
)

// Collector counts what one gateway sees. It has one owner.
type Collector struct {
	reporter  uint64
	zone      string
	number    uint64
	contacted map[string]bool
	failed    map[string]*Observation
}

// NewCollector makes the collector of a gateway. reporter is drawn by its process, zone is where it runs.
func NewCollector(reporter uint64, zone string) *Collector {
	return &Collector{reporter: reporter, zone: zone, contacted: map[string]bool{}, failed: map[string]*Observation{}}
}

// RecordRequest notes that a request went to a host.
func (c *Collector) RecordRequest(host string) { c.contacted[host] = true }

// RecordFailure notes a failure there. It reports whether it is the first of the window, which is then to be flushed soon.
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
