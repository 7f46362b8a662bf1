package replica

const (
	// catchUpWaitLimit is the maximum time that commits wait for a replica that is about to catch up, in milliseconds.
	catchUpWaitLimit = 150
	// catchUpWaitPause is the minimum time from the start of one wait for a replica to the start of the next, in milliseconds.
	catchUpWaitPause = 1500
	// admitLag is the maximum number of entries that a replica may lack to count as following closely.
	admitLag = 64
	// admitMaxSilence is the maximum time since the last message of a replica for it to be admitted, in milliseconds.
	admitMaxSilence = 300
)

// catchUpWait is the state of the waits of commits for a replica that is not in sync, so that it can catch up.
type catchUpWait struct {
	delaysCommits bool
	since         int64 // start of the newest wait, 0 before the first one
}

// tickCatchUp makes commits wait briefly for a replica that follows closely. Under a steady stream of commands, its
// acknowledgements might otherwise always arrive just after the other replicas' commit, and it would never have all committed
// entries.
func (g *Group) tickCatchUp(peer *progress, now int64) {
	wait := &peer.catchUp
	if wait.delaysCommits && now-wait.since > catchUpWaitLimit {
		wait.delaysCommits = false
		g.advanceCommit()
	}
	if wait.delaysCommits || g.view.IsInSync(peer.id) || !g.followsClosely(peer, now) || peer.match >= g.commit.committed {
		return
	}
	if wait.since == 0 || now-wait.since > catchUpWaitPause {
		wait.delaysCommits = true
		wait.since = now
	}
}

// followsClosely reports whether a replica that responds has nearly all entries, and all entries up to the one that opened the
// epoch.
func (g *Group) followsClosely(peer *progress, now int64) bool {
	if !peer.replicates() || peer.match == 0 || now-peer.lastHeard > admitMaxSilence {
		return false
	}
	return peer.match+admitLag >= g.log.lastIndex() && peer.match >= g.epochStart
}
