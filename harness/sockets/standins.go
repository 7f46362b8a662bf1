package sockets

import (
	"fmt"
	"net"
	"sync"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/simulation"
)

// StandIns are a scenario's hosts, counter and discovery on loopback, with one listener of each for every api gateway, so that it is known
// who calls. What they do is the models'; nothing is decided here. But for connections and listeners all of it belongs to the event
// loop's goroutine.
type StandIns struct {
	*simulation.Simulation
	loop        *eventLoop
	interceptor Interceptor
	beginsAt    float64 // Unix time at which the scenario begins, seconds

	counterAddresses   []string          // by api gateway
	discoveryAddresses []string          // by api gateway
	hostAddresses      map[[2]int]string // by host and api gateway

	watches  []map[*conn]bool              // of discovery, by api gateway
	versions []int64                       // of the list of hosts, by api gateway
	told     []map[string]policy.HostEntry // by api gateway and address: what has got through of the list

	customers    map[string]*model.Customer   // by key
	invocations  map[string]*model.Invocation // of clients here, by ref, while they are known
	foreign      map[string]*model.Invocation // made up for refs that no client here has sent
	onForeignRef func(ref string)             // nil: clients are elsewhere, and such refs are theirs

	mu        sync.Mutex // guards all below
	listeners []net.Listener
	conns     map[*conn]bool
	closed    bool
}

// newStandIns opens all listeners. On an error it returns what has to be closed as well.
func newStandIns(w *simulation.Simulation, loop *eventLoop, gateways int, interceptor Interceptor) (*StandIns, error) {
	s := &StandIns{
		Simulation:    w,
		loop:          loop,
		interceptor:   interceptor,
		hostAddresses: map[[2]int]string{},
		customers:     map[string]*model.Customer{},
		invocations:   map[string]*model.Invocation{},
		foreign:       map[string]*model.Invocation{},
		conns:         map[*conn]bool{},
	}
	if interceptor == nil {
		s.interceptor = direct{s}
	}
	for _, customer := range w.Workload.Customers {
		s.customers[customer.Key] = customer
	}
	for gateway := range gateways {
		if err := s.openFor(gateway); err != nil {
			return s, err
		}
	}
	return s, nil
}

// openFor opens the listeners for one api gateway.
func (s *StandIns) openFor(gateway int) error {
	s.watches = append(s.watches, map[*conn]bool{})
	s.versions = append(s.versions, 1)
	s.told = append(s.told, map[string]policy.HostEntry{})
	counter, err := s.interceptor.ListenFor(gateway, "counter", func(tcp net.Conn) { s.serveCounter(gateway, tcp) })
	if err != nil {
		return err
	}
	s.counterAddresses = append(s.counterAddresses, counter)
	discovery, err := s.interceptor.ListenFor(gateway, "discovery", func(tcp net.Conn) { s.serveDiscovery(gateway, tcp) })
	if err != nil {
		return err
	}
	s.discoveryAddresses = append(s.discoveryAddresses, discovery)
	for _, host := range s.Hosts {
		if _, err := s.hostAddress(host, gateway); err != nil {
			return err
		}
	}
	return nil
}

// listen listens on loopback until Close.
func (s *StandIns) listen(handle func(tcp net.Conn)) (string, error) {
	listener, err := listen("127.0.0.1:0", handle)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
	return listener.Addr().String(), nil
}

// takeOver takes over a connection, until Close.
func (s *StandIns) takeOver(tcp net.Conn) *conn {
	c := newConn(tcp, func(c *conn) {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	if s.closed {
		c.end(false)
	}
	return c
}

// readRequests calls each for all requests of a connection, until it ends. How it ended shows in nothing but its end.
func readRequests(tcp net.Conn, each func(m *http1.Message)) {
	_ = ReadMessages(tcp, false, func(m *http1.Message) bool {
		each(m)
		return true
	})
}

// Close ends the event loop, all listeners and connections, so that another scenario can be played in the same process.
func (s *StandIns) Close() {
	s.loop.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, listener := range s.listeners {
		listener.Close()
	}
	for c := range s.conns {
		c.end(false)
	}
}

// hostAddress is where an api gateway reaches a host; a host that came later gets its listener now.
func (s *StandIns) hostAddress(host *hostmodel.Host, gateway int) (string, error) {
	key := [2]int{host.Number, gateway}
	if address := s.hostAddresses[key]; address != "" {
		return address, nil
	}
	address, err := s.interceptor.ListenFor(gateway, hostName(host), func(tcp net.Conn) { s.serveHost(host, gateway, tcp) })
	s.hostAddresses[key] = address
	return address, err
}

func hostName(host *hostmodel.Host) string { return fmt.Sprintf("host %d", host.Number) }

func (s *StandIns) zone(gateway int) int { return gateway % s.Day.Fleet.Zones.Int() }
