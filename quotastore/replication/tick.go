package replication

import "otterseam/gateway/membership"

const (
	tickInterval     = 0.04                // seconds between ticks of the Raft library
	minTickInterval  = 0.75 * tickInterval // seconds; calls of Tick that come sooner don't tick replicas
	helloInterval    = 1.0                 // seconds between hellos to all
	announceInterval = 0.5                 // seconds between announcements of who leads
)

// Tick lets time go on; it is to be called every 40 ms or so.
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

// tickDetector sends what the failure detector has to say, and notes who is alive.
func (n *Node) tickDetector(now float64) {
	for _, message := range n.detector.Tick(now) {
		n.sendDetectorText(message)
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

// isAlive reports whether the failure detector holds another server for alive of which something was heard.
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

// tickClients goes on with requests in flight, and logs when groups begin or cease to be unavailable.
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
			n.logf("requests are rejected: %d of %d groups have no leader, as more of their servers are away than may be", unavailable, n.config.Groups)
		} else {
			n.logf("all groups have a leader again")
		}
	}
}
