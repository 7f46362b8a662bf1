package fleetload

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"otterseam/tier/directory"
	"otterseam/tier/internal/recorded"
)

func TestRecordedMessages(t *testing.T) {
	inflight := Loads{0x01020304: 0x0506, 0x11121314: 1}
	recorded.CheckBoth(t, "report", Report{Gateway: 0x2122232425262728, Number: 7, BeginsPerSecond: 9, Placed: 11, Inflight: inflight}, Report.Encode, DecodeReport)
	recorded.CheckBoth(t, "totals", Totals{Number: 7, Complete: true, BeginsPerSecond: 900, Inflight: inflight}, Totals.Encode, DecodeTotals)
	recorded.CheckBoth(t, "zone-load", ZoneLoad{
		Home: 0x3132333435363738, Number: 8, Address: "10.0.2.1:7501", BeginsPerSecond: 90, Inflight: inflight,
	}, ZoneLoad.Encode, DecodeZoneLoad)
	recorded.CheckBoth(t, "place-request", PlaceRequest{
		Gateway: 0x2122232425262728, Placement: 12, Service: "chat", Preferred: 0x31323334, Avoid: []HostKey{5, 6},
	}, PlaceRequest.Encode, DecodePlaceRequest)
	recorded.CheckBoth(t, "place-response", PlaceResponse{Host: 0x31323334}, PlaceResponse.Encode, DecodePlaceResponse)
}

func TestMessagesCutShortAreRejected(t *testing.T) {
	inflight := Loads{1: 2, 3: 4}
	for name, test := range map[string]struct {
		encoded []byte
		decode  func([]byte) error
	}{
		"report":         {Report{Inflight: inflight}.Encode(), func(b []byte) error { _, err := DecodeReport(b); return err }},
		"totals":         {Totals{Inflight: inflight}.Encode(), func(b []byte) error { _, err := DecodeTotals(b); return err }},
		"place request":  {PlaceRequest{Avoid: []HostKey{1}}.Encode(), func(b []byte) error { _, err := DecodePlaceRequest(b); return err }},
		"place response": {PlaceResponse{}.Encode(), func(b []byte) error { _, err := DecodePlaceResponse(b); return err }},
		"zone load":      {ZoneLoad{Inflight: inflight}.Encode(), func(b []byte) error { _, err := DecodeZoneLoad(b); return err }},
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(test.encoded) {
				if test.decode(test.encoded[:n]) == nil {
					t.Fatalf("%d of %d bytes are read", n, len(test.encoded))
				}
			}
		})
	}
}

const (
	hostA HostKey = 1
	hostB HostKey = 2
)

// settled is a home that has listened long enough to a gateway with one request at host A.
func settled(t *testing.T) (home *Aggregator, now int64) {
	t.Helper()
	home = NewAggregator()
	for number := uint64(1); now <= completeAfter; number++ {
		now += ReportInterval
		home.TakeReport(Report{Gateway: 1, Number: number, BeginsPerSecond: 4, Inflight: Loads{hostA: 1}}, now)
	}
	return home, now
}

func TestAHomeAddsUpGatewaysAndOtherHomes(t *testing.T) {
	home, now := settled(t)
	home.TakeZoneLoad(ZoneLoad{Home: 9, Number: 1, Address: "b", BeginsPerSecond: 100, Inflight: Loads{hostA: 5, hostB: 2}}, now)
	got := home.TakeReport(Report{Gateway: 2, Number: 1, BeginsPerSecond: 6, Inflight: Loads{hostB: 3}}, now)
	if want := (Loads{hostA: 6, hostB: 5}); !maps.Equal(got.Inflight, want) || got.BeginsPerSecond != 110 || !got.Complete || got.Number != 1 {
		t.Fatalf("%+v, not %v", got, want)
	}
	told, active := home.ZoneLoad(7, "a", now)
	if want := (Loads{hostA: 1, hostB: 3}); !active || !maps.Equal(told.Inflight, want) || told.BeginsPerSecond != 10 {
		t.Fatalf("the other homes are told %+v, not %v", told, want)
	}
	if heard := home.HeardHomes(now); len(heard) != 1 || heard[0] != "b" {
		t.Fatalf("heard %v", heard)
	}
}

func TestAReportThatWasOvertakenChangesNothing(t *testing.T) {
	home, now := settled(t)
	home.TakeReport(Report{Gateway: 2, Number: 5, Inflight: Loads{hostB: 3}}, now)
	late := home.TakeReport(Report{Gateway: 2, Number: 4, Inflight: Loads{hostB: 9}}, now)
	if late.Inflight[hostB] != 3 || late.Number != 5 {
		t.Fatalf("%+v", late)
	}
	home.TakeZoneLoad(ZoneLoad{Home: 9, Number: 5, Inflight: Loads{hostB: 1}}, now)
	home.TakeZoneLoad(ZoneLoad{Home: 9, Number: 4, Inflight: Loads{hostB: 9}}, now)
	if got := home.TakeReport(Report{Gateway: 2, Number: 6}, now); got.Inflight[hostB] != 1 {
		t.Fatalf("%+v", got)
	}
}

// A gateway that died, or a home of another zone, is forgotten after a second, and what it had in flight with it.
func TestWhatIsSilentIsDropped(t *testing.T) {
	home, now := settled(t)
	home.TakeReport(Report{Gateway: 2, Number: 1, BeginsPerSecond: 6, Inflight: Loads{hostB: 3}}, now)
	home.TakeZoneLoad(ZoneLoad{Home: 9, Number: 1, Inflight: Loads{hostB: 2}}, now)
	now += sourceTimeout
	if got := home.TakeReport(Report{Gateway: 1, Number: 100, Inflight: Loads{hostA: 1}}, now); got.Inflight[hostB] != 5 {
		t.Fatalf("dropped too soon: %+v", got)
	}
	now++
	got := home.TakeReport(Report{Gateway: 1, Number: 101, BeginsPerSecond: 4, Inflight: Loads{hostA: 1}}, now)
	if want := (Loads{hostA: 1}); !maps.Equal(got.Inflight, want) || got.BeginsPerSecond != 4 || len(home.HeardHomes(now)) != 0 {
		t.Fatalf("%+v", got)
	}
	now += sourceTimeout + 1
	if _, active := home.ZoneLoad(7, "a", now); active {
		t.Fatal("a home without gateways tells others of its zone")
	}
}

// A home that was started again, or that took the place of another, says that it may not have heard all yet.
func TestAHomeThatHasJustBegunIsNotComplete(t *testing.T) {
	home := NewAggregator()
	home.TakeZoneLoad(ZoneLoad{Home: 9, Number: 1, Inflight: Loads{hostA: 5}}, 100_000)
	if got := home.TakeReport(Report{Gateway: 1, Number: 1}, 100_000); got.Complete {
		t.Fatal("complete at once")
	}
	if got := home.TakeReport(Report{Gateway: 1, Number: 2}, 100_000+completeAfter); !got.Complete {
		t.Fatal("never complete")
	}
}

// A placed request counts at once, and not twice when its gateway reports it; one that came to nothing is taken off by the report.
func TestAPlacementCountsUntilItIsReported(t *testing.T) {
	home, now := settled(t)
	if !home.MayPlace(1, now) || home.MayPlace(2, now) {
		t.Fatal("a gateway that does not report here is served")
	}
	home.Place(1, 1, hostB)
	home.Place(1, 2, hostB)
	home.Place(1, 3, hostB)
	home.Place(2, 1, hostB) // not known
	if got := home.Inflight(hostB); got != 3 {
		t.Fatalf("%d at the host", got)
	}
	home.TakeReport(Report{Gateway: 1, Number: 100, Placed: 2, Inflight: Loads{hostB: 1}}, now) // the second came to nothing
	if got := home.Inflight(hostB); got != 2 {
		t.Fatalf("%d at the host after a report that counts two of three", got)
	}
	home.TakeReport(Report{Gateway: 1, Number: 101, Placed: 3, Inflight: Loads{hostB: 2}}, now)
	if got := home.Inflight(hostB); got != 2 {
		t.Fatalf("%d at the host after a report of all", got)
	}
	home.Place(1, 4, hostA)
	now += sourceTimeout + 1
	if home.MayPlace(1, now) || home.Inflight(hostA) != 0 {
		t.Fatalf("a silent gateway's placements stay: %d", home.Inflight(hostA))
	}
}

func TestAGatewayTakesItsOwnRequestsOff(t *testing.T) {
	e := NewEstimator(3)
	first := e.NextReport(Loads{hostA: 2}, 1, 0)
	e.NextReport(Loads{hostA: 4}, 1, 0)
	totals := Totals{Number: first.Number, Complete: true, Inflight: Loads{hostA: 5, hostB: 1}}
	others, known := e.Others(totals)
	if want := (Loads{hostA: 3, hostB: 1}); !known || !maps.Equal(others, want) {
		t.Fatalf("%v, not %v", others, want)
	}
	for range rememberedReports {
		e.NextReport(nil, 0, 0)
	}
	if _, known := e.Others(totals); known {
		t.Fatal("totals that count a report long past are believed")
	}
	if _, known := e.Others(Totals{Complete: true}); known {
		t.Fatal("totals that count no report are believed")
	}
	totals = Totals{Number: e.number, Inflight: Loads{hostA: 5}}
	if _, known := e.Others(totals); known {
		t.Fatal("totals that are not complete are believed")
	}
}

// Whatever is reported, lost, overtaken or silent in whatever order, a home's sums are those of the newest reports that it has.
func TestSumsAreThoseOfTheNewestReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		home := NewAggregator()
		now := int64(1)
		newest := map[uint64]Report{}
		heardAt := map[uint64]int64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += rapid.Int64Range(0, 400).Draw(rt, "pause")
			r := Report{
				Gateway: rapid.Uint64Range(1, 4).Draw(rt, "gateway"), Number: rapid.Uint64Range(1, 50).Draw(rt, "number"),
				Inflight: Loads{HostKey(rapid.Uint32Range(1, 3).Draw(rt, "host")): rapid.Uint16Range(1, 9).Draw(rt, "count")},
			}
			for id, at := range heardAt {
				if now-at > sourceTimeout {
					delete(newest, id)
					delete(heardAt, id)
				}
			}
			if r.Number > newest[r.Gateway].Number {
				newest[r.Gateway] = r
				heardAt[r.Gateway] = now
			}
			want := Loads{}
			for _, each := range newest {
				want.add(each.Inflight)
			}
			if got := home.TakeReport(r, now); !maps.Equal(got.Inflight, want) {
				rt.Fatalf("at %d: %v, not %v", now, got.Inflight, want)
			}
		}
	})
}

func storesIn(zones ...string) map[uint64]directory.Store {
	stores := map[uint64]directory.Store{}
	for i, zone := range zones {
		id := uint64(100 + i)
		stores[id] = directory.Store{Identity: id, Zone: zone, Address: fmt.Sprint(zone, "-", i)}
	}
	return stores
}

func TestEveryZoneHasAHome(t *testing.T) {
	stores := storesIn("a", "a", "b", "a", "b", "c")
	for zone, want := range map[string]int{"a": 3, "b": 2, "c": 1} {
		homes := Homes(stores, zone)
		if len(homes) != want {
			t.Errorf("zone %s: %v", zone, homes)
		}
		for _, home := range homes {
			if home[:1] != zone {
				t.Errorf("zone %s has a home in another: %s", zone, home)
			}
		}
	}
	if without, again := Homes(stores, "without stores"), Homes(stores, "without stores"); len(without) == 0 || without[0] != again[0] {
		t.Errorf("a zone without stores: %v, %v", without, again)
	}
	if homes := Homes(nil, "a"); len(homes) != 0 {
		t.Errorf("without any store: %v", homes)
	}
	self := Homes(stores, "b")[0]
	if peers := PeerHomes(stores, self); len(peers) != 2 || peers[0] != Homes(stores, "a")[0] || peers[1] != Homes(stores, "c")[0] {
		t.Errorf("the home of b tells %v", peers)
	}
}
