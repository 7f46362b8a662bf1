package heartbeat

import (
	"net"
	"sync"

	"otterseam/tier/control/session"
)

// moveTTL is how long hosts are asked to move after the primary has said so, in milliseconds: the process that they are to move to may
// be gone later.
const moveTTL = 1500

// hostMoves is a move of hosts to another control process that is under way. The zero value is ready to use.
type hostMoves struct {
	mu       sync.Mutex // guards the fields below
	targetIP string
	left     int // hosts that have not been asked yet
	begunAt  int64
}

// begin begins a move, which ends the one before. A move of no hosts changes nothing.
func (m *hostMoves) begin(move session.Move, now int64) {
	host, _, err := net.SplitHostPort(move.Target.Address)
	if move.Hosts == 0 || err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targetIP = host
	m.left = move.Hosts
	m.begunAt = now
}

// take returns where one host is to send its heartbeats from now on; "" for here.
func (m *hostMoves) take(now int64) (targetIP string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left == 0 || now-m.begunAt > moveTTL {
		return ""
	}
	m.left--
	return m.targetIP
}

// HeartbeatTarget is the IP address of the control process to which a host whose heartbeat is acknowledged now is to send the next one;
// "" for this one.
func (h *Hosts) HeartbeatTarget() string { return h.moves.take(h.Now()) }
