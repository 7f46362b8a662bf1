package outlier

import (
	"fmt"
	"reflect"
	"testing"
)

// crowdedCollector returns a collector with failures of ten times as many hosts as a window names. One third of the hosts has one
// failure each, one third has two and one third has three.
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

func TestWindowNamesTheWorstHostsAndIsBounded(t *testing.T) {
	c := crowdedCollector()
	w := c.Flush()
	if len(w.Hosts) != MaxHosts || w.Hosts[0].Total() != 3 || len(w.Encode()) > 2000 {
		t.Fatalf("%d hosts, the first with %d failures, %d bytes", len(w.Hosts), w.Hosts[0].Total(), len(w.Encode()))
	}
	if next := c.Flush(); next.Number != w.Number+1 || len(next.Hosts) != 0 || next.Contacted != 0 {
		t.Fatalf("%+v", next)
	}
}

func TestWindowEncodingRoundTrip(t *testing.T) {
	w := crowdedCollector().Flush()
	decoded, err := DecodeWindow(w.Encode())
	if err != nil || !reflect.DeepEqual(w, decoded) {
		t.Fatalf("error %v, decoded %+v", err, decoded)
	}
	for n := range w.Encode() {
		if _, err := DecodeWindow(w.Encode()[:n]); err == nil {
			t.Fatalf("a window truncated to %d bytes is decoded", n)
		}
	}
}
