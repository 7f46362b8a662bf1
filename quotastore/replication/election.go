package replication

const (
	// minElectionTimeout is the least silence of a leader after which a replica campaigns, in seconds; the most is twice that.
	minElectionTimeout = tickInterval * electionTicks
	// A replica that knows that its leader's process is gone campaigns after minOrphanTimeout to minOrphanTimeout +
	// orphanTimeoutSpread seconds.
	minOrphanTimeout    = 0.02
	orphanTimeoutSpread = 0.18
)

// electionTimer says when a replica campaigns. The Raft library's own elections draw random numbers that no seed gives; so the library
// is told to campaign, at a time drawn here, and only counts ticks itself.
type electionTimer struct {
	lastContact float64 // with a leader
	timeout     float64 // for how long the leader may be silent, in seconds
}

// reset begins to wait for a leader anew, for a random time.
func (t *electionTimer) reset(n *Node) {
	t.lastContact = n.now
	t.timeout = minElectionTimeout * (1 + n.random.Float64())
}

// shorten waits for a leader that is known to be gone.
func (t *electionTimer) shorten(n *Node) {
	t.lastContact = n.now
	t.timeout = minOrphanTimeout + orphanTimeoutSpread*n.random.Float64()
}

func (t *electionTimer) elapsed(now float64) bool { return now-t.lastContact > t.timeout }

// tick lets time go on for the Raft library.
func (r *replica) tick(now float64) {
	if r.leadership.leads {
		r.raft.Tick()
		return
	}
	r.raft.TickQuiesced()
	if r.election.elapsed(now) {
		r.election.reset(r.node)
		_ = r.raft.Campaign() // a replica that may not campaign goes on waiting
	}
}

// peerDown says that the process of a server is gone. If it led the group there is no need to wait for its silence.
func (r *replica) peerDown(number int) {
	if r.leadership.leads || r.leadership.leader == 0 || r.leadership.number() != number {
		return
	}
	_ = r.raft.ForgetLeader() // a replica that may not forget its leader waits the shorter time all the same
	r.election.shorten(r.node)
	r.updateLeadership()
}
