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
	// never is a time after the end of every scenario.
	never = 1e18
	// recoveryGrace is how long after a fault its effects, such as delayed answers, are still attributed to it, in seconds.
	recoveryGrace = 1.0
	// unreachableTolerance is how late a failed connection to an api gateway may be detected, in seconds.
	unreachableTolerance = 0.05
)

// clientsEnd is the name of the end of a link where clients connect.
const clientsEnd = "clients"

// injector is the sockets.Interceptor of one script: it routes the traffic between processes over links and injects the faults of the
// script. Fields that no lock guards are used only on the goroutine of the event loop.
type injector struct {
	script *scenario.Scenario // with its random values drawn
	seed   uint64
	logs   *logFollower
	store  *store // nil: none
	traces *traces

	datagrams     *netproxy.DatagramProxy // nil: api gateways exchange no datagrams
	world         *simulation.Simulation  // nil until the scenario begins
	pending       []*pendingFault
	spans         []*Span
	faultsApplied int // faults whose target was present

	mu            sync.Mutex // guards all below
	gateways      *sockets.Gateways
	links         map[string]*netproxy.Link
	datagramsSeen int64             // between api gateways
	unreachable   map[int]time.Time // by api gateway: when a connection for a client last failed
	awaited       map[string]bool   // events that some fault waits for
	closed        bool
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

// gatewayEnd returns the name of an api gateway as the end of a link.
func gatewayEnd(gateway int) string { return fmt.Sprintf("edge %d", gateway) }

// gatewayNumber returns the number of the api gateway at the end of a link, or -1 if the end is something else.
func gatewayNumber(end string) int {
	gateway := -1
	if _, err := fmt.Sscanf(end, "edge %d", &gateway); err != nil {
		return -1
	}
	return gateway
}

// link returns the link between two ends and creates it on first use.
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

// ListenFor routes the connections of an api gateway to a service over a link. If the script has a quota store, that takes the place of the
// counter.
func (f *injector) ListenFor(gateway int, service string, handle func(c net.Conn)) (string, error) {
	if service == "counter" && f.store != nil {
		handle = func(c net.Conn) { f.store.relayCounter(gateway, c) }
	}
	return f.link(gatewayEnd(gateway), service).ListenInProcess(handle)
}

// ClientAddress routes the connections of clients to an api gateway over a link, and records when connecting to the gateway fails.
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

// UnreachableSince reports whether connecting to an api gateway for a client has failed since a time.
func (f *injector) UnreachableSince(gateway int, since float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.unreachable[gateway]
	return !last.IsZero() && time.Since(last).Seconds() <= f.world.Queue.Now()-since+unreachableTolerance
}

// PeerAddresses routes the datagrams between api gateways over links.
func (f *injector) PeerAddresses(listening []string) ([]string, error) {
	var err error
	f.datagrams, err = netproxy.NewDatagramProxy(listening,
		func(from, to int) *netproxy.Link { return f.link(gatewayEnd(from), gatewayEnd(to)) },
		func(from, _ int) { f.countDatagram(from) })
	if err != nil {
		return nil, err
	}
	return f.datagrams.Addresses(), nil
}

// countDatagram counts a datagram and raises the event "mail".
func (f *injector) countDatagram(from int) {
	f.mu.Lock()
	f.datagramsSeen++
	begun := f.gateways != nil && !f.closed
	f.mu.Unlock()
	if begun {
		f.gateways.Do(func() { f.EventSeen("mail", from) })
	}
}

func (f *injector) datagramCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.datagramsSeen
}

// close closes all links.
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

// FaultSince reports whether a fault was in force since a time, or shortly before it: with service "", on an api gateway itself or its link
// to clients; otherwise also on its link to the service. A fault of the api gateway itself affects all its links.
func (f *injector) FaultSince(gateway int, service string, since float64) bool {
	for _, span := range f.spans {
		if span.Gateway != gateway || span.Ends+recoveryGrace <= since {
			continue
		}
		if span.service == "" && span.mayLoseAnswers() || service != "" && span.service == service {
			return true
		}
	}
	return false
}

// mayLoseAnswers reports whether a fault of an api gateway may leave clients without an answer.
func (s *Span) mayLoseAnswers() bool {
	return !slices.Contains([]string{"term", "twice", "full-disk", "start"}, s.Kind)
}
