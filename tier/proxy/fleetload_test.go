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

// stubHome is a stub of the home of a zone.
type stubHome struct {
	address string

	mu       sync.Mutex // guards the fields below
	answer   func(rpc.Message)
	reports  []fleetload.Report
	requests []fleetload.PlaceRequest
}

func startStubHome(t *testing.T, answer func(rpc.Message)) *stubHome {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort())
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

// answerHost returns a handler that answers every placement with a host.
func answerHost(id string) func(rpc.Message) {
	return func(message rpc.Message) {
		message.Answer(codes.OK, fleetload.PlaceResponse{Host: fleetload.KeyOf(id)}.Encode())
	}
}

// newProxyWithHome returns a proxy with three hosts, to which no request is sent, that has received totals from its home.
func newProxyWithHome(t *testing.T, home *stubHome) *Proxy {
	t.Helper()
	g := newTestProxy(t)
	for range 3 {
		g.registerAddress("127.0.0.1:1")
	}
	store := directory.Store{Identity: 5, Zone: "z", Address: home.address}
	g.proxy.view.Put(feed.SectionStore, directory.StoreKey(5), 1, store.Encode())
	g.proxy.loads.update(g.proxy.view, []feed.Item{{Section: feed.SectionStore}})
	g.proxy.loads.exchange(t.Context())
	if !g.proxy.hosts.hasFleetTotals(time.Now()) {
		t.Fatal("the totals of the home were not applied")
	}
	return g.proxy
}

// A request is sent to the host that the home chooses, and counted there. The home is asked to avoid hosts that the request has tried
// and hosts that fail according to this proxy. The next report includes the placement.
func TestTheHomePlacesRequests(t *testing.T) {
	home := startStubHome(t, answerHost("host-2"))
	p := newProxyWithHome(t, home)
	p.hosts.byID["host-3"].RecordConnectionFailure(time.Now())
	host := p.chooseHost(t.Context(), "hosts", "host-1", map[string]bool{"host-1": true})
	if host == nil || host.ID != "host-2" || host.Inflight() != 1 {
		t.Fatalf("%+v", host)
	}
	sent := home.placements()[0]
	if sent.Placement != 1 || sent.Service != "hosts" || sent.Preferred != fleetload.KeyOf("host-1") || len(sent.Avoid) != 2 {
		t.Fatalf("sent the request %+v", sent)
	}
	p.loads.exchange(t.Context())
	if report := home.lastReport(); report.Placed != 1 || report.Inflight[host.key] != 1 || report.Gateway != sent.Gateway {
		t.Fatalf("reported %+v", report)
	}
}

// A pending placement is not reported as counted, even if a later one is.
func TestAPendingPlacementIsNotReported(t *testing.T) {
	home := startStubHome(t, answerHost("host-2"))
	p := newProxyWithHome(t, home)
	first := p.loads.beginPlacement()
	p.chooseHost(t.Context(), "hosts", "", nil)
	if placedUpTo := p.loads.placedUpTo(); placedUpTo != first-1 {
		t.Fatalf("placements up to %d are reported as counted", placedUpTo)
	}
	p.loads.endPlacement(first)
	if placedUpTo := p.loads.placedUpTo(); placedUpTo != first+1 {
		t.Fatalf("placements up to %d are reported as counted", placedUpTo)
	}
}

// If the home chooses no usable host, the proxy chooses one. It excludes a home that does not answer for a while, but not one that
// answers that it cannot choose.
func TestTheProxyChoosesAHostIfTheHomeDoesNot(t *testing.T) {
	for name, test := range map[string]struct {
		answer    func(rpc.Message)
		usedAgain bool
	}{
		"it does not answer":               {func(rpc.Message) {}, false},
		"it can't choose":                  {func(m rpc.Message) { m.Answer(codes.NoHost, nil) }, true},
		"it has an older version":          {func(m rpc.Message) { m.Answer(codes.Malformed, nil) }, false},
		"its answer is truncated":          {func(m rpc.Message) { m.Answer(codes.OK, []byte{1}) }, true},
		"it chooses an unknown host":       {answerHost("host-9"), true},
		"it chooses a host that was tried": {answerHost("host-1"), true},
	} {
		t.Run(name, func(t *testing.T) {
			home := startStubHome(t, test.answer)
			p := newProxyWithHome(t, home)
			tried := map[string]bool{"host-1": true}
			for range 2 {
				if host := p.chooseHost(t.Context(), "hosts", "", tried); host == nil || host.ID == "host-1" {
					t.Fatalf("%+v", host)
				}
			}
			if usedAgain := len(home.placements()) == 2; usedAgain != test.usedAgain {
				t.Fatalf("sent %d placements", len(home.placements()))
			}
			if placedUpTo := p.loads.placedUpTo(); placedUpTo != uint64(len(home.placements())) {
				t.Fatalf("placements up to %d of %d have ended", placedUpTo, len(home.placements()))
			}
		})
	}
}

// Totals older than totalsMaxAge are not used.
func TestOldTotalsAreNotUsed(t *testing.T) {
	p := newProxyWithHome(t, startStubHome(t, answerHost("host-2")))
	if p.hosts.hasFleetTotals(time.Now().Add(totalsMaxAge + time.Millisecond)) {
		t.Fatal("outdated totals are used")
	}
}

// A home is not excluded because a client disconnects during a placement.
func TestADisconnectDuringAPlacementDoesNotExcludeTheHome(t *testing.T) {
	p := newProxyWithHome(t, startStubHome(t, func(rpc.Message) {}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.loads.place(ctx, "hosts", "", nil)
	if p.loads.home(time.Now()) == "" {
		t.Fatal("the home is excluded")
	}
}

// The reported rate converges to the rate at which requests are sent. It is smoothed over about a second.
func TestTheRateOfRequestsIsReported(t *testing.T) {
	var f fleetRates
	now := time.Now()
	f.endInterval(now)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		f.sent = 5
		f.endInterval(now)
	}
	f.sent = 5
	if rate := f.endInterval(now.Add(100 * time.Millisecond)); rate != 50 {
		t.Fatalf("reported %d requests per second", rate)
	}
}
