package tiercluster

import "testing"

// firstEphemeralPort is the first ephemeral port on common systems.
const firstEphemeralPort = 32768

func TestClustersOfDifferentProcessesDoNotCollide(t *testing.T) {
	defaults := Options{Network: 7}
	if defaults.ip(2) != "127.0.7.2" || defaults.firstInternalPort() != defaultInternalPort {
		t.Errorf("without a process ID: %s, %d", defaults.ip(2), defaults.firstInternalPort())
	}
	one, next := Options{Network: 7, ProcessID: 4000}, Options{Network: 7, ProcessID: 4001}
	if one.ip(2) == next.ip(2) || next.firstInternalPort()-one.firstInternalPort() != internalPorts {
		t.Errorf("consecutive process IDs have %s, %d and %s, %d", one.ip(2), one.firstInternalPort(), next.ip(2), next.firstInternalPort())
	}
	for process := range 2 * internalPortRanges {
		if last := (Options{ProcessID: process}).firstInternalPort() + internalPorts - 1; last >= firstEphemeralPort {
			t.Fatalf("process ID %d has ports up to %d", process, last)
		}
	}
}
