package session

import (
	"sync"

	"otterseam/tier/controlclient"
)

// AcknowledgedHeartbeat is a host's heartbeat that this process acknowledged.
type AcknowledgedHeartbeat struct {
	Heartbeat controlclient.HostHeartbeat
	At        int64 // when it came, on this process's clock in milliseconds
}

// AcknowledgedHeartbeats is the newest such heartbeat of each host, by id.
type AcknowledgedHeartbeats map[string]AcknowledgedHeartbeat

// UnreportedHosts holds the heartbeats of hosts that the primary was not told of yet. The zero value is empty and ready to use.
type UnreportedHosts struct {
	mu    sync.Mutex // guards hosts
	hosts AcknowledgedHeartbeats
}

// Add notes a heartbeat in place of an older one of the host.
func (u *UnreportedHosts) Add(heartbeat AcknowledgedHeartbeat) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.put(heartbeat.Heartbeat.Host.ID, heartbeat)
}

// Take returns what was noted since the last time.
func (u *UnreportedHosts) Take() AcknowledgedHeartbeats {
	u.mu.Lock()
	defer u.mu.Unlock()
	taken := u.hosts
	u.hosts = nil
	return taken
}

// PutBack notes heartbeats again that the primary could not be told of, unless newer ones have come.
func (u *UnreportedHosts) PutBack(heartbeats AcknowledgedHeartbeats) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, heartbeat := range heartbeats {
		if _, newer := u.hosts[id]; !newer {
			u.put(id, heartbeat)
		}
	}
}

// put notes a heartbeat; the lock is held.
func (u *UnreportedHosts) put(id string, heartbeat AcknowledgedHeartbeat) {
	if u.hosts == nil {
		u.hosts = AcknowledgedHeartbeats{}
	}
	u.hosts[id] = heartbeat
}
