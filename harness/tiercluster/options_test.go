package tiercluster

import "testing"

// outgoingPortsFrom is the first port that systems give to outgoing connections by themselves.
const outgoingPortsFrom = 32768

func TestClustersOfProcessesDoNotMeet(t *testing.T) {
	usual := Options{Network: 7}
	if usual.ip(2) != "127.0.7.2" || usual.firstInternalPort() != usualInternalPort {
		t.Errorf("without a process number: %s, %d", usual.ip(2), usual.firstInternalPort())
	}
	one, next := Options{Network: 7, ProcessID: 4000}, Options{Network: 7, ProcessID: 4001}
	if one.ip(2) == next.ip(2) || next.firstInternalPort()-one.firstInternalPort() != internalPorts {
		t.Errorf("neighbours have %s, %d and %s, %d", one.ip(2), one.firstInternalPort(), next.ip(2), next.firstInternalPort())
	}
	for process := range 2 * ownPortRanges {
		if last := (Options{ProcessID: process}).firstInternalPort() + internalPorts - 1; last >= outgoingPortsFrom {
			t.Fatalf("process %d has ports up to %d", process, last)
		}
	}
}
