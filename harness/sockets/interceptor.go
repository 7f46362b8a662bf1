package sockets

import (
	"net"

	"otterseam/sim/simulation"
)

// Interceptor stands between the processes of a scenario and may inject faults. Without one they reach each other directly. Times are
// those of the scenario, in seconds.
type Interceptor interface {
	// ListenFor gives the address at which an api gateway reaches a service ("counter", "discovery", "host 3"); handle gets the
	// service's end of each connection.
	ListenFor(gateway int, service string, handle func(c net.Conn)) (string, error)
	// ClientAddress gives the address at which clients reach an api gateway that listens at another one.
	ClientAddress(gateway int, listening string) (string, error)
	// PeerAddresses gives the addresses under which api gateways know each other, from those at which they listen.
	PeerAddresses(listening []string) ([]string, error)
	// Begin is called when the scenario begins, on the event loop's goroutine, on which it may call g.
	Begin(w *simulation.Simulation, g *Gateways)
	// End is called as the scenario ends, before its processes are ended.
	End(g *Gateways)
	// EventSeen tells of an event at an api gateway before what follows from it.
	EventSeen(event string, gateway int)
	// FaultSince says that a fault was in force since a time on the way of an api gateway to a service, or ("") on itself.
	FaultSince(gateway int, service string, since float64) bool
	// UnreachableSince says that an api gateway could not be reached behind its client address since a time.
	UnreachableSince(gateway int, since float64) bool
	// TraceInvocation tells of something that happened to an invocation.
	TraceInvocation(gateway int, ref, text string)
}

// direct is a scenario without an interceptor.
type direct struct{ standIns *StandIns }

// ListenFor listens on loopback.
func (d direct) ListenFor(_ int, _ string, handle func(c net.Conn)) (string, error) {
	return d.standIns.listen(handle)
}

// ClientAddress is where the api gateway listens.
func (direct) ClientAddress(_ int, listening string) (string, error) { return listening, nil }

// PeerAddresses are where the api gateways listen.
func (direct) PeerAddresses(listening []string) ([]string, error) { return listening, nil }

// Begin does nothing.
func (direct) Begin(*simulation.Simulation, *Gateways) {}

// End does nothing.
func (direct) End(*Gateways) {}

// EventSeen does nothing.
func (direct) EventSeen(string, int) {}

// FaultSince is never so.
func (direct) FaultSince(int, string, float64) bool { return false }

// UnreachableSince is never so.
func (direct) UnreachableSince(int, float64) bool { return false }

// TraceInvocation does nothing.
func (direct) TraceInvocation(int, string, string) {}
