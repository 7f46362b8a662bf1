package replication

const (
	// minElectionTimeout is the minimum time without contact to a leader after which a replica campaigns, in seconds. The maximum is
	// twice that.
	minElectionTimeout = tickInterval * electionTicks
	// A replica whose leader's process has ended campaigns after minOrphanTimeout to minOrphanTimeout + orphanTimeoutSpread
	// seconds.
	minOrphanTimeout    = 0.02
	orphanTimeoutSpread = 0.18
)

// electionTimer determines when a replica campaigns. The Raft library draws its own election timeouts from random numbers that can't
// be seeded. So the library only counts ticks, and this package draws the timeout and calls Campaign.
type electionTimer struct {
	lastContact float64 // time of the last contact with a leader
	timeout     float64 // in seconds
}

// reset restarts the timer with a random timeout.
func (t *electionTimer) reset(n *Node) {
	t.lastContact = n.now
	t.timeout = minElectionTimeout * (1 + n.random.Float64())
}

// shorten restarts the timer with the shorter random timeout that applies when the leader's process has ended.
func (t *electionTimer) shorten(n *Node) {
	t.lastContact = n.now
	t.timeout = minOrphanTimeout + orphanTimeoutSpread*n.random.Float64()
}

func (t *electionTimer) elapsed(now float64) bool { return now-t.lastContact > t.timeout }

// tick advances the tick count of the Raft library, and campaigns when the election timeout has elapsed.
func (r *replica) tick(now float64) {
	if r.leadership.leads {
		r.raft.Tick()
		return
	}
	r.raft.TickQuiesced()
	if r.election.elapsed(now) {
		r.election.reset(r.node)
		_ = r.raft.Campaign() // a replica that can't campaign waits for the next timeout
	}
}

// peerDown handles the end of a server's process. If that server led the group, the replica campaigns after a shorter timeout.
func (r *replica) peerDown(number int) {
	if r.leadership.leads || r.leadership.leader == 0 || r.leadership.number() != number {
		return
	}
	_ = r.raft.ForgetLeader() // the shorter timeout applies even if the leader can't be forgotten
	r.election.shorten(r.node)
	r.updateLeadership()
}
