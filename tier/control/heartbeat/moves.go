package heartbeat

import (
	"net"
	"sync"

	"otterseam/tier/control/session"
)

// moveTTL is how long after a move was planned hosts are still redirected, in milliseconds. Later, the target process may have stopped.
const moveTTL = 1500

// hostMoves is the current move of hosts from this control process to another one. The zero value is ready to use.
type hostMoves struct {
	mu        sync.Mutex // guards the fields below
	targetIP  string
	remaining int // number of hosts that are still to be redirected
	startedAt int64
}

// begin starts a move and cancels the previous one. A move of no hosts is ignored.
func (m *hostMoves) begin(move session.Move, now int64) {
	host, _, err := net.SplitHostPort(move.Target.Address)
	if move.Hosts == 0 || err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targetIP = host
	m.remaining = move.Hosts
	m.startedAt = now
}

// nextTarget returns the IP address of the process to which the next host is redirected, or "" if the host is to stay with this process.
func (m *hostMoves) nextTarget(now int64) (targetIP string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.remaining == 0 || now-m.startedAt > moveTTL {
		return ""
	}
	m.remaining--
	return m.targetIP
}

// HeartbeatTarget returns the IP address of the control process to which the host whose heartbeat is being acknowledged is to send the
// next one, or "" for this process.
func (h *Hosts) HeartbeatTarget() string { return h.moves.nextTarget(h.Now()) }
