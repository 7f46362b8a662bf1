package outlier

import (
	"fmt"
	"testing"
)

// A window that arrives several times is counted once.
func TestWindowCountsOnce(t *testing.T) {
	detector := NewDetector()
	first := Window{Reporter: 1, Number: 1, Zone: "a", Contacted: 9, Hosts: []Observation{{Host: "h", Counts: [failureKinds]uint32{0, 2, 0, 1}}}}
	for range 5 {
		detector.Add(first, 1000)
	}
	if got := detector.hosts["h"].failures; got != 2+serverErrorWeight {
		t.Fatalf("counted %v failures", got)
	}
}

// windowWith returns a window in which one host failed the given number of times.
func windowWith(reporter, number uint64, zone string, failures uint32) Window {
	failed := Observation{Host: "h0"}
	failed.Counts[ConnectionBroken] = failures
	return Window{Reporter: reporter, Number: number, Zone: zone, Contacted: 20, Hosts: []Observation{failed}}
}

func tenHosts() Fleet {
	var hosts []Host
	for i := range 10 {
		hosts = append(hosts, Host{ID: fmt.Sprint("h", i), Zone: "a"})
	}
	return Fleet{"s": hosts}
}

func TestEjectionsDoubleUntilTheHostRecovers(t *testing.T) {
	r := &hostRecord{reports: map[uint64]report{}}
	now := int64(1 << 20)
	for _, want := range []int64{2000, 4000, 8000, 16000, 16000} {
		if got := r.eject(now); got != want {
			t.Fatalf("the ejection lasts %d ms, want %d", got, want)
		}
		now = r.ejectedUntil + 1000
	}
	if got := r.eject(r.ejectedUntil + ejectionMemory + 1); got != baseEjectionTime {
		t.Fatalf("after a long time without failures the ejection lasts %d ms", got)
	}
}

// A few failures per minute do not make a host an outlier, because old failures decay.
func TestOldFailuresDecay(t *testing.T) {
	detector := NewDetector()
	for i := range uint64(30) {
		now := int64(1<<20) + int64(i)*2500
		detector.Add(windowWith(1+i%3, i+1, "a", 1), now)
		if ejections := detector.Decide(tenHosts(), now); len(ejections) > 0 {
			t.Fatalf("ejected after %d failures in %d s", i+1, i*5/2)
		}
	}
}

// Failures from before an ejection do not count after it.
func TestEjectionClearsTheFailureCount(t *testing.T) {
	detector := NewDetector()
	now := int64(1 << 20)
	detector.Add(windowWith(1, 1, "a", 40), now)
	detector.Add(windowWith(2, 1, "b", 40), now)
	if ejections := detector.Decide(tenHosts(), now); len(ejections) != 1 {
		t.Fatal(ejections)
	}
	detector.Add(windowWith(1, 2, "a", 1), now+baseEjectionTime)
	detector.Add(windowWith(2, 2, "b", 1), now+baseEjectionTime)
	if ejections := detector.Decide(tenHosts(), now+baseEjectionTime); len(ejections) != 0 {
		t.Fatal(ejections)
	}
}

// Reports of a gateway that sees most of its hosts fail are ignored, because the cause is more likely the gateway itself.
func TestReporterThatSeesMostHostsFailIsIgnored(t *testing.T) {
	for failed, counted := range map[int]bool{2: true, 4: true, 5: false, 8: false} {
		c := NewCollector(1, "a")
		for i := range 8 {
			c.RecordRequest(fmt.Sprint("h", i))
			if i < failed {
				c.RecordFailure(fmt.Sprint("h", i), ConnectFailed)
			}
		}
		detector := NewDetector()
		detector.Add(c.Flush(), 1<<20)
		if got := len(detector.hosts) > 0; got != counted {
			t.Errorf("with failures of %d of 8 hosts the report is counted: %v", failed, got)
		}
	}
}
