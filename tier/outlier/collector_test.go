package outlier

import (
	"fmt"
	"reflect"
	"testing"
)

// crowdedCollector has seen failures at ten times the hosts that a window names: one, two and three at a third of them each.
func crowdedCollector() *Collector {
	c := NewCollector(7, "zone")
	for i := range 10 * MaxHosts {
		host := fmt.Sprint("h", i)
		c.RecordRequest(host)
		for range 1 + i%3 {
			c.RecordFailure(host, Failure(i%int(failureKinds)))
		}
	}
	return c
}

func TestAWindowNamesTheWorstHostsAndIsBounded(t *testing.T) {
	c := crowdedCollector()
	w := c.Flush()
	if len(w.Hosts) != MaxHosts || w.Hosts[0].Total() != 3 || len(w.Encode()) > 2000 {
		t.Fatalf("%d hosts, the first with %d failures, %d bytes", len(w.Hosts), w.Hosts[0].Total(), len(w.Encode()))
	}
	if next := c.Flush(); next.Number != w.Number+1 || len(next.Hosts) != 0 || next.Contacted != 0 {
		t.Fatalf("%+v", next)
	}
}

func TestAWindowSurvivesItsEncoding(t *testing.T) {
	w := crowdedCollector().Flush()
	decoded, err := DecodeWindow(w.Encode())
	if err != nil || !reflect.DeepEqual(w, decoded) {
		t.Fatalf("%v, %+v", err, decoded)
	}
	for n := range w.Encode() {
		if _, err := DecodeWindow(w.Encode()[:n]); err == nil {
			t.Fatalf("%d bytes are taken for a window", n)
		}
	}
}
