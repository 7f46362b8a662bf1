package store

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/fleetload"
	"otterseam/tier/multigroup"
	"otterseam/tier/rpc"
)

// hostItem returns the view item of a host of the service chat.
func hostItem(id, zone string, draining bool) feed.Item {
	host := directory.Host{ID: id, Service: "chat", Address: "10.0.1.1:8000", Zone: zone, Slots: 4, Draining: draining}
	return feed.Item{Section: feed.SectionHost, Key: id, Revision: 1, Data: host.Encode()}
}

// startHome starts a home that has received enough reports of gateway 1 to place its requests, and returns a connection to the home.
func startHome(t *testing.T, items ...feed.Item) (*loadHome, *rpc.Conn) {
	t.Helper()
	home := newLoadHome(directory.Store{Zone: "a", Incarnation: 9}, feed.NewView(), rpc.NewClients(nil))
	home.update(items)
	now := multigroup.Now()
	for i := range int64(10) {
		home.aggregator.TakeReport(fleetload.Report{Gateway: 1, Number: uint64(i + 1)}, now-900+i*100)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &Server{loads: home}
	go rpc.Serve(listener, server.handle)
	conn, err := rpc.Dial(t.Context(), listener.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return home, conn
}

func place(t *testing.T, conn *rpc.Conn, request fleetload.PlaceRequest) (fleetload.HostKey, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	answer, err := conn.Call(ctx, fleetload.KindPlace, request.Encode())
	if err != nil {
		return 0, err
	}
	response, err := fleetload.DecodePlaceResponse(answer)
	if err != nil {
		t.Fatal(err)
	}
	return response.Host, nil
}

// A home spreads the requests of a zone evenly over its hosts, also before reports include these requests.
func TestHomeSpreadsRequestsEvenly(t *testing.T) {
	var items []feed.Item
	for i := range 5 {
		items = append(items, hostItem(fmt.Sprint("h", i), "a", false))
	}
	_, conn := startHome(t, append(items, hostItem("remote", "b", false), hostItem("leaving", "a", true))...)
	counts := map[fleetload.HostKey]int{}
	for i := range uint64(10) {
		host, err := place(t, conn, fleetload.PlaceRequest{Gateway: 1, Placement: i + 1, Service: "chat"})
		if err != nil {
			t.Fatal(err)
		}
		counts[host]++
	}
	for _, item := range items {
		if got := counts[fleetload.KeyOf(item.Key)]; got != 2 {
			t.Errorf("%s has %d of ten requests", item.Key, got)
		}
	}
}

func TestHandleRejectsPlaceRequests(t *testing.T) {
	_, conn := startHome(t, hostItem("h", "a", false), hostItem("leaving", "a", true))
	for name, request := range map[string]fleetload.PlaceRequest{
		"a gateway that does not report here": {Gateway: 2, Placement: 1, Service: "chat"},
		"a service without hosts":             {Gateway: 1, Placement: 1, Service: "other"},
		"all hosts avoided or draining":       {Gateway: 1, Placement: 1, Service: "chat", Avoid: []fleetload.HostKey{fleetload.KeyOf("h")}},
	} {
		t.Run(name, func(t *testing.T) {
			if host, err := place(t, conn, request); err != codes.NoHost { //nolint:errorlint // codes are returned unwrapped
				t.Fatalf("%d, %v", host, err)
			}
		})
	}
	for _, kind := range []rpc.Kind{fleetload.KindPlace, fleetload.KindReport} {
		if _, err := conn.Call(t.Context(), kind, []byte{1}); err != codes.Malformed { //nolint:errorlint // codes are returned unwrapped
			t.Errorf("kind %d, truncated: %v", kind, err)
		}
	}
}

func TestPreferredHostIsChosen(t *testing.T) {
	var items []feed.Item
	for i := range 6 {
		items = append(items, hostItem(fmt.Sprint("h", i), "a", false))
	}
	_, conn := startHome(t, append(items, hostItem("remote", "b", false))...)
	preferred := fleetload.KeyOf("remote")
	if host, err := place(t, conn, fleetload.PlaceRequest{Gateway: 1, Placement: 1, Service: "chat", Preferred: preferred}); err != nil || host != preferred {
		t.Fatalf("%d, %v", host, err)
	}
}

// A home does not choose a host that the view has ejected or removed, and chooses one that the view has added.
func TestHomeAppliesViewChanges(t *testing.T) {
	home, conn := startHome(t, hostItem("h0", "a", false), hostItem("h1", "a", false))
	chooseHost := func() fleetload.HostKey {
		host, err := place(t, conn, fleetload.PlaceRequest{Gateway: 1, Placement: 1, Service: "chat", Preferred: fleetload.KeyOf("h0")})
		if err != nil {
			t.Fatal(err)
		}
		return host
	}
	if chooseHost() != fleetload.KeyOf("h0") {
		t.Fatal("the preferred host was not chosen")
	}
	home.update([]feed.Item{{Section: feed.SectionEjection, Key: "h0", Revision: 2, Data: directory.EncodeEjectionDuration(60_000)}})
	if chooseHost() != fleetload.KeyOf("h1") {
		t.Fatal("an ejected host was chosen")
	}
	home.update([]feed.Item{{Section: feed.SectionHost, Key: "h1", Revision: 3, Deleted: true}, hostItem("h2", "a", false)})
	if chooseHost() != fleetload.KeyOf("h2") {
		t.Fatal("a removed host was chosen")
	}
}

// A home adds the zone total of another home to its own. A home without gateways sends no total.
func TestHomesExchangeZoneLoads(t *testing.T) {
	first, _ := startHome(t)
	second, conn := startHome(t)
	now := multigroup.Now()
	first.aggregator.TakeReport(fleetload.Report{Gateway: 1, Number: 50, BeginsPerSecond: 7, Inflight: fleetload.Loads{3: 4}}, now)
	load, active := first.aggregator.ZoneLoad(first.self.Incarnation+1, "first", now)
	if !active {
		t.Fatal("a home with a gateway is not active")
	}
	conn.Send(fleetload.KindZoneLoad, load.Encode())
	conn.Send(fleetload.KindZoneLoad, []byte{1}) // truncated, must be ignored
	answer, err := conn.Call(t.Context(), fleetload.KindReport, fleetload.Report{Gateway: 1, Number: 60}.Encode())
	if err != nil {
		t.Fatal(err)
	}
	totals, err := fleetload.DecodeTotals(answer)
	if err != nil || totals.Inflight[3] != 4 || totals.BeginsPerSecond != 7 || !totals.Complete {
		t.Fatalf("%+v, %v", totals, err)
	}
	if heard := second.aggregator.HeardHomes(multigroup.Now()); len(heard) != 1 || heard[0] != "first" {
		t.Fatalf("heard %v", heard)
	}
	idle := newLoadHome(directory.Store{}, feed.NewView(), rpc.NewClients(nil))
	idle.sendZoneLoad() // sends nothing
	if _, active := idle.aggregator.ZoneLoad(1, "", now); active {
		t.Fatal("a home without gateways is active")
	}
}
