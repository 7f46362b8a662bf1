package replication

import (
	"slices"
	"testing"
)

// Adding a server must move only its share of the replicas.
func TestNewServerMovesOnlyItsShare(t *testing.T) {
	const groups = 256
	moved, kept := 0, 0
	for group := range groups {
		before := PlaceReplicas(group, peers(6, 1), 3, anyServer)
		after := PlaceReplicas(group, peers(7, 1), 3, anyServer)
		for _, number := range before {
			if slices.Contains(after, number) {
				kept++
			} else {
				moved++
			}
		}
	}
	if part := float64(moved) / float64(moved+kept); part < 0.05 || part > 0.25 {
		t.Fatalf("adding a seventh server moved a fraction of %.2f of all replicas", part)
	}
}

// The replicas of a group must be on different servers, and in different zones as far as there are enough zones.
func TestReplicasAreSpreadOverZones(t *testing.T) {
	list := peers(9, 3)
	for _, c := range []struct {
		name            string
		replicas        int
		canHost         func(number int) bool
		servers, inZone int // wanted number of servers, and of their zones
	}{
		{"three replicas", 3, anyServer, 3, 3},
		{"five replicas over three zones", 5, anyServer, 5, 3},
		{"two servers are left", 3, func(number int) bool { return number < 2 }, 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			for group := range 100 {
				chosen := PlaceReplicas(group, list, c.replicas, c.canHost)
				zones := map[string]bool{}
				for _, number := range chosen {
					zones[list[number].Zone] = true
				}
				different := slices.Compact(slices.Sorted(slices.Values(chosen)))
				if len(chosen) != c.servers || len(different) != c.servers || len(zones) != c.inZone {
					t.Fatalf("group %d is on servers %v in %d zones", group, chosen, len(zones))
				}
			}
		})
	}
}
