package replica

const (
	// joinWait is how long commands wait for a replica that is about to catch up, so that it can.
	joinWait = 150 // milliseconds
	// joinPause is how long commands do not wait for it after that was in vain.
	joinPause = 1500 // milliseconds
)

// tickJoining has commands wait for a moment for a replica that follows closely. Under a steady stream of commands its
// acknowledgements may always come just behind the commit that the others allow, and it would never hold all that is committed.
func (g *Group) tickJoining(id uint64, peer *progress, now int64) {
	if peer.joining && now-peer.joinedAt > joinWait {
		peer.joining = false
		g.advanceCommit()
	}
	if peer.joining || g.view.IsInSync(id) || !g.followsClosely(peer, now) || peer.match >= g.commit {
		return
	}
	if peer.joinedAt == 0 || now-peer.joinedAt > joinPause {
		peer.joining = true
		peer.joinedAt = now
	}
}

// followsClosely tells whether a replica that is heard holds nearly all, and all that was there when the epoch opened.
func (g *Group) followsClosely(peer *progress, now int64) bool {
	if peer.probing || peer.transfer != nil || peer.match == 0 || now-peer.heardAt > admitHeard {
		return false
	}
	return peer.match+admitLag >= g.lastIndex() && peer.match >= g.openedEpochAt
}
