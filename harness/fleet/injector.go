package fleet

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"otterseam/harness/netproxy"
	"otterseam/harness/sockets"
	"otterseam/sim/scenario"
	"otterseam/sim/simulation"
)

const (
	// never is a time at which nothing happens any more.
	never = 1e18
	// healingTime is for how long after a fault what it held up may still come, in seconds.
	healingTime = 1.0
	// unreachableMargin is by how much an unreachable api gateway may be noticed late, in seconds.
	unreachableMargin = 0.05
)

// clientsEnd is the end of a link to which clients belong.
const clientsEnd = "clients"

// injector stands between the processes of one script as a sockets.Interceptor, and injects its faults. What no lock guards belongs to the
// event loop's goroutine.
type injector struct {
	script *scenario.Scenario // drawn
	seed   uint64
	logs   *logFollower
	store  *store // nil: none
	traces *traces

	datagrams *netproxy.DatagramProxy // nil: api gateways don't know each other
	world     *simulation.Simulation  // nil until the scenario begins
	waiting   []*waitingFault
	spans     []*Span
	struck    int // faults that found something

	mu          sync.Mutex // guards all below
	gateways    *sockets.Gateways
	links       map[string]*netproxy.Link
	observed    int64             // datagrams
	unreachable map[int]time.Time // by api gateway: when nobody was found behind its client address
	awaited     map[string]bool   // events that some fault waits for
	closed      bool
}

func newInjector(script *scenario.Scenario, seed uint64) *injector {
	return &injector{
		script:      script,
		seed:        seed,
		traces:      newTraces(),
		links:       map[string]*netproxy.Link{},
		unreachable: map[int]time.Time{},
	}
}

// gatewayEnd names an api gateway as the end of a link.
func gatewayEnd(gateway int) string { return fmt.Sprintf("edge %d", gateway) }

// gatewayNumber is the number of an api gateway by that name; -1: it is something else.
func gatewayNumber(end string) int {
	gateway := -1
	if _, err := fmt.Sscanf(end, "edge %d", &gateway); err != nil {
		return -1
	}
	return gateway
}

// link gives the link between two ends, which is made at its first use.
func (f *injector) link(from, to string) *netproxy.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := from + ">" + to
	link := f.links[key]
	if link == nil {
		link = netproxy.NewLink(from, to, f.seed)
		f.links[key] = link
	}
	return link
}

// ListenFor leads the connections of an api gateway to a service over a link. With a quota store that one is the counter.
func (f *injector) ListenFor(gateway int, service string, handle func(c net.Conn)) (string, error) {
	if service == "counter" && f.store != nil {
		handle = func(c net.Conn) { f.store.relayCounter(gateway, c) }
	}
	return f.link(gatewayEnd(gateway), service).ListenInProcess(handle)
}

// ClientAddress leads the connections of clients to an api gateway over a link, and notes when it isn't there.
func (f *injector) ClientAddress(gateway int, listening string) (string, error) {
	return f.link(clientsEnd, gatewayEnd(gateway)).Listen(func() (net.Conn, error) {
		c, err := net.Dial("tcp", listening)
		if err != nil {
			f.mu.Lock()
			f.unreachable[gateway] = time.Now()
			f.mu.Unlock()
		}
		return c, err
	})
}

// UnreachableSince says that nobody was behind an api gateway's client address at some moment since a time.
func (f *injector) UnreachableSince(gateway int, since float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.unreachable[gateway]
	return !last.IsZero() && time.Since(last).Seconds() <= f.world.Queue.Now()-since+unreachableMargin
}

// PeerAddresses leads the datagrams between api gateways over links.
func (f *injector) PeerAddresses(listening []string) ([]string, error) {
	var err error
	f.datagrams, err = netproxy.NewDatagramProxy(listening,
		func(from, to int) *netproxy.Link { return f.link(gatewayEnd(from), gatewayEnd(to)) },
		func(from, _ int) { f.datagramSeen(from) })
	if err != nil {
		return nil, err
	}
	return f.datagrams.Addresses(), nil
}

// datagramSeen counts a datagram and tells of it as an event.
func (f *injector) datagramSeen(from int) {
	f.mu.Lock()
	f.observed++
	begun := f.gateways != nil && !f.closed
	f.mu.Unlock()
	if begun {
		f.gateways.Do(func() { f.EventSeen("mail", from) })
	}
}

func (f *injector) datagramCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.observed
}

// close ends all links.
func (f *injector) close() {
	f.mu.Lock()
	f.closed = true
	links := slices.Collect(maps.Values(f.links))
	f.mu.Unlock()
	for _, link := range links {
		link.Close()
	}
	if f.datagrams != nil {
		f.datagrams.Close()
	}
}

// FaultSince says whether a fault was in force since a time, or shortly before, on an api gateway itself or its way to clients (""), or on
// its way to a service. What strikes the api gateway holds up all its ways.
func (f *injector) FaultSince(gateway int, service string, since float64) bool {
	for _, span := range f.spans {
		if span.Gateway != gateway || span.Ends+healingTime <= since {
			continue
		}
		if span.service == "" && span.excuses() || service != "" && span.service == service {
			return true
		}
	}
	return false
}

// excuses says whether a fault of an api gateway may leave clients without an answer.
func (s *Span) excuses() bool {
	return !slices.Contains([]string{"term", "twice", "full-disk", "start"}, s.Kind)
}
