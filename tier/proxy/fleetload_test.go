package proxy

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/fleetload"
	"otterseam/tier/rpc"
)

// stubHome stands in for the home of a zone.
type stubHome struct {
	address string

	mu       sync.Mutex // guards what follows
	answer   func(rpc.Message)
	reports  []fleetload.Report
	requests []fleetload.PlaceRequest
}

func startStubHome(t *testing.T, answer func(rpc.Message)) *stubHome {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	h := &stubHome{address: listener.Addr().String(), answer: answer}
	go rpc.Serve(listener, h.handle)
	return h
}

func (h *stubHome) handle(message rpc.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if message.Kind == fleetload.KindReport {
		report, err := fleetload.DecodeReport(message.Payload)
		if err != nil {
			panic(err)
		}
		h.reports = append(h.reports, report)
		message.Answer(codes.OK, fleetload.Totals{Number: report.Number, Complete: true, BeginsPerSecond: 40}.Encode())
		return
	}
	request, err := fleetload.DecodePlaceRequest(message.Payload)
	if err != nil {
		panic(err)
	}
	h.requests = append(h.requests, request)
	h.answer(message)
}

func (h *stubHome) lastReport() fleetload.Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reports[len(h.reports)-1]
}

func (h *stubHome) placements() []fleetload.PlaceRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]fleetload.PlaceRequest(nil), h.requests...)
}

// answerHost answers with a host.
func answerHost(id string) func(rpc.Message) {
	return func(message rpc.Message) {
		message.Answer(codes.OK, fleetload.PlaceResponse{Host: fleetload.KeyOf(id)}.Encode())
	}
}

// newPlacedProxy is a proxy with three hosts, none of which is ever called, that has heard from its home.
func newPlacedProxy(t *testing.T, home *stubHome) *Proxy {
	t.Helper()
	g := newTestProxy(t)
	for range 3 {
		g.registerAddress("127.0.0.1:1")
	}
	store := directory.Store{Identity: 5, Zone: "z", Address: home.address}
	g.proxy.view.Put(feed.SectionStore, directory.StoreKey(5), 1, store.Encode())
	g.proxy.loads.update(g.proxy.view, []feed.Item{{Section: feed.SectionStore}})
	g.proxy.loads.exchange(t.Context())
	if !g.proxy.hosts.knowsFleet(time.Now()) {
		t.Fatal("the totals of the home were not taken")
	}
	return g.proxy
}

// The home's host is taken and counted; what a request has tried, and what fails here, is not wanted. The next report tells that the
// placement is counted.
func TestTheHomePlacesRequests(t *testing.T) {
	home := startStubHome(t, answerHost("host-2"))
	p := newPlacedProxy(t, home)
	p.hosts.byID["host-3"].RecordConnectionFailure(time.Now())
	host := p.chooseHost(t.Context(), "hosts", "host-1", map[string]bool{"host-1": true})
	if host == nil || host.ID != "host-2" || host.Inflight() != 1 {
		t.Fatalf("%+v", host)
	}
	asked := home.placements()[0]
	if asked.Placement != 1 || asked.Service != "hosts" || asked.Preferred != fleetload.KeyOf("host-1") || len(asked.Avoid) != 2 {
		t.Fatalf("asked %+v", asked)
	}
	p.loads.exchange(t.Context())
	if report := home.lastReport(); report.Placed != 1 || report.Inflight[host.key] != 1 || report.Gateway != asked.Gateway {
		t.Fatalf("reported %+v", report)
	}
}

// A placement under way is not told to be counted, though later ones are.
func TestAPlacementUnderWayIsNotReported(t *testing.T) {
	home := startStubHome(t, answerHost("host-2"))
	p := newPlacedProxy(t, home)
	first := p.loads.beginPlacement()
	p.chooseHost(t.Context(), "hosts", "", nil)
	if placed := p.loads.placed(); placed != first-1 {
		t.Fatalf("placements up to %d are told to be counted", placed)
	}
	p.loads.endPlacement(first)
	if placed := p.loads.placed(); placed != first+1 {
		t.Fatalf("placements up to %d are told to be counted", placed)
	}
}

// Whatever the home does, a request gets a host; a home that is silent is not asked again for a while, one that can't tell is.
func TestWithoutAHomeTheProxyChooses(t *testing.T) {
	for name, test := range map[string]struct {
		answer     func(rpc.Message)
		askedAgain bool
	}{
		"it is silent":                   {func(rpc.Message) {}, false},
		"it can't tell":                  {func(m rpc.Message) { m.Answer(codes.NoHost, nil) }, true},
		"it is of an older version":      {func(m rpc.Message) { m.Answer(codes.Malformed, nil) }, false},
		"its answer is cut short":        {func(m rpc.Message) { m.Answer(codes.OK, []byte{1}) }, true},
		"it names a host that is gone":   {answerHost("host-9"), true},
		"it names a host that was tried": {answerHost("host-1"), true},
	} {
		t.Run(name, func(t *testing.T) {
			home := startStubHome(t, test.answer)
			p := newPlacedProxy(t, home)
			tried := map[string]bool{"host-1": true}
			for range 2 {
				if host := p.chooseHost(t.Context(), "hosts", "", tried); host == nil || host.ID == "host-1" {
					t.Fatalf("%+v", host)
				}
			}
			if askedAgain := len(home.placements()) == 2; askedAgain != test.askedAgain {
				t.Fatalf("asked %d times", len(home.placements()))
			}
			if placed := p.loads.placed(); placed != uint64(len(home.placements())) {
				t.Fatalf("placements up to %d of %d have ended", placed, len(home.placements()))
			}
		})
	}
}

// A proxy that has heard nothing of the fleet for a while chooses by itself.
func TestOldTotalsAreNotUsed(t *testing.T) {
	p := newPlacedProxy(t, startStubHome(t, answerHost("host-2")))
	if p.hosts.knowsFleet(time.Now().Add(totalsTrust + time.Millisecond)) {
		t.Fatal("old totals are used")
	}
}

// A client that leaves while its request is being placed is no fault of the home.
func TestADisconnectDuringAPlacementBlamesNobody(t *testing.T) {
	p := newPlacedProxy(t, startStubHome(t, func(rpc.Message) {}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.loads.place(ctx, "hosts", "", nil)
	if p.loads.home(time.Now()) == "" {
		t.Fatal("the home is passed over")
	}
}

// The rate of requests follows what is sent, and is smoothed over about a second.
func TestTheRateOfRequestsIsReported(t *testing.T) {
	var f fleetKnowledge
	now := time.Now()
	f.report(now)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		f.begins = 5
		f.report(now)
	}
	f.begins = 5
	if rate := f.report(now.Add(100 * time.Millisecond)); rate != 50 {
		t.Fatalf("%d a second", rate)
	}
}
