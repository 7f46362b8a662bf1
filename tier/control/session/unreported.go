package session

import (
	"sync"

	"otterseam/tier/controlclient"
)

// AcknowledgedHeartbeat is a host's heartbeat that this process acknowledged.
type AcknowledgedHeartbeat struct {
	Heartbeat  controlclient.HostHeartbeat
	ReceivedAt int64 // time of receipt, in milliseconds of this process's clock
}

// AcknowledgedHeartbeats holds the newest acknowledged heartbeat of each host, by ID.
type AcknowledgedHeartbeats map[string]AcknowledgedHeartbeat

// UnreportedHosts holds the acknowledged heartbeats that have not been reported to the primary. The zero value is empty and ready to use.
type UnreportedHosts struct {
	mu    sync.Mutex // guards hosts
	hosts AcknowledgedHeartbeats
}

// Add adds a heartbeat and replaces an older one of the same host.
func (u *UnreportedHosts) Add(heartbeat AcknowledgedHeartbeat) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.put(heartbeat.Heartbeat.Host.ID, heartbeat)
}

// Take removes and returns all heartbeats.
func (u *UnreportedHosts) Take() AcknowledgedHeartbeats {
	u.mu.Lock()
	defer u.mu.Unlock()
	taken := u.hosts
	u.hosts = nil
	return taken
}

// PutBack adds heartbeats again after their report failed, except those of hosts with a newer heartbeat.
func (u *UnreportedHosts) PutBack(heartbeats AcknowledgedHeartbeats) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, heartbeat := range heartbeats {
		if _, hasNewer := u.hosts[id]; !hasNewer {
			u.put(id, heartbeat)
		}
	}
}

// put sets the heartbeat of a host. The caller holds the lock.
func (u *UnreportedHosts) put(id string, heartbeat AcknowledgedHeartbeat) {
	if u.hosts == nil {
		u.hosts = AcknowledgedHeartbeats{}
	}
	u.hosts[id] = heartbeat
}
