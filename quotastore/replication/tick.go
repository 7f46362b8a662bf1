package replication

import "otterseam/gateway/membership"

const (
	tickInterval     = 0.04                // seconds between ticks of the Raft library
	minTickInterval  = 0.75 * tickInterval // minimum seconds between two ticks of the replicas
	helloInterval    = 1.0                 // seconds between hellos to all servers
	announceInterval = 0.5                 // seconds between leadership announcements
)

// Tick advances the time. The caller calls it about every 40 ms.
func (n *Node) Tick(now float64) {
	n.now = now
	n.tickDetector(now)
	n.tickReplicas(now)
	if now >= n.nextHello {
		n.nextHello = now + helloInterval
		n.broadcastHello()
	}
	if now >= n.nextAnnounce {
		n.nextAnnounce = now + announceInterval
		n.announceLeadership()
	}
	n.tickClients(now)
}

// tickDetector sends the messages of the failure detector and updates the times at which servers were last alive.
func (n *Node) tickDetector(now float64) {
	for _, message := range n.detector.Tick(now) {
		n.sendDetectorMessage(message)
	}
	if line := n.detector.LogLine(now); line != "" {
		n.logf("%s", line)
	}
	for number := range n.peers {
		if number == n.self || n.isAlive(now, number) {
			n.status[number].aliveAt = now
		}
	}
}

// isAlive reports whether the incarnation of another server is known and the failure detector doesn't consider the server dead.
func (n *Node) isAlive(now float64, number int) bool {
	return n.detector != nil && n.detector.StateOf(now, number) != membership.Dead && n.status[number].incarnation != 0
}

func (n *Node) tickReplicas(now float64) {
	if now-n.raftTickAt < minTickInterval {
		return
	}
	n.raftTickAt = now
	for r := range n.localReplicas {
		r.tick(now)
		r.updateLeadership()
		r.maintain(now)
	}
}

// tickClients retries or expires requests in flight, and logs when groups become unavailable and when all are available again.
func (n *Node) tickClients(now float64) {
	unavailable := 0
	for _, c := range n.clients {
		c.tick(now)
		if n.cluster != 0 && c.unavailable(now) {
			unavailable++
		}
	}
	if rejecting := unavailable > 0; rejecting != n.rejecting {
		n.rejecting = rejecting
		if rejecting {
			n.logf("requests are rejected: %d of %d groups have no leader as too few of their replicas are reachable", unavailable, n.config.Groups)
		} else {
			n.logf("all groups have a leader again")
		}
	}
}
