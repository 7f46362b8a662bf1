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
	// loadReportTimeout is the timeout of a report to the home of the zone.
	loadReportTimeout = 300 * time.Millisecond
	// placeTimeout is the maximum time for which a request waits for the home to choose its host.
	placeTimeout = 40 * time.Millisecond
	// avoidErrorRate is the error rate, as observed by this proxy, above which the home is asked to avoid a host.
	avoidErrorRate = 0.1
	// homeAvoidTime is the time for which a home that did not answer is not used.
	homeAvoidTime = 3 * time.Second
	// rateSmoothingFactor is the weight of the newest interval in the smoothed request rate.
	rateSmoothingFactor = 0.15
	// totalsMaxAge is the maximum age of the fleet's totals. Older ones are not used.
	totalsMaxAge = fleetload.TotalsTrust * time.Millisecond
)

// fleetRates contains the request rates of this proxy and of the fleet. The lock of hostTable guards it.
type fleetRates struct {
	sent          int     // requests sent to hosts since intervalStart
	ownRate       float64 // requests of this proxy per second
	totalRate     float64 // requests of all gateways per second
	totalRateAt   time.Time
	intervalStart time.Time // time of the last report
}

// requestsPerSecond returns the number of requests that all gateways send per second, or 0 if the totals are too old.
func (f *fleetRates) requestsPerSecond(now time.Time) float64 {
	if now.Sub(f.totalRateAt) > totalsMaxAge {
		return 0
	}
	return max(f.totalRate, f.ownRate, 1)
}

// endInterval ends a report interval and returns the request rate of this proxy.
func (f *fleetRates) endInterval(now time.Time) uint32 {
	if elapsed := now.Sub(f.intervalStart).Seconds(); !f.intervalStart.IsZero() && elapsed > 0 {
		f.ownRate += rateSmoothingFactor * (float64(f.sent)/elapsed - f.ownRate)
	}
	f.sent = 0
	f.intervalStart = now
	return uint32(f.ownRate + 0.5)
}

// loadExchange reports this proxy's requests in flight to the home of its zone, the store machine that aggregates the reports, and
// receives the totals of the fleet. It also has the home choose hosts for requests.
type loadExchange struct {
	zone      string
	hosts     *hostTable
	clients   *rpc.Clients
	estimator *fleetload.Estimator // used only by run, except for its gateway ID

	mu          sync.Mutex           // guards the fields below
	homes       []string             // in order of preference
	avoidUntil  map[string]time.Time // by home that did not answer
	placements  uint64
	outstanding map[uint64]bool // placements whose request is not yet counted as in flight here
}

func newLoadExchange(zone string, hosts *hostTable, clients *rpc.Clients) *loadExchange {
	return &loadExchange{
		zone: zone, hosts: hosts, clients: clients, estimator: fleetload.NewEstimator(rand.Uint64() | 1),
		avoidUntil: map[string]time.Time{}, outstanding: map[uint64]bool{},
	}
}

// update applies changes of the store machines in the view.
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

// run exchanges loads at each report interval until the context ends.
func (x *loadExchange) run(ctx context.Context) {
	periodic.Run(ctx, loadReportInterval, func() { x.exchange(ctx) })
}

// exchange sends one report and applies the totals in the answer.
func (x *loadExchange) exchange(ctx context.Context) {
	placedUpTo := x.placedUpTo()
	inflight, rate := x.hosts.reportLoad(time.Now())
	home := x.home(time.Now())
	if home == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	report := x.estimator.NextReport(inflight, rate, placedUpTo)
	answer, err := x.clients.To(home).Call(call, fleetload.KindReport, report.Encode())
	if err != nil {
		x.avoidHome(home)
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

// avoidHome excludes a home for homeAvoidTime.
func (x *loadExchange) avoidHome(home string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.avoidUntil[home] = time.Now().Add(homeAvoidTime)
}

// placedUpTo returns the highest number up to which every placement is counted as in flight here or has ended.
func (x *loadExchange) placedUpTo() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	placedUpTo := x.placements
	for number := range x.outstanding {
		placedUpTo = min(placedUpTo, number-1)
	}
	return placedUpTo
}

// beginPlacement registers a placement and returns its number.
func (x *loadExchange) beginPlacement() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.placements++
	x.outstanding[x.placements] = true
	return x.placements
}

// endPlacement ends a placement: its request is counted as in flight, or no host was chosen.
func (x *loadExchange) endPlacement(number uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.outstanding, number)
}

// place asks the home to choose the host of a request and counts the request there. It returns nil if the home cannot choose, or if
// this proxy cannot use the chosen host.
func (x *loadExchange) place(ctx context.Context, service, preferred string, tried map[string]bool) *upstreamHost {
	home := x.home(time.Now())
	if home == "" || !x.hosts.hasFleetTotals(time.Now()) {
		return nil
	}
	number := x.beginPlacement()
	defer x.endPlacement(number)
	request := fleetload.PlaceRequest{
		Gateway: x.estimator.Gateway(), Placement: number, Service: service, Avoid: x.hosts.hostsToAvoid(service, tried, time.Now()),
	}
	if preferred != "" {
		request.Preferred = fleetload.KeyOf(preferred)
	}
	call, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	answer, err := x.clients.To(home).Call(call, fleetload.KindPlace, request.Encode())
	if err != nil {
		if !errors.Is(err, codes.NoHost) && ctx.Err() == nil {
			x.avoidHome(home)
		}
		return nil
	}
	response, err := fleetload.DecodePlaceResponse(answer)
	if err != nil {
		return nil
	}
	return x.hosts.chooseByKey(service, response.Host, tried)
}

// home returns the first home that is not excluded, or an empty string if there is none.
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

// hasFleetTotals reports whether the totals of the fleet are recent enough to be used.
func (t *hostTable) hasFleetTotals(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.requestsPerSecond(now) > 0
}

// hostsToAvoid returns the hosts to which a request should not be sent: those that it has tried, and those that fail according to
// this proxy's observations.
func (t *hostTable) hostsToAvoid(service string, tried map[string]bool, now time.Time) []fleetload.HostKey {
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

// chooseByKey counts a request at the host that the home has chosen. It returns nil if this proxy cannot use the host.
func (t *hostTable) chooseByKey(service string, key fleetload.HostKey, tried map[string]bool) *upstreamHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range t.byService[service] {
		host := t.byID[known.ID]
		if host.key == key && !host.Draining && !tried[host.ID] {
			host.Begin()
			t.fleet.sent++
			return host
		}
	}
	return nil
}

// chooseHost chooses a host for a request and counts the request there. The home of the zone chooses, because it knows the requests in
// flight of all gateways. If it does not, this proxy chooses by its own observations. It returns nil if there is no host.
func (p *Proxy) chooseHost(ctx context.Context, service, preferred string, tried map[string]bool) *upstreamHost {
	if host := p.loads.place(ctx, service, preferred, tried); host != nil {
		return host
	}
	return p.hosts.choose(service, preferred, tried)
}

// reportLoad returns this proxy's requests in flight at each host, and its request rate per second.
func (t *hostTable) reportLoad(now time.Time) (fleetload.Loads, uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := fleetload.Loads{}
	for _, host := range t.byID {
		if inflight := host.Inflight(); inflight > 0 {
			loads[host.key] += uint16(min(inflight, 1<<15))
		}
	}
	return loads, t.fleet.endInterval(now)
}

// updateOthers sets the other gateways' requests in flight at each host, and the request rate of the fleet.
func (t *hostTable) updateOthers(others fleetload.Loads, requestsPerSecond uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, host := range t.byID {
		host.UpdateOthers(int(others[host.key]), now)
	}
	t.fleet.totalRate = float64(requestsPerSecond)
	t.fleet.totalRateAt = now
}
