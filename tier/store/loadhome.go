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

// loadHome aggregates the requests in flight of the gateways that chose this store machine as the home of their zone (package
// fleetload). Its state is not durable.
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

// update applies changes of the view.
func (h *loadHome) update(items []feed.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.placer.update(items, time.Now())
}

// handlePlace chooses a host for a request of a gateway that reports to this home, and counts the request as in flight at the host.
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

// handleReport adds a gateway's report of its requests in flight and answers with the totals of all gateways.
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

// handleZoneLoad adds the zone total of another home.
func (h *loadHome) handleZoneLoad(message rpc.Message) {
	load, err := fleetload.DecodeZoneLoad(message.Payload)
	if err != nil {
		return // a one-way message has no answer
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.aggregator.TakeZoneLoad(load, multigroup.Now())
}

// run periodically sends the zone total of this home to the other homes until the context is cancelled.
func (h *loadHome) run(ctx context.Context) {
	periodic.Run(ctx, zoneLoadInterval, h.sendZoneLoad)
}

// sendZoneLoad sends the zone total to the preferred homes of all zones, and to homes from which a total was received recently,
// since such a home may have replaced a preferred one.
func (h *loadHome) sendZoneLoad() {
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
