package fleetload

const (
	// ReportInterval is how often a gateway reports, and a home tells the others, in milliseconds.
	ReportInterval = 150
	// sourceTimeout is how long a gateway or another home may be silent before what it said is dropped.
	sourceTimeout = 1000
	// completeAfter is how long a home listens before its sums are complete: all gateways report in that time, and those whose home
	// has ended have found this one.
	completeAfter = 4 * ReportInterval
)

// source is what a gateway or another home said last.
type source struct {
	number   uint64
	heardAt  int64
	rate     uint32
	inflight Loads
	placed   []placement // that no report of the gateway counts yet, by number
	address  string      // of another home
}

// placement is a request that a home has placed.
type placement struct {
	number uint64
	host   HostKey
}

// Aggregator is the state of a home. Times are in milliseconds of any steady clock. It has a single owner.
type Aggregator struct {
	gateways map[uint64]source
	homes    map[uint64]source
	zoneSum  Loads // of gateways
	homesSum Loads // of homes
	since    int64 // when it began to listen, 0 while no gateway is known
	number   uint64
}

// NewAggregator makes the state of a home that has heard nothing yet.
func NewAggregator() *Aggregator {
	return &Aggregator{gateways: map[uint64]source{}, homes: map[uint64]source{}, zoneSum: Loads{}, homesSum: Loads{}}
}

// TakeReport takes a gateway's report and answers it.
func (a *Aggregator) TakeReport(r Report, now int64) Totals {
	a.expire(now)
	if len(a.gateways) == 0 {
		a.since = now
	}
	next := source{number: r.Number, heardAt: now, rate: r.BeginsPerSecond, inflight: r.Inflight}
	for _, placed := range a.gateways[r.Gateway].placed {
		if placed.number > r.Placed {
			next.placed = append(next.placed, placed)
		}
	}
	replace(a.gateways, a.zoneSum, r.Gateway, next)
	totals := Totals{
		Number: a.gateways[r.Gateway].number, Complete: now-a.since >= completeAfter,
		BeginsPerSecond: a.BeginsPerSecond(), Inflight: Loads{},
	}
	totals.Inflight.add(a.zoneSum)
	totals.Inflight.add(a.homesSum)
	return totals
}

// Inflight is how many requests are in flight at a host.
func (a *Aggregator) Inflight(host HostKey) int { return int(a.zoneSum[host]) + int(a.homesSum[host]) }

// BeginsPerSecond is how many requests all gateways send to hosts.
func (a *Aggregator) BeginsPerSecond() uint32 { return rateOf(a.gateways) + rateOf(a.homes) }

// MayPlace tells whether a gateway's requests can be placed: it reports here, and the sums are complete.
func (a *Aggregator) MayPlace(gateway uint64, now int64) bool {
	a.expire(now)
	_, known := a.gateways[gateway]
	return known && now-a.since >= completeAfter
}

// Place counts a request of a gateway at a host until the gateway reports it.
func (a *Aggregator) Place(gateway, number uint64, host HostKey) {
	from, known := a.gateways[gateway]
	if !known {
		return
	}
	from.placed = append(from.placed, placement{number: number, host: host})
	a.gateways[gateway] = from
	a.zoneSum.add(Loads{host: 1})
}

// TakeZoneLoad takes what another home said.
func (a *Aggregator) TakeZoneLoad(z ZoneLoad, now int64) {
	replace(a.homes, a.homesSum, z.Home, source{
		number: z.Number, heardAt: now, rate: z.BeginsPerSecond, inflight: z.Inflight, address: z.Address,
	})
}

// ZoneLoad is what to tell the other homes now. It is not active while no gateway reports here.
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

// HeardHomes lists the addresses of the homes heard lately.
func (a *Aggregator) HeardHomes(now int64) []string {
	a.expire(now)
	var addresses []string
	for _, home := range a.homes {
		addresses = append(addresses, home.address)
	}
	return addresses
}

// expire drops what was silent for too long.
func (a *Aggregator) expire(now int64) {
	expireSources(a.gateways, a.zoneSum, now)
	expireSources(a.homes, a.homesSum, now)
}

func expireSources(sources map[uint64]source, sum Loads, now int64) {
	for id, each := range sources {
		if now-each.heardAt > sourceTimeout {
			each.removeFrom(sum)
			delete(sources, id)
		}
	}
}

// replace puts what a source says in place of what it said before. Something that was overtaken on its way is dropped.
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
