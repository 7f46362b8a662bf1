package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/fleetload"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/rpc"
)

const zoneLoadInterval = fleetload.ReportInterval * time.Millisecond

// loadHome sums up what gateways have in flight, for those that chose this store machine as the home of their zone. It holds nothing
// that outlives the process.
type loadHome struct {
	self    directory.Store
	view    *feed.View
	clients *rpc.Clients

	mu         sync.Mutex // guards aggregator and placer
	aggregator *fleetload.Aggregator
	placer     *placer
}

func newLoadHome(self directory.Store, view *feed.View, clients *rpc.Clients) *loadHome {
	return &loadHome{
		self: self, view: view, clients: clients, aggregator: fleetload.NewAggregator(), placer: newPlacer(self.Zone),
	}
}

// update follows the view.
func (h *loadHome) update(items []feed.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.placer.update(items, time.Now())
}

// handlePlace chooses the host of a request of a gateway that reports here, and counts the request there.
func (h *loadHome) handlePlace(message rpc.Message) {
	request, err := fleetload.DecodePlaceRequest(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	host, found := h.place(request)
	if !found {
		message.Answer(codes.NoHost, nil)
		return
	}
	message.Answer(codes.OK, fleetload.PlaceResponse{Host: host}.Encode())
}

func (h *loadHome) place(request fleetload.PlaceRequest) (fleetload.HostKey, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.aggregator.MayPlace(request.Gateway, multigroup.Now()) {
		return 0, false
	}
	host, found := h.placer.place(request, h.aggregator, time.Now())
	if found {
		h.aggregator.Place(request.Gateway, request.Placement, host)
	}
	return host, found
}

// handleReport takes what a gateway has in flight and answers what all have.
func (h *loadHome) handleReport(message rpc.Message) {
	report, err := fleetload.DecodeReport(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	h.mu.Lock()
	totals := h.aggregator.TakeReport(report, multigroup.Now())
	h.mu.Unlock()
	message.Answer(codes.OK, totals.Encode())
}

// handleZoneLoad takes what another home said.
func (h *loadHome) handleZoneLoad(message rpc.Message) {
	load, err := fleetload.DecodeZoneLoad(message.Payload)
	if err != nil {
		return // a one-way message has no answer
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.aggregator.TakeZoneLoad(load, multigroup.Now())
}

// run tells the other homes what the gateways here have in flight, until the context ends.
func (h *loadHome) run(ctx context.Context) {
	periodic.Run(ctx, zoneLoadInterval, h.tellOthers)
}

// tellOthers tells the preferred homes of all zones and those that were heard, which may have taken the place of a preferred one.
func (h *loadHome) tellOthers() {
	now := multigroup.Now()
	h.mu.Lock()
	load, active := h.aggregator.ZoneLoad(h.self.Incarnation, h.self.Address, now)
	heard := h.aggregator.HeardHomes(now)
	h.mu.Unlock()
	if !active {
		return
	}
	peers := append(fleetload.PeerHomes(directory.Stores(h.view), h.self.Address), heard...)
	slices.Sort(peers)
	payload := load.Encode()
	for _, peer := range slices.Compact(peers) {
		h.clients.To(peer).Send(fleetload.KindZoneLoad, payload)
	}
}
