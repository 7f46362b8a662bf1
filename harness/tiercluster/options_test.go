package tiercluster

import "testing"

// outgoingPortsFrom is the first port that systems give to outgoing connections by themselves.
const outgoingPortsFrom = 32768

func TestRigsOfProgramsDoNotMeet(t *testing.T) {
	usual := Options{Network: 7}
	if usual.ip(2) != "127.0.7.2" || usual.firstPort() != firstPort {
		t.Errorf("without a process number: %s, %d", usual.ip(2), usual.firstPort())
	}
	one, next := Options{Network: 7, Process: 4000}, Options{Network: 7, Process: 4001}
	if one.ip(2) == next.ip(2) || next.firstPort()-one.firstPort() != portCount {
		t.Errorf("neighbours have %s, %d and %s, %d", one.ip(2), one.firstPort(), next.ip(2), next.firstPort())
	}
	for process := range 2 * ownPortRanges {
		if last := (Options{Process: process}).firstPort() + portCount - 1; last >= outgoingPortsFrom {
			t.Fatalf("process %d has ports up to %d", process, last)
		}
	}
}
