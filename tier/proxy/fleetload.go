package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/fleetload"
	"otterseam/tier/periodic"
	"otterseam/tier/rpc"
)

const (
	loadReportInterval = fleetload.ReportInterval * time.Millisecond
	// loadReportTimeout is how long the home of the zone may take to answer a report.
	loadReportTimeout = 300 * time.Millisecond
	// placeTimeout is how long a request waits for the home to place it.
	placeTimeout = 40 * time.Millisecond
	// avoidErrorRate is the share of failures from which on a host is not wanted for what this proxy has seen.
	avoidErrorRate = 0.1
	// homeAvoidTime is how long a home that did not answer is passed over.
	homeAvoidTime = 3 * time.Second
	// beginRateGain is the weight of the newest interval in the rate of requests.
	beginRateGain = 0.15
	// totalsTrust is how long the sums of a home are used.
	totalsTrust = fleetload.TotalsTrust * time.Millisecond
)

// fleetKnowledge is what a proxy knows of the requests of all. The lock of hostTable guards it.
type fleetKnowledge struct {
	begins   int     // requests sent to hosts since the last report
	rate     float64 // of own requests, a second
	total    float64 // of all gateways' requests, a second
	knownAt  time.Time
	reportAt time.Time
}

// beginsPerSecond is how many requests all gateways send in a second, 0 if what they have in flight is not known.
func (f *fleetKnowledge) beginsPerSecond(now time.Time) float64 {
	if now.Sub(f.knownAt) > totalsTrust {
		return 0
	}
	return max(f.total, f.rate, 1)
}

// report ends an interval and returns the rate of own requests.
func (f *fleetKnowledge) report(now time.Time) uint32 {
	if elapsed := now.Sub(f.reportAt).Seconds(); !f.reportAt.IsZero() && elapsed > 0 {
		f.rate += beginRateGain * (float64(f.begins)/elapsed - f.rate)
	}
	f.begins = 0
	f.reportAt = now
	return uint32(f.rate + 0.5)
}

// loadExchange reports what this proxy has in flight to the home of its zone, and learns what all have.
type loadExchange struct {
	zone      string
	hosts     *hostTable
	clients   *rpc.Clients
	estimator *fleetload.Estimator // owned by run

	mu          sync.Mutex           // guards what follows
	homes       []string             // the preferred one first
	avoidUntil  map[string]time.Time // homes that did not answer
	placements  uint64
	outstanding map[uint64]bool // placements that are not counted in flight here yet
}

func newLoadExchange(zone string, hosts *hostTable, clients *rpc.Clients) *loadExchange {
	return &loadExchange{
		zone: zone, hosts: hosts, clients: clients, estimator: fleetload.NewEstimator(rand.Uint64() | 1),
		avoidUntil: map[string]time.Time{}, outstanding: map[uint64]bool{},
	}
}

// update follows the store machines in the view.
func (x *loadExchange) update(view *feed.View, items []feed.Item) {
	for _, item := range items {
		if item.Section == feed.SectionStore {
			homes := fleetload.Homes(directory.Stores(view), x.zone)
			x.mu.Lock()
			x.homes = homes
			x.mu.Unlock()
			return
		}
	}
}

// run exchanges load until the context ends.
func (x *loadExchange) run(ctx context.Context) {
	periodic.Run(ctx, loadReportInterval, func() { x.exchange(ctx) })
}

// exchange sends one report and takes the answer.
func (x *loadExchange) exchange(ctx context.Context) {
	placed := x.placed()
	inflight, rate := x.hosts.reportLoad(time.Now())
	home := x.home(time.Now())
	if home == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	report := x.estimator.NextReport(inflight, rate, placed)
	answer, err := x.clients.To(home).Call(call, fleetload.KindReport, report.Encode())
	if err != nil {
		x.avoid(home)
		return
	}
	totals, err := fleetload.DecodeTotals(answer)
	if err != nil {
		return
	}
	if others, known := x.estimator.Others(totals); known {
		x.hosts.updateOthers(others, totals.BeginsPerSecond, time.Now())
	}
}

// avoid passes a home over for a while.
func (x *loadExchange) avoid(home string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.avoidUntil[home] = time.Now().Add(homeAvoidTime)
}

// placed is the number up to which all placements are in flight here, or have ended.
func (x *loadExchange) placed() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	placed := x.placements
	for number := range x.outstanding {
		placed = min(placed, number-1)
	}
	return placed
}

// beginPlacement numbers a placement.
func (x *loadExchange) beginPlacement() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.placements++
	x.outstanding[x.placements] = true
	return x.placements
}

// endPlacement notes that a request is in flight, or will not be.
func (x *loadExchange) endPlacement(number uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.outstanding, number)
}

// place has the home choose the host of a request and counts the request there. It returns nil if the home can't tell, or tells what
// this proxy does not want.
func (x *loadExchange) place(ctx context.Context, service, preferred string, tried map[string]bool) *upstreamHost {
	home := x.home(time.Now())
	if home == "" || !x.hosts.knowsFleet(time.Now()) {
		return nil
	}
	number := x.beginPlacement()
	defer x.endPlacement(number)
	request := fleetload.PlaceRequest{
		Gateway: x.estimator.Gateway(), Placement: number, Service: service, Avoid: x.hosts.unwanted(service, tried, time.Now()),
	}
	if preferred != "" {
		request.Preferred = fleetload.KeyOf(preferred)
	}
	call, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	answer, err := x.clients.To(home).Call(call, fleetload.KindPlace, request.Encode())
	if err != nil {
		if !errors.Is(err, codes.NoHost) && ctx.Err() == nil {
			x.avoid(home)
		}
		return nil
	}
	response, err := fleetload.DecodePlaceResponse(answer)
	if err != nil {
		return nil
	}
	return x.hosts.take(service, response.Host, tried)
}

// home is the preferred home of those that answer; "" if there is none.
func (x *loadExchange) home(now time.Time) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, home := range x.homes {
		if !now.Before(x.avoidUntil[home]) {
			return home
		}
	}
	return ""
}

// knowsFleet tells whether the home has told lately what all gateways have in flight.
func (t *hostTable) knowsFleet(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.beginsPerSecond(now) > 0
}

// unwanted lists hosts that a request is not to be sent to: it was there already, or this proxy has seen them fail.
func (t *hostTable) unwanted(service string, tried map[string]bool, now time.Time) []fleetload.HostKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []fleetload.HostKey
	for _, host := range t.byService[service] {
		if tried[host.ID] || host.IsSuspect(now, avoidErrorRate) {
			keys = append(keys, fleetload.KeyOf(host.ID))
		}
	}
	return keys
}

// take counts a request at a host that was chosen elsewhere; it returns nil if this proxy can't use the host.
func (t *hostTable) take(service string, key fleetload.HostKey, tried map[string]bool) *upstreamHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range t.byService[service] {
		host := t.byID[known.ID]
		if host.key == key && !host.Draining && !tried[host.ID] {
			host.Begin()
			t.fleet.begins++
			return host
		}
	}
	return nil
}

// chooseHost takes a host for a request and counts the request there: by the home of the zone, which knows what all gateways have in
// flight, or without one by what this proxy knows. It returns nil if there is none.
func (p *Proxy) chooseHost(ctx context.Context, service, preferred string, tried map[string]bool) *upstreamHost {
	if host := p.loads.place(ctx, service, preferred, tried); host != nil {
		return host
	}
	return p.hosts.choose(service, preferred, tried)
}

// reportLoad returns what is in flight at each host, and how many requests are sent in a second.
func (t *hostTable) reportLoad(now time.Time) (fleetload.Loads, uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := fleetload.Loads{}
	for _, host := range t.byID {
		if inflight := host.Inflight(); inflight > 0 {
			loads[host.key] += uint16(min(inflight, 1<<15))
		}
	}
	return loads, t.fleet.report(now)
}

// updateOthers takes what the other gateways have in flight at each host.
func (t *hostTable) updateOthers(others fleetload.Loads, beginsPerSecond uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, host := range t.byID {
		host.UpdateOthers(int(others[host.key]), now)
	}
	t.fleet.total = float64(beginsPerSecond)
	t.fleet.knownAt = now
}
