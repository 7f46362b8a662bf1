//go:build !race

package state

import (
	"fmt"
	"testing"

	"otterseam/tier/codes"
)

// This file is not built with the race detector: a month of changes runs in one goroutine, where the detector can find nothing, and
// with it the test takes minutes.

// A month with 4,700 configuration changes and 1,000 host restarts per day does not increase the size of the snapshot, the size of the
// update for a new subscriber, or the number of host records beyond what they are after some days.
func TestStateSizeIsBoundedOverMonths(t *testing.T) {
	const (
		days              = 30
		changesPerDay     = 4700
		restartsPerDay    = 1000
		hosts             = 200
		configBytes       = 2000
		changesPerRestart = changesPerDay / restartsPerDay
	)
	l := newCommandLog()
	config := string(make([]byte, configBytes))
	version, restarts := uint64(0), 0
	restart := func() {
		l.apply(RemoveHost{ID: fmt.Sprint("host-", restarts), Deregistered: restarts%2 == 0})
		l.apply(heartbeat(fmt.Sprint("host-", restarts+hosts), false, 1))
		restarts++
	}
	for range hosts {
		restart()
	}
	updateBytes, snapshotBytes := map[int]int{}, map[int]int{}
	for day := 1; day <= days; day++ {
		for change := range changesPerDay {
			if got := l.replace(version, version+1, config); got != codes.OK {
				t.Fatal(got)
			}
			version++
			if change%changesPerRestart == 0 && change/changesPerRestart < restartsPerDay {
				restart()
			}
		}
		updateBytes[day] = len(l.state.View.Since(0).Encode())
		snapshotBytes[day] = len(l.state.Snapshot())
		if day == 1 || day%10 == 0 {
			t.Logf("day %2d: snapshot %7d bytes; IDs of deregistered hosts %4d; full update for a subscriber %6d bytes",
				day, snapshotBytes[day], l.state.deregistered, updateBytes[day])
		}
	}
	if updateBytes[days] > updateBytes[1]+hosts*10 {
		t.Fatalf("the full update for a subscriber grew from %d to %d bytes", updateBytes[1], updateBytes[days])
	}
	if snapshotBytes[days] > snapshotBytes[days/3]+snapshotBytes[days/3]/10 {
		t.Fatalf("the snapshot grew from %d bytes on day %d to %d", snapshotBytes[days/3], days/3, snapshotBytes[days])
	}
	if retained := len(l.state.hosts); retained > hosts+maxDeregistered+deregisteredSlack {
		t.Fatalf("%d host records are retained", retained)
	}
}
