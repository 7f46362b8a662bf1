package placementsim

import (
	"fmt"
	"slices"
	"time"

	"otterseam/sim/eventqueue"
	"otterseam/sim/randstream"
	"otterseam/tier/balance"
	"otterseam/tier/fleetload"
)

const (
	delayInZone      = 0.0005 // one way
	delayBetween     = 0.001
	reportInterval   = fleetload.ReportInterval / 1000.0
	homeAvoidTime    = 3.0
	homeTimeout      = 0.3
	placeTimeout     = 0.06
	homesPerZone     = 2
	sampleInterval   = 0.1
	warmUpShare      = 0.2
	slowHostFactor   = 3
	minServiceShare  = 0.4 // of the mean; the rest is exponential
	beginRateGain    = 0.15
	hostKnowledgeAge = 700 * time.Millisecond
)

// epoch is the wall clock time that corresponds to 0 on the simulation's clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type simulation struct {
	Scenario
	queue    eventqueue.Queue
	random   randstream.Stream
	hosts    []*host
	gateways []*gateway
	homes    [][]*home // by zone, the preferred one first
	byKey    map[fleetload.HostKey]int

	waits              []float64
	remote             int
	busiest            float64
	samples            int
	messages, received int
}

// Run simulates a scenario.
func Run(scenario Scenario) *Result {
	s := &simulation{Scenario: scenario, random: randstream.New(scenario.Seed, "placement"), byKey: map[fleetload.HostKey]int{}}
	for i := range s.Hosts {
		s.byKey[fleetload.KeyOf(fmt.Sprint("host-", i))] = i
		s.hosts = append(s.hosts, &host{
			id: fmt.Sprint("host-", i), zone: i % s.Zones, slow: float64(i%100) < 100*s.SlowHosts, simulation: s,
		})
	}
	for zone := range s.Zones {
		var homes []*home
		for i := range homesPerZone {
			homes = append(homes, s.newHome(zone, uint64(zone*homesPerZone+i+1)))
		}
		s.homes = append(s.homes, homes)
	}
	for i := range s.Gateways {
		s.gateways = append(s.gateways, newGateway(s, i))
	}
	if s.Policy == FleetKnowledge || s.Policy == HomePlacement {
		s.startExchange()
	}
	s.queue.ScheduleAfter(s.random.Exponential(1/s.rate()), s.arrive)
	s.queue.Schedule(s.Duration*warmUpShare, s.sample)
	s.queue.Run(s.Duration)
	return s.result()
}

// rate returns the number of requests that arrive in a second.
func (s *simulation) rate() float64 {
	capacity := 0.0
	for _, h := range s.hosts {
		capacity += float64(s.Slots) / (s.Service * (1 + s.Slowdown) * h.slowness())
	}
	return s.Load * capacity
}

func (s *simulation) time() time.Time {
	return epoch.Add(time.Duration(s.queue.Now() * float64(time.Second)))
}

func (s *simulation) milliseconds() int64 { return 1 + int64(s.queue.Now()*1000) }

func (s *simulation) measures() bool { return s.queue.Now() >= s.Duration*warmUpShare }

// arrive passes a request to a random gateway and schedules the next arrival.
func (s *simulation) arrive() {
	s.gateways[s.random.IntN(len(s.gateways))].serve()
	s.queue.ScheduleAfter(s.random.Exponential(1/s.rate()), s.arrive)
}

func (s *simulation) sample() {
	most, all := 0, 0
	for _, h := range s.hosts {
		most = max(most, h.requests())
		all += h.requests()
	}
	if all > 0 {
		s.busiest += float64(most) * float64(len(s.hosts)) / float64(all)
		s.samples++
	}
	s.queue.ScheduleAfter(sampleInterval, s.sample)
}

func (s *simulation) result() *Result {
	r := &Result{Scenario: s.Scenario, Requests: len(s.waits)}
	if len(s.waits) == 0 {
		return r
	}
	slices.Sort(s.waits)
	total := 0.0
	for _, wait := range s.waits {
		total += wait
	}
	r.WaitMean = total / float64(len(s.waits))
	r.WaitP50 = s.waits[len(s.waits)/2]
	r.WaitP99 = s.waits[len(s.waits)*99/100]
	r.BusiestToMean = s.busiest / float64(max(s.samples, 1))
	r.RemoteShare = float64(s.remote) / float64(len(s.waits))
	perGateway := 1 / (s.Duration * float64(s.Gateways))
	r.MessagesPerSecond = float64(s.messages) * perGateway
	r.BytesPerSecond = float64(s.received) * perGateway
	return r
}

// delay returns the time that a message takes between two zones.
func delay(from, to int) float64 {
	if from == to {
		return delayInZone
	}
	return delayBetween
}

// host serves requests in the order of their arrival, as many at once as it has slots.
type host struct {
	simulation *simulation
	id         string
	zone       int
	slow       bool
	running    int
	queue      []func()
}

func (h *host) requests() int { return h.running + len(h.queue) }

func (h *host) slowness() float64 {
	if h.slow {
		return slowHostFactor
	}
	return 1
}

// submit begins to serve a request as soon as a slot is free. begun is called then, and ended when the request has been served.
func (h *host) submit(begun, ended func()) {
	start := func() {
		s := h.simulation
		h.running++
		begun()
		base := s.Service * (minServiceShare + s.random.Exponential(1-minServiceShare))
		taken := float64(h.running) / float64(s.Slots)
		s.queue.ScheduleAfter(base*(1+s.Slowdown*taken)*h.slowness(), func() {
			h.running--
			ended()
			if len(h.queue) > 0 {
				next := h.queue[0]
				h.queue = h.queue[1:]
				next()
			}
		})
	}
	if h.running < h.simulation.Slots {
		start()
		return
	}
	h.queue = append(h.queue, start)
}

// gateway chooses hosts.
type gateway struct {
	simulation *simulation
	zone       int
	known      []*balance.Host // by number of the host
	estimator  *fleetload.Estimator
	begins     int
	rate       float64
	fleetRate  float64
	knownAt    time.Time
	avoidUntil map[*home]float64

	placements  uint64
	outstanding map[uint64]bool
}

func newGateway(s *simulation, number int) *gateway {
	g := &gateway{
		simulation: s, zone: number % s.Zones, estimator: fleetload.NewEstimator(uint64(number) + 1),
		avoidUntil: map[*home]float64{}, outstanding: map[uint64]bool{},
	}
	g.known = s.knownHosts()
	return g
}

// knownHosts returns the hosts as a gateway or home knows them at the start, without loads.
func (s *simulation) knownHosts() []*balance.Host {
	var known []*balance.Host
	for _, h := range s.hosts {
		known = append(known, &balance.Host{ID: h.id, Zone: zoneName(h.zone), Slots: s.Slots})
	}
	return known
}

func zoneName(zone int) string { return fmt.Sprint("zone-", zone) }

// serve sends a request to a host, which the home chooses if the policy is HomePlacement.
func (g *gateway) serve() {
	if g.simulation.Policy == HomePlacement {
		g.askHome()
		return
	}
	g.send(g.choose())
}

// send sends a request to a host and measures its wait for a slot there.
func (g *gateway) send(number int) {
	s := g.simulation
	chosen, known := s.hosts[number], g.known[number]
	known.Begin()
	g.begins++
	measured := s.measures()
	if measured && chosen.zone != g.zone {
		s.remote++
	}
	s.queue.ScheduleAfter(delay(g.zone, chosen.zone), func() {
		arrived := s.queue.Now()
		chosen.submit(func() {
			if measured {
				s.waits = append(s.waits, s.queue.Now()-arrived)
			}
			running, queued := chosen.running, len(chosen.queue)
			s.queue.ScheduleAfter(delay(g.zone, chosen.zone), func() { known.UpdateLoad(running, queued, s.time()) })
		}, func() {
			s.queue.ScheduleAfter(delay(g.zone, chosen.zone), func() {
				known.End()
				known.RecordSuccess(s.time())
			})
		})
	})
}

// choose chooses a host by the policy and returns its number.
func (g *gateway) choose() int {
	s := g.simulation
	if s.Policy == Omniscient {
		best := 0
		for i, h := range s.hosts {
			if h.requests() < s.hosts[best].requests() {
				best = i
			}
		}
		return best
	}
	request := balance.Request{Zone: zoneName(g.zone), Random: s.random.Float64}
	if s.Policy != OwnKnowledge && s.time().Sub(g.knownAt) < hostKnowledgeAge {
		request.FleetRequestRate = max(g.fleetRate, 1)
	}
	chosen := balance.Choose(g.known, request, s.time())
	return slices.Index(g.known, chosen)
}
