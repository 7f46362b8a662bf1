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

func TestBackoffGrowsWithConsecutiveFailures(t *testing.T) {
	all := hosts(2)
	now := time.Now()
	all[0].RecordConnectionFailure(now)
	for range 9 { // b is loaded so heavily that requests go there only while a backs off
		all[1].Begin()
	}
	if got := Choose(all, Request{Random: zeroRandom}, now); got.ID != "b" {
		t.Fatal(got.ID)
	}
	if got := Choose(all, Request{Random: zeroRandom}, now.Add(initialBackoff)); got.ID != "a" {
		t.Fatal("the host is avoided for longer than the first backoff")
	}
	all[0].RecordConnectionFailure(now)
	if got := Choose(all, Request{Random: zeroRandom}, now.Add(initialBackoff)); got.ID != "b" {
		t.Fatal("the second backoff is no longer than the first")
	}
	all[0].RecordSuccess(now)
	if got := Choose(all, Request{Random: zeroRandom}, now); got.ID != "a" {
		t.Fatal("the host is avoided after a successful response")
	}
}

// A host that fails intermittently is used less than others. A success in between ends only its backoff; the error rate decays with
// time.
func TestHostWithIntermittentFailuresIsUsedLess(t *testing.T) {
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
		t.Fatal("the host is still avoided after its error rate has decayed")
	}
}

func TestHostWithStalledRequestsIsUsedLess(t *testing.T) {
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

func TestFailedHostIsUsedWhenNoOtherIsLeft(t *testing.T) {
	all := hosts(1)
	now := time.Now()
	all[0].RecordConnectionFailure(now)
	if got := Choose(all, Request{Random: zeroRandom}, now); got == nil {
		t.Fatal("no host was chosen")
	}
	all[0].Draining = true
	if got := Choose(all, Request{Random: zeroRandom}, now); got != nil {
		t.Fatal("a draining host was chosen")
	}
}

// Choose never returns a draining host or one already tried, and returns a host whenever another one is left.
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
			rt.Fatalf("%d hosts are left, chosen %v", left, got)
		}
		if got != nil && (got.Draining || tried[got.ID]) {
			rt.Fatalf("chose %+v", got)
		}
	})
}

// An ejected host gets no requests until the ejection ends, and then a growing share of them. If it is the only host, it is used
// although it is ejected.
func TestEjectedHostWarmsUpGradually(t *testing.T) {
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
			t.Errorf("%v after the ejection began: share of choices is %v", step.after, got)
		}
	}
	ejected.Eject(now.Add(time.Hour))
	if Choose([]*Host{ejected}, Request{Random: stream.Float64}, now) != ejected {
		t.Error("the only host is not chosen while ejected")
	}
}
