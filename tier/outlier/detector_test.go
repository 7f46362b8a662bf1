package outlier

import (
	"fmt"
	"testing"
)

// Windows may come late, twice and in any order; each counts once.
func TestAWindowCountsOnce(t *testing.T) {
	detector := NewDetector()
	first := Window{Reporter: 1, Number: 1, Zone: "a", Contacted: 9, Hosts: []Observation{{Host: "h", Counts: [failureKinds]uint32{0, 2, 0, 1}}}}
	for range 5 {
		detector.Add(first, 1000)
	}
	if got := detector.hosts["h"].failures; got != 2+serverErrorWeight {
		t.Fatalf("%v failures", got)
	}
}

// seen is a window in which one host failed so often.
func seen(reporter, number uint64, zone string, failures uint32) Window {
	failed := Observation{Host: "h0"}
	failed.Counts[ConnectionBroken] = failures
	return Window{Reporter: reporter, Number: number, Zone: zone, Contacted: 20, Hosts: []Observation{failed}}
}

func someHosts() Fleet {
	var hosts []Host
	for i := range 10 {
		hosts = append(hosts, Host{ID: fmt.Sprint("h", i), Zone: "a"})
	}
	return Fleet{"s": hosts}
}

func TestEjectionsDoubleUntilTheHostIsWell(t *testing.T) {
	r := &hostRecord{reports: map[uint64]report{}}
	now := int64(1 << 20)
	for _, want := range []int64{2000, 4000, 8000, 16000, 16000} {
		if got := r.eject(now); got != want {
			t.Fatalf("an ejection of %d, not %d", got, want)
		}
		now = r.ejectedUntil + 1000
	}
	if got := r.eject(r.ejectedUntil + ejectionMemory + 1); got != baseEjectionTime {
		t.Fatalf("after a long time well: an ejection of %d", got)
	}
}

// A few failures in a minute are no evidence.
func TestOldFailuresAreForgotten(t *testing.T) {
	detector := NewDetector()
	for i := range uint64(30) {
		now := int64(1<<20) + int64(i)*2500
		detector.Add(seen(1+i%3, i+1, "a", 1), now)
		if ejections := detector.Decide(someHosts(), now); len(ejections) > 0 {
			t.Fatalf("ejected after %d failures in %d s", i+1, i*5/2)
		}
	}
}

// What a host did before its ejection does not count against it afterwards.
func TestAnEjectionClearsTheRecord(t *testing.T) {
	detector := NewDetector()
	now := int64(1 << 20)
	detector.Add(seen(1, 1, "a", 40), now)
	detector.Add(seen(2, 1, "b", 40), now)
	if ejections := detector.Decide(someHosts(), now); len(ejections) != 1 {
		t.Fatal(ejections)
	}
	detector.Add(seen(1, 2, "a", 1), now+baseEjectionTime)
	detector.Add(seen(2, 2, "b", 1), now+baseEjectionTime)
	if ejections := detector.Decide(someHosts(), now+baseEjectionTime); len(ejections) != 0 {
		t.Fatal(ejections)
	}
}

// A gateway that most of its hosts fail tells of its own fault.
func TestAReporterThatMostHostsFailIsNotBelieved(t *testing.T) {
	for failed, believed := range map[int]bool{2: true, 4: true, 5: false, 8: false} {
		c := NewCollector(1, "a")
		for i := range 8 {
			c.RecordRequest(fmt.Sprint("h", i))
			if i < failed {
				c.RecordFailure(fmt.Sprint("h", i), ConnectFailed)
			}
		}
		detector := NewDetector()
		detector.Add(c.Flush(), 1<<20)
		if got := len(detector.hosts) > 0; got != believed {
			t.Errorf("%d of 8 hosts failed it: believed %v", failed, got)
		}
	}
}
