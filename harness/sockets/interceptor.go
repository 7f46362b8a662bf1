package sockets

import (
	"net"

	"otterseam/sim/simulation"
)

// Interceptor sits between the processes of a scenario and may inject faults. Without one the processes connect to each other directly.
// Times are scenario times in seconds.
type Interceptor interface {
	// ListenFor returns the address at which an api gateway reaches a service ("counter", "discovery", "host 3"). handle is called with the
	// service's end of each connection.
	ListenFor(gateway int, service string, handle func(c net.Conn)) (string, error)
	// ClientAddress returns the address at which clients reach the api gateway that listens at listening.
	ClientAddress(gateway int, listening string) (string, error)
	// PeerAddresses returns the addresses that api gateways use for each other, given their listen addresses.
	PeerAddresses(listening []string) ([]string, error)
	// Begin is called on the event loop's goroutine when the scenario begins. It may call methods of g on that goroutine.
	Begin(w *simulation.Simulation, g *Gateways)
	// End is called when the scenario ends, before its processes are stopped.
	End(g *Gateways)
	// EventSeen is called for an event at an api gateway before the event takes effect.
	EventSeen(event string, gateway int)
	// FaultSince reports whether a fault was in force at any time since the given one, on the path from an api gateway to a service or, if
	// service is "", on the api gateway itself.
	FaultSince(gateway int, service string, since float64) bool
	// UnreachableSince reports whether an api gateway was unreachable behind its client address at any time since the given one.
	UnreachableSince(gateway int, since float64) bool
	// TraceInvocation is called for each trace event of an invocation.
	TraceInvocation(gateway int, ref, text string)
}

// direct is the Interceptor of a scenario without fault injection: processes connect to each other directly.
type direct struct{ standIns *StandIns }

// ListenFor listens on a loopback address and returns it.
func (d direct) ListenFor(_ int, _ string, handle func(c net.Conn)) (string, error) {
	return d.standIns.listen(handle)
}

// ClientAddress returns the listen address.
func (direct) ClientAddress(_ int, listening string) (string, error) { return listening, nil }

// PeerAddresses returns the listen addresses.
func (direct) PeerAddresses(listening []string) ([]string, error) { return listening, nil }

// Begin does nothing.
func (direct) Begin(*simulation.Simulation, *Gateways) {}

// End does nothing.
func (direct) End(*Gateways) {}

// EventSeen does nothing.
func (direct) EventSeen(string, int) {}

// FaultSince returns false.
func (direct) FaultSince(int, string, float64) bool { return false }

// UnreachableSince returns false.
func (direct) UnreachableSince(int, float64) bool { return false }

// TraceInvocation does nothing.
func (direct) TraceInvocation(int, string, string) {}
