package store

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"otterseam/tier/balance"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/fleetload"
)

// placedHost is a host with its key and service.
type placedHost struct {
	balance.Host
	key     fleetload.HostKey
	service string
}

// placer chooses hosts for the gateways of a zone. It is not safe for concurrent use.
type placer struct {
	zone      string
	byID      map[string]*placedHost
	byService map[string][]*placedHost
}

func newPlacer(zone string) *placer {
	return &placer{zone: zone, byID: map[string]*placedHost{}, byService: map[string][]*placedHost{}}
}

// update applies changes of the view's hosts and ejections.
func (p *placer) update(items []feed.Item, now time.Time) {
	changed := false
	for _, item := range items {
		switch item.Section {
		case feed.SectionHost:
			changed = true
			p.updateHost(item)
		case feed.SectionEjection:
			defer p.ejectHost(item, now) // after the hosts of the same update
		}
	}
	if !changed {
		return
	}
	p.byService = map[string][]*placedHost{}
	for _, host := range p.byID {
		p.byService[host.service] = append(p.byService[host.service], host)
	}
	for _, hosts := range p.byService {
		slices.SortFunc(hosts, func(a, b *placedHost) int { return cmp.Compare(a.ID, b.ID) })
	}
}

func (p *placer) updateHost(item feed.Item) {
	entry, err := directory.DecodeHost(item.Data)
	if item.Deleted || err != nil {
		delete(p.byID, item.Key)
		return
	}
	host := p.byID[entry.ID]
	if host == nil {
		host = &placedHost{key: fleetload.KeyOf(entry.ID)}
		host.ID = entry.ID
		p.byID[entry.ID] = host
	}
	host.service = entry.Service
	host.Zone = entry.Zone
	host.Slots = entry.Slots
	host.Draining = entry.Draining
}

func (p *placer) ejectHost(item feed.Item, now time.Time) {
	host := p.byID[item.Key]
	if host == nil || item.Deleted {
		return
	}
	if durationMS, err := directory.DecodeEjectionDuration(item.Data); err == nil {
		host.Eject(now.Add(time.Duration(durationMS) * time.Millisecond))
	}
}

// place chooses a host for a request by the number of requests in flight. It returns false if there is no host.
func (p *placer) place(request fleetload.PlaceRequest, loads *fleetload.Aggregator, now time.Time) (fleetload.HostKey, bool) {
	known := p.byService[request.Service]
	hosts := make([]*balance.Host, 0, len(known))
	preferred := ""
	for _, host := range known {
		if slices.Contains(request.Avoid, host.key) {
			continue
		}
		if host.key == request.Preferred {
			preferred = host.ID
		}
		host.UpdateOthers(loads.Inflight(host.key), now)
		hosts = append(hosts, &host.Host)
	}
	chosen := balance.Choose(hosts, balance.Request{
		Zone: p.zone, Preferred: preferred, Random: rand.Float64, FleetRequestRate: max(float64(loads.BeginsPerSecond()), 1), KnowsZone: true,
	}, now)
	if chosen == nil {
		return 0, false
	}
	return p.byID[chosen.ID].key, true
}
