package placementsim

import (
	"otterseam/tier/balance"
	"otterseam/tier/fleetload"
)

// home is a store machine to which gateways of its zone may report.
type home struct {
	simulation *simulation
	zone       int
	identity   uint64
	aggregator *fleetload.Aggregator
	known      []*balance.Host
}

func (s *simulation) newHome(zone int, identity uint64) *home {
	return &home{simulation: s, zone: zone, identity: identity, aggregator: fleetload.NewAggregator(), known: s.knownHosts()}
}

// place chooses the host of a request by the requests in flight.
func (h *home) place() int {
	s := h.simulation
	for _, known := range h.known {
		known.UpdateOthers(h.aggregator.Inflight(fleetload.KeyOf(known.ID)), s.time())
	}
	chosen := balance.Choose(h.known, balance.Request{
		Zone: zoneName(h.zone), Random: s.random.Float64, FleetRequestRate: max(float64(h.aggregator.BeginsPerSecond()), 1), KnowsZone: true,
	}, s.time())
	return s.byKey[fleetload.KeyOf(chosen.ID)]
}

// hasFailed reports whether the home has stopped answering.
func (h *home) hasFailed() bool {
	s := h.simulation
	return s.HomesFailAt > 0 && s.queue.Now() >= s.HomesFailAt && h == s.homes[h.zone][0]
}

// startExchange starts the reports of the gateways and the exchange between homes, each after a random part of the interval.
func (s *simulation) startExchange() {
	for _, g := range s.gateways {
		s.queue.ScheduleAfter(s.random.Uniform(0, reportInterval), g.report)
	}
	for _, homes := range s.homes {
		for _, h := range homes {
			s.queue.ScheduleAfter(s.random.Uniform(0, reportInterval), h.sendZoneLoad)
		}
	}
}

// report sends one report to the home of the zone and applies the answer.
func (g *gateway) report() {
	s := g.simulation
	s.queue.ScheduleAfter(reportInterval, g.report)
	g.rate += beginRateGain * (float64(g.begins)/reportInterval - g.rate)
	g.begins = 0
	inflight := fleetload.Loads{}
	for _, known := range g.known {
		if n := known.Inflight(); n > 0 {
			inflight[fleetload.KeyOf(known.ID)] += uint16(n)
		}
	}
	target := g.home()
	if target == nil {
		return
	}
	report := g.estimator.NextReport(inflight, uint32(g.rate+0.5), g.answeredPlacements())
	s.messages++
	s.received += len(report.Encode())
	if target.hasFailed() {
		s.queue.ScheduleAfter(homeTimeout, func() { g.avoidUntil[target] = s.queue.Now() + homeAvoidTime })
		return
	}
	s.queue.ScheduleAfter(delayInZone, func() {
		totals := target.aggregator.TakeReport(report, s.milliseconds())
		s.messages++
		s.received += len(totals.Encode())
		s.queue.ScheduleAfter(delayInZone, func() { g.applyTotals(totals) })
	})
}

// askHome has the home place a request. The gateway chooses the host itself if the home does not answer or cannot place the request.
func (g *gateway) askHome() {
	s := g.simulation
	target := g.home()
	if target == nil || s.time().Sub(g.knownAt) >= hostKnowledgeAge {
		g.send(g.choose())
		return
	}
	if target.hasFailed() {
		s.queue.ScheduleAfter(placeTimeout, func() {
			g.avoidUntil[target] = s.queue.Now() + homeAvoidTime
			g.send(g.choose())
		})
		return
	}
	g.placements++
	number := g.placements
	g.outstanding[number] = true
	s.messages += 2
	s.queue.ScheduleAfter(delayInZone, func() {
		placed := target.aggregator.MayPlace(g.estimator.Gateway(), s.milliseconds())
		host := 0
		if placed {
			host = target.place()
			target.aggregator.Place(g.estimator.Gateway(), number, fleetload.KeyOf(s.hosts[host].id))
		}
		s.queue.ScheduleAfter(delayInZone, func() {
			delete(g.outstanding, number)
			if !placed {
				host = g.choose()
			}
			g.send(host)
		})
	})
}

// answeredPlacements returns the highest number up to which the gateway has received the answers of all placements.
func (g *gateway) answeredPlacements() uint64 {
	placed := g.placements
	for number := range g.outstanding {
		placed = min(placed, number-1)
	}
	return placed
}

// home returns the most preferred home of the zone that the gateway does not currently avoid, or nil if there is none.
func (g *gateway) home() *home {
	for _, h := range g.simulation.homes[g.zone] {
		if g.simulation.queue.Now() >= g.avoidUntil[h] {
			return h
		}
	}
	return nil
}

func (g *gateway) applyTotals(totals fleetload.Totals) {
	others, known := g.estimator.Others(totals)
	if !known {
		return
	}
	now := g.simulation.time()
	for _, h := range g.known {
		h.UpdateOthers(int(others[fleetload.KeyOf(h.ID)]), now)
	}
	g.fleetRate = float64(totals.BeginsPerSecond)
	g.knownAt = now
}

// sendZoneLoad sends the load of the zone to all other homes, including those that replace a failed preferred one.
func (h *home) sendZoneLoad() {
	s := h.simulation
	s.queue.ScheduleAfter(reportInterval, h.sendZoneLoad)
	if h.hasFailed() {
		return
	}
	load, active := h.aggregator.ZoneLoad(h.identity, "", s.milliseconds())
	if !active {
		return
	}
	for _, homes := range s.homes {
		for _, other := range homes {
			if other != h && !other.hasFailed() {
				s.queue.ScheduleAfter(delay(h.zone, other.zone), func() { other.aggregator.TakeZoneLoad(load, s.milliseconds()) })
			}
		}
	}
}
