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

// StandIns serves a scenario's hosts, counter and discovery on loopback. Each service has one listener per api gateway, which identifies the
// caller. The behaviour comes from the models of the simulation. All fields but those guarded by mu are used only on the event loop's
// goroutine.
type StandIns struct {
	*simulation.Simulation
	loop        *eventLoop
	interceptor Interceptor
	startUnix   float64 // Unix time in seconds at which the scenario begins

	counterAddresses   []string          // by api gateway
	discoveryAddresses []string          // by api gateway
	hostAddresses      map[[2]int]string // by host and api gateway

	watches   []map[*conn]bool              // discovery watches, by api gateway
	versions  []int64                       // of the list of hosts, by api gateway
	delivered []map[string]policy.HostEntry // host entries delivered, by api gateway and address

	customers    map[string]*model.Customer   // by key
	invocations  map[string]*model.Invocation // of this process's clients, by ref, until endedInvocationTTL has passed
	external     map[string]*model.Invocation // of external clients, by ref
	onUnknownRef func(ref string)             // called for refs that no client of this process sent; nil: clients are external

	mu        sync.Mutex // guards all below
	listeners []net.Listener
	conns     map[*conn]bool
	closed    bool
}

// newStandIns opens all listeners. On an error it also returns the StandIns, which the caller must close.
func newStandIns(w *simulation.Simulation, loop *eventLoop, gateways int, interceptor Interceptor) (*StandIns, error) {
	s := &StandIns{
		Simulation:    w,
		loop:          loop,
		interceptor:   interceptor,
		hostAddresses: map[[2]int]string{},
		customers:     map[string]*model.Customer{},
		invocations:   map[string]*model.Invocation{},
		external:      map[string]*model.Invocation{},
		conns:         map[*conn]bool{},
	}
	if interceptor == nil {
		s.interceptor = direct{s}
	}
	for _, customer := range w.Workload.Customers {
		s.customers[customer.Key] = customer
	}
	for gateway := range gateways {
		if err := s.openListeners(gateway); err != nil {
			return s, err
		}
	}
	return s, nil
}

// openListeners opens the listeners of one api gateway.
func (s *StandIns) openListeners(gateway int) error {
	s.watches = append(s.watches, map[*conn]bool{})
	s.versions = append(s.versions, 1)
	s.delivered = append(s.delivered, map[string]policy.HostEntry{})
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

// listen opens a listener on loopback that Close closes, and returns its address.
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

// wrapConn wraps a connection, which Close closes if it is still open.
func (s *StandIns) wrapConn(tcp net.Conn) *conn {
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

// readRequests calls handle for all requests on a connection until the connection ends. The reason for the end does not matter and is ignored.
func readRequests(tcp net.Conn, handle func(m *http1.Message)) {
	_ = ReadMessages(tcp, false, func(m *http1.Message) bool {
		handle(m)
		return true
	})
}

// Close ends the event loop and closes all listeners and connections, so that another scenario can run in the same process.
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

// hostAddress returns the address at which an api gateway reaches a host. It opens the listener if the host was added later.
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
