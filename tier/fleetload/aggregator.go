package fleetload

const (
	// ReportInterval is the interval of a gateway's reports and of a home's messages to the other homes, in milliseconds.
	ReportInterval = 150
	// sourceTimeout is how long a gateway or another home may be silent before its last message is dropped, in milliseconds.
	sourceTimeout = 1000
	// completeAfter is how long after its first report a home considers its totals complete, in milliseconds. In that time all
	// gateways report, and gateways whose previous home has failed switch to this one.
	completeAfter = 4 * ReportInterval
)

// source is the content of the newest message from a gateway or another home.
type source struct {
	number     uint64
	receivedAt int64
	rate       uint32
	inflight   Loads
	placed     []placement // placements that no report of the gateway counts yet, by number
	address    string      // of the other home; empty for a gateway
}

// placement is a request for which this home chose the host.
type placement struct {
	number uint64
	host   HostKey
}

// Aggregator is the state of a home. Times are in milliseconds of a monotonic clock. It is not safe for concurrent use.
type Aggregator struct {
	gateways  map[uint64]source
	homes     map[uint64]source
	zoneSum   Loads // sum over gateways
	homesSum  Loads // sum over homes
	startedAt int64 // time of the first report; set again by a report that arrives while no gateway is known
	number    uint64
}

// NewAggregator returns the state of a home that has received no messages.
func NewAggregator() *Aggregator {
	return &Aggregator{gateways: map[uint64]source{}, homes: map[uint64]source{}, zoneSum: Loads{}, homesSum: Loads{}}
}

// TakeReport adds a gateway's report and returns the totals to answer it with.
func (a *Aggregator) TakeReport(r Report, now int64) Totals {
	a.expire(now)
	if len(a.gateways) == 0 {
		a.startedAt = now
	}
	next := source{number: r.Number, receivedAt: now, rate: r.BeginsPerSecond, inflight: r.Inflight}
	for _, placed := range a.gateways[r.Gateway].placed {
		if placed.number > r.Placed {
			next.placed = append(next.placed, placed)
		}
	}
	replace(a.gateways, a.zoneSum, r.Gateway, next)
	totals := Totals{
		Number: a.gateways[r.Gateway].number, Complete: now-a.startedAt >= completeAfter,
		BeginsPerSecond: a.BeginsPerSecond(), Inflight: Loads{},
	}
	totals.Inflight.add(a.zoneSum)
	totals.Inflight.add(a.homesSum)
	return totals
}

// Inflight returns the number of requests that all gateways have in flight at a host.
func (a *Aggregator) Inflight(host HostKey) int { return int(a.zoneSum[host]) + int(a.homesSum[host]) }

// BeginsPerSecond returns how many requests per second all gateways together send to hosts.
func (a *Aggregator) BeginsPerSecond() uint32 { return rateOf(a.gateways) + rateOf(a.homes) }

// MayPlace reports whether this home can place requests of a gateway: the gateway reports here, and the totals are complete.
func (a *Aggregator) MayPlace(gateway uint64, now int64) bool {
	a.expire(now)
	_, known := a.gateways[gateway]
	return known && now-a.startedAt >= completeAfter
}

// Place counts a request of a gateway as in flight at a host until the gateway's own reports cover it.
func (a *Aggregator) Place(gateway, number uint64, host HostKey) {
	from, known := a.gateways[gateway]
	if !known {
		return
	}
	from.placed = append(from.placed, placement{number: number, host: host})
	a.gateways[gateway] = from
	a.zoneSum.add(Loads{host: 1})
}

// TakeZoneLoad adds the zone total of another home.
func (a *Aggregator) TakeZoneLoad(z ZoneLoad, now int64) {
	replace(a.homes, a.homesSum, z.Home, source{
		number: z.Number, receivedAt: now, rate: z.BeginsPerSecond, inflight: z.Inflight, address: z.Address,
	})
}

// ZoneLoad returns the message to send to the other homes now. Its active result is false while no gateway reports to this home.
func (a *Aggregator) ZoneLoad(home uint64, address string, now int64) (load ZoneLoad, active bool) {
	a.expire(now)
	if len(a.gateways) == 0 {
		return ZoneLoad{}, false
	}
	a.number++
	load = ZoneLoad{Home: home, Number: a.number, Address: address, BeginsPerSecond: rateOf(a.gateways), Inflight: Loads{}}
	load.Inflight.add(a.zoneSum)
	return load, true
}

// HeardHomes returns the addresses of the homes that sent a zone total recently.
func (a *Aggregator) HeardHomes(now int64) []string {
	a.expire(now)
	var addresses []string
	for _, home := range a.homes {
		addresses = append(addresses, home.address)
	}
	return addresses
}

// expire drops the state of gateways and homes that have been silent for too long.
func (a *Aggregator) expire(now int64) {
	expireSources(a.gateways, a.zoneSum, now)
	expireSources(a.homes, a.homesSum, now)
}

func expireSources(sources map[uint64]source, sum Loads, now int64) {
	for id, each := range sources {
		if now-each.receivedAt > sourceTimeout {
			each.removeFrom(sum)
			delete(sources, id)
		}
	}
}

// replace replaces the state of a source by that of a newer message. A message that was overtaken by a newer one is dropped.
func replace(sources map[uint64]source, sum Loads, id uint64, next source) {
	last, known := sources[id]
	if known && next.number <= last.number {
		return
	}
	last.removeFrom(sum)
	next.addTo(sum)
	sources[id] = next
}

func (s source) addTo(sum Loads) {
	sum.add(s.inflight)
	for _, placed := range s.placed {
		sum.add(Loads{placed.host: 1})
	}
}

func (s source) removeFrom(sum Loads) {
	sum.subtract(s.inflight)
	for _, placed := range s.placed {
		sum.subtract(Loads{placed.host: 1})
	}
}

func rateOf(sources map[uint64]source) uint32 {
	total := uint32(0)
	for _, each := range sources {
		total += each.rate
	}
	return total
}
