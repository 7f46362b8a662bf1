package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func zeroRandom() float64 { return 0 }

func hosts(n int) []*Host {
	var all []*Host
	for i := range n {
		all = append(all, &Host{ID: string(rune('a' + i)), Slots: 10})
	}
	return all
}

func TestChooseTakesTheLeastLoadedHost(t *testing.T) {
	all := hosts(3)
	now := time.Now()
	all[0].Begin()
	all[1].UpdateLoad(5, 0, now)
	if got := Choose(all, Request{Random: zeroRandom}, now); got.ID != "c" {
		t.Fatal(got.ID)
	}
	if got := Choose(all, Request{Random: zeroRandom, Tried: map[string]bool{"c": true}}, now); got.ID != "a" {
		t.Fatal(got.ID)
	}
}

func TestChoosePrefersTheHostWithThePrefixCache(t *testing.T) {
	all := hosts(3)
	now := time.Now()
	all[1].Begin()
	all[1].Begin()
	if got := Choose(all, Request{Random: zeroRandom, Preferred: "b"}, now); got.ID != "b" {
		t.Fatal(got.ID)
	}
	for range 8 {
		all[1].Begin()
	}
	if got := Choose(all, Request{Random: zeroRandom, Preferred: "b"}, now); got.ID == "b" {
		t.Fatal("a full host was preferred")
	}
}

func TestAHostThatFailedBacksOffForATimeThatGrows(t *testing.T) {
	all := hosts(2)
	now := time.Now()
	all[0].RecordConnectionFailure(now)
	for range 9 { // so loaded that only the backoff keeps requests there
		all[1].Begin()
	}
	if got := Choose(all, Request{Random: zeroRandom}, now); got.ID != "b" {
		t.Fatal(got.ID)
	}
	if got := Choose(all, Request{Random: zeroRandom}, now.Add(initialBackoff)); got.ID != "a" {
		t.Fatal("it was avoided for longer than the first backoff")
	}
	all[0].RecordConnectionFailure(now)
	if got := Choose(all, Request{Random: zeroRandom}, now.Add(initialBackoff)); got.ID != "b" {
		t.Fatal("the second backoff is no longer than the first")
	}
	all[0].RecordSuccess(now)
	if got := Choose(all, Request{Random: zeroRandom}, now); got.ID != "a" {
		t.Fatal("it is avoided after an answer")
	}
}

// A host that fails now and then and answers in between is used less than the others, and as much as they some time after.
func TestAHostThatFailsInPartIsUsedLess(t *testing.T) {
	all := hosts(2)
	now := time.Now()
	for range 10 {
		all[0].RecordConnectionFailure(now)
		all[0].RecordSuccess(now)
	}
	for range 3 {
		all[1].Begin()
	}
	if got := Choose(all, Request{Random: zeroRandom}, now); got.ID != "b" {
		t.Fatal(got.ID)
	}
	if got := Choose(all, Request{Random: zeroRandom}, now.Add(4*errorRateHalfLife)); got.ID != "a" {
		t.Fatal("it is avoided for ever")
	}
}

func TestAHostWithStalledRequestsIsUsedLess(t *testing.T) {
	all := hosts(2)
	now := time.Now()
	all[0].RecordStall()
	all[1].Begin()
	if got := Choose(all, Request{Random: zeroRandom, Preferred: "a"}, now); got.ID != "b" {
		t.Fatal(got.ID)
	}
	all[0].ClearStall()
	if got := Choose(all, Request{Random: zeroRandom}, now); got.ID != "a" {
		t.Fatal(got.ID)
	}
}

func TestHostsThatFailedServeWhenNoOtherIsLeft(t *testing.T) {
	all := hosts(1)
	now := time.Now()
	all[0].RecordConnectionFailure(now)
	if got := Choose(all, Request{Random: zeroRandom}, now); got == nil {
		t.Fatal("nobody was chosen")
	}
	all[0].Draining = true
	if got := Choose(all, Request{Random: zeroRandom}, now); got != nil {
		t.Fatal("a draining host was chosen")
	}
}

// Whatever happens, neither a draining host nor one that was tried is chosen, and a choice is made whenever one is left.
func TestChooseNeverTakesADrainingOrTriedHost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := hosts(rapid.IntRange(0, 8).Draw(rt, "hosts"))
		now := time.Now()
		tried := map[string]bool{}
		left := 0
		for _, host := range all {
			host.Draining = rapid.Bool().Draw(rt, "draining")
			tried[host.ID] = rapid.Bool().Draw(rt, "tried")
			for range rapid.IntRange(0, 3).Draw(rt, "failures") {
				host.RecordConnectionFailure(now)
			}
			for range rapid.IntRange(0, 20).Draw(rt, "open") {
				host.Begin()
			}
			if !host.Draining && !tried[host.ID] {
				left++
			}
		}
		got := Choose(all, Request{Random: func() float64 { return 0.5 }, Tried: tried}, now)
		if (got == nil) != (left == 0) {
			rt.Fatalf("%d are left, chosen %v", left, got)
		}
		if got != nil && (got.Draining || tried[got.ID]) {
			rt.Fatalf("chose %+v", got)
		}
	})
}

// A host that the fleet ejected gets nothing for its term, and then its share back in steps; it is used where there is no other.
func TestAnEjectedHostComesBackInSteps(t *testing.T) {
	now := time.Now()
	ejected, other := &Host{ID: "ejected", Slots: 8}, &Host{ID: "other", Slots: 8}
	ejected.Eject(now.Add(2 * time.Second))
	stream := rand.New(rand.NewPCG(1, 1))
	share := func(after time.Duration) float64 {
		chosen := 0
		for range 1000 {
			request := Request{Random: stream.Float64}
			if Choose([]*Host{ejected, other}, request, now.Add(after)) == ejected {
				chosen++
			}
		}
		return float64(chosen) / 1000
	}
	for _, step := range []struct {
		after       time.Duration
		least, most float64
	}{
		{0, 0, 0}, {1999 * time.Millisecond, 0, 0}, {2 * time.Second, 0.02, 0.1}, {4 * time.Second, 0.1, 0.35}, {6 * time.Second, 0.4, 0.6},
	} {
		if got := share(step.after); got < step.least || got > step.most {
			t.Errorf("after %v: a share of %v", step.after, got)
		}
	}
	ejected.Eject(now.Add(time.Hour))
	if Choose([]*Host{ejected}, Request{Random: stream.Float64}, now) != ejected {
		t.Error("the last host gets nothing")
	}
}
