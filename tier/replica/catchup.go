package replica

const (
	// catchUpWaitLimit is how long commits wait for a replica that is about to catch up, in milliseconds.
	catchUpWaitLimit = 150
	// catchUpWaitPause is how long commits do not wait for it after that was in vain, in milliseconds.
	catchUpWaitPause = 1500
	// admitLag is how many entries a replica may lack to count as following closely.
	admitLag = 64
	// admitHeardWithin is how recently a replica has to have been heard to be admitted, in milliseconds.
	admitHeardWithin = 300
)

// catchUpWait is whether commits wait for a replica that is not in sync, so that it can catch up.
type catchUpWait struct {
	holdsCommits bool
	since        int64 // of the newest wait, 0 before the first one
}

// tickCatchUp has commits wait for a moment for a replica that follows closely. Under a steady stream of commands its
// acknowledgements may always come just behind the commit that the others allow, and it would never hold all that is committed.
func (g *Group) tickCatchUp(peer *progress, now int64) {
	wait := &peer.catchUp
	if wait.holdsCommits && now-wait.since > catchUpWaitLimit {
		wait.holdsCommits = false
		g.advanceCommit()
	}
	if wait.holdsCommits || g.view.IsInSync(peer.id) || !g.followsClosely(peer, now) || peer.match >= g.commit.committed {
		return
	}
	if wait.since == 0 || now-wait.since > catchUpWaitPause {
		wait.holdsCommits = true
		wait.since = now
	}
}

// followsClosely tells whether a replica that is heard holds nearly all, and all that was there when the epoch opened.
func (g *Group) followsClosely(peer *progress, now int64) bool {
	if !peer.replicates() || peer.match == 0 || now-peer.lastHeard > admitHeardWithin {
		return false
	}
	return peer.match+admitLag >= g.log.lastIndex() && peer.match >= g.epochStart
}
