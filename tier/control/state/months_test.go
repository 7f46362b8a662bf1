//go:build !race

package state

import (
	"fmt"
	"testing"

	"otterseam/tier/codes"
)

// This file is not built with the race detector: a month of changes runs in one goroutine, where the detector has nothing to find and
// takes minutes.

// The state, what subscribers are sent and what is remembered of hosts, after a month of 4,700 changes and 1,000 restarts of hosts a day is
// what it is after days.
func TestTheStateDoesNotGrowForMonths(t *testing.T) {
	const (
		days            = 30
		changesADay     = 4700
		restartsADay    = 1000
		hosts           = 200
		bytesOfAConfig  = 2000
		restartsAChange = changesADay / restartsADay
	)
	l := newLog()
	config := string(make([]byte, bytesOfAConfig))
	version, restarts := uint64(0), 0
	restart := func() {
		l.apply(RemoveHost{ID: fmt.Sprint("host-", restarts), Deregistered: restarts%2 == 0})
		l.apply(heartbeat(fmt.Sprint("host-", restarts+hosts), false, 1))
		restarts++
	}
	for range hosts {
		restart()
	}
	public, whole := map[int]int{}, map[int]int{}
	for day := 1; day <= days; day++ {
		for change := range changesADay {
			if got := l.replace(version, version+1, config); got != codes.OK {
				t.Fatal(got)
			}
			version++
			if change%restartsAChange == 0 && change/restartsAChange < restartsADay {
				restart()
			}
		}
		public[day] = len(l.state.View.Since(0).Encode())
		whole[day] = len(l.state.Snapshot())
		if day == 1 || day%10 == 0 {
			t.Logf("day %2d: state %7d bytes; ids of gone hosts %4d; a whole view for a subscriber %6d bytes",
				day, whole[day], l.state.departed, public[day])
		}
	}
	if public[days] > public[1]+hosts*10 {
		t.Fatalf("what a subscriber is sent grew from %d to %d bytes", public[1], public[days])
	}
	if whole[days] > whole[days/3]+whole[days/3]/10 {
		t.Fatalf("the state grew from %d bytes on day %d to %d", whole[days/3], days/3, whole[days])
	}
	if known := len(l.state.hosts); known > hosts+departedKept+departedSlack {
		t.Fatalf("%d hosts are remembered", known)
	}
}
