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

func TestTruncatedMessagesAreRejected(t *testing.T) {
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
					t.Fatalf("a message truncated to %d of %d bytes is decoded", n, len(test.encoded))
				}
			}
		})
	}
}

const (
	hostA HostKey = 1
	hostB HostKey = 2
)

// completeHome returns a home whose totals are complete, after reports of one gateway with one request at host A.
func completeHome(t *testing.T) (home *Aggregator, now int64) {
	t.Helper()
	home = NewAggregator()
	for number := uint64(1); now <= completeAfter; number++ {
		now += ReportInterval
		home.TakeReport(Report{Gateway: 1, Number: number, BeginsPerSecond: 4, Inflight: Loads{hostA: 1}}, now)
	}
	return home, now
}

func TestHomeSumsGatewaysAndOtherHomes(t *testing.T) {
	home, now := completeHome(t)
	home.TakeZoneLoad(ZoneLoad{Home: 9, Number: 1, Address: "b", BeginsPerSecond: 100, Inflight: Loads{hostA: 5, hostB: 2}}, now)
	got := home.TakeReport(Report{Gateway: 2, Number: 1, BeginsPerSecond: 6, Inflight: Loads{hostB: 3}}, now)
	if want := (Loads{hostA: 6, hostB: 5}); !maps.Equal(got.Inflight, want) || got.BeginsPerSecond != 110 || !got.Complete || got.Number != 1 {
		t.Fatalf("totals are %+v, want %v", got, want)
	}
	sent, active := home.ZoneLoad(7, "a", now)
	if want := (Loads{hostA: 1, hostB: 3}); !active || !maps.Equal(sent.Inflight, want) || sent.BeginsPerSecond != 10 {
		t.Fatalf("the zone load for other homes is %+v, want %v", sent, want)
	}
	if recent := home.HeardHomes(now); len(recent) != 1 || recent[0] != "b" {
		t.Fatalf("homes with a recent zone total: %v", recent)
	}
}

func TestOvertakenMessagesAreDropped(t *testing.T) {
	home, now := completeHome(t)
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

// The load of a gateway or of another home is dropped once its source has been silent for more than a second.
func TestSilentSourcesAreDropped(t *testing.T) {
	home, now := completeHome(t)
	home.TakeReport(Report{Gateway: 2, Number: 1, BeginsPerSecond: 6, Inflight: Loads{hostB: 3}}, now)
	home.TakeZoneLoad(ZoneLoad{Home: 9, Number: 1, Inflight: Loads{hostB: 2}}, now)
	now += sourceTimeout
	if got := home.TakeReport(Report{Gateway: 1, Number: 100, Inflight: Loads{hostA: 1}}, now); got.Inflight[hostB] != 5 {
		t.Fatalf("the load was dropped too early: %+v", got)
	}
	now++
	got := home.TakeReport(Report{Gateway: 1, Number: 101, BeginsPerSecond: 4, Inflight: Loads{hostA: 1}}, now)
	if want := (Loads{hostA: 1}); !maps.Equal(got.Inflight, want) || got.BeginsPerSecond != 4 || len(home.HeardHomes(now)) != 0 {
		t.Fatalf("%+v", got)
	}
	now += sourceTimeout + 1
	if _, active := home.ZoneLoad(7, "a", now); active {
		t.Fatal("a home without gateways has a zone load to send")
	}
}

// The totals of a home that was restarted, or that replaced another home, are incomplete until all gateways have had time to report.
func TestNewHomeIsNotComplete(t *testing.T) {
	home := NewAggregator()
	home.TakeZoneLoad(ZoneLoad{Home: 9, Number: 1, Inflight: Loads{hostA: 5}}, 100_000)
	if got := home.TakeReport(Report{Gateway: 1, Number: 1}, 100_000); got.Complete {
		t.Fatal("the totals are complete at the first report")
	}
	if got := home.TakeReport(Report{Gateway: 1, Number: 2}, 100_000+completeAfter); !got.Complete {
		t.Fatal("the totals are incomplete after completeAfter")
	}
}

// A placed request counts at once and is not counted twice when its gateway reports it. A placement that was not used stops counting
// with that report.
func TestPlacementCountsUntilItIsReported(t *testing.T) {
	home, now := completeHome(t)
	if !home.MayPlace(1, now) || home.MayPlace(2, now) {
		t.Fatal("MayPlace is wrong for a gateway that reports to this home or for one that does not")
	}
	home.Place(1, 1, hostB)
	home.Place(1, 2, hostB)
	home.Place(1, 3, hostB)
	home.Place(2, 1, hostB) // gateway 2 is unknown here
	if got := home.Inflight(hostB); got != 3 {
		t.Fatalf("%d requests in flight at the host", got)
	}
	home.TakeReport(Report{Gateway: 1, Number: 100, Placed: 2, Inflight: Loads{hostB: 1}}, now) // placement 2 was not used
	if got := home.Inflight(hostB); got != 2 {
		t.Fatalf("%d requests in flight at the host after a report that covers two of three placements", got)
	}
	home.TakeReport(Report{Gateway: 1, Number: 101, Placed: 3, Inflight: Loads{hostB: 2}}, now)
	if got := home.Inflight(hostB); got != 2 {
		t.Fatalf("%d requests in flight at the host after a report that covers all placements", got)
	}
	home.Place(1, 4, hostA)
	now += sourceTimeout + 1
	if home.MayPlace(1, now) || home.Inflight(hostA) != 0 {
		t.Fatalf("placements of a silent gateway still count: %d", home.Inflight(hostA))
	}
}

func TestEstimatorSubtractsOwnRequests(t *testing.T) {
	e := NewEstimator(3)
	first := e.NextReport(Loads{hostA: 2}, 1, 0)
	e.NextReport(Loads{hostA: 4}, 1, 0)
	totals := Totals{Number: first.Number, Complete: true, Inflight: Loads{hostA: 5, hostB: 1}}
	others, known := e.Others(totals)
	if want := (Loads{hostA: 3, hostB: 1}); !known || !maps.Equal(others, want) {
		t.Fatalf("load of the other gateways is %v, want %v", others, want)
	}
	for range keptReports {
		e.NextReport(nil, 0, 0)
	}
	if _, known := e.Others(totals); known {
		t.Fatal("totals that count a report no longer kept are used")
	}
	if _, known := e.Others(Totals{Complete: true}); known {
		t.Fatal("totals that count no report are used")
	}
	totals = Totals{Number: e.number, Inflight: Loads{hostA: 5}}
	if _, known := e.Others(totals); known {
		t.Fatal("incomplete totals are used")
	}
}

// The totals of a home are the sums of the newest reports that have not expired, in whatever order reports arrive, are lost or are
// overtaken.
func TestTotalsAreTheSumOfTheNewestReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		home := NewAggregator()
		now := int64(1)
		newest := map[uint64]Report{}
		receivedAt := map[uint64]int64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += rapid.Int64Range(0, 400).Draw(rt, "pause")
			r := Report{
				Gateway: rapid.Uint64Range(1, 4).Draw(rt, "gateway"), Number: rapid.Uint64Range(1, 50).Draw(rt, "number"),
				Inflight: Loads{HostKey(rapid.Uint32Range(1, 3).Draw(rt, "host")): rapid.Uint16Range(1, 9).Draw(rt, "count")},
			}
			for id, at := range receivedAt {
				if now-at > sourceTimeout {
					delete(newest, id)
					delete(receivedAt, id)
				}
			}
			if r.Number > newest[r.Gateway].Number {
				newest[r.Gateway] = r
				receivedAt[r.Gateway] = now
			}
			want := Loads{}
			for _, each := range newest {
				want.add(each.Inflight)
			}
			if got := home.TakeReport(r, now); !maps.Equal(got.Inflight, want) {
				rt.Fatalf("at %d: totals are %v, want %v", now, got.Inflight, want)
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
			t.Errorf("homes of zone %s: %v", zone, homes)
		}
		for _, home := range homes {
			if home[:1] != zone {
				t.Errorf("zone %s has a home in another zone: %s", zone, home)
			}
		}
	}
	if without, again := Homes(stores, "without stores"), Homes(stores, "without stores"); len(without) == 0 || without[0] != again[0] {
		t.Errorf("homes of a zone without stores: %v, %v", without, again)
	}
	if homes := Homes(nil, "a"); len(homes) != 0 {
		t.Errorf("homes without any store: %v", homes)
	}
	self := Homes(stores, "b")[0]
	if peers := PeerHomes(stores, self); len(peers) != 2 || peers[0] != Homes(stores, "a")[0] || peers[1] != Homes(stores, "c")[0] {
		t.Errorf("peers of the home of b: %v", peers)
	}
}
