package server

import "time"

const (
	defaultRequestTimeout = 2300 * time.Millisecond // a request begun must be whole after this, an answer written
	firstRequestTimeout   = 2500 * time.Millisecond // the first one, since its connection was accepted
	silentConnTimeout     = 2 * time.Second         // a connection on which nothing has come yet is closed after this
	idleConnTimeout       = 2 * time.Second         // one between requests
	newConnGrace          = 100 * time.Millisecond  // one that has said nothing is not closed to make room before this
	reapInterval          = 200 * time.Millisecond  // how often connections are looked through
)

// ReapIdle closes connections that have been idle for long, and those on which a request has begun and does not come to its
// end: clients that ask once, or never, and stay would hold descriptors and memory for good. It returns at the gateway's end.
func (l *ClientListener) ReapIdle() error {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, conn := range l.connections() {
				conn.closeOverdue(now)
			}
		}
	}
}

// makeRoom closes the connection that has said nothing for longest since it was accepted, else the one that has been idle
// longest between requests; false: there is none, or it was not idle any more. Silent connections go first, as by the hundred
// they would take the places of clients that do ask.
func (l *ClientListener) makeRoom() bool {
	var victim *clientConn
	var victimSince time.Time
	victimSilent, now := false, time.Now()
	l.mu.Lock()
	for conn := range l.conns {
		conn.mu.Lock()
		state := &conn.state
		silent := state.use == useNone
		better := victim == nil || silent && !victimSilent || silent == victimSilent && state.waitingSince.Before(victimSince)
		if better && state.isIdle(now) {
			victim, victimSince, victimSilent = conn, state.waitingSince, silent
		}
		conn.mu.Unlock()
	}
	l.mu.Unlock()
	return victim != nil && victim.closeIdle(now, 0) // room is wanted now, so without lingering
}

// closeIdle shuts the sending side of an idle connection, unless something stands unread on it: a request that has come by now
// is served, one that comes later is not taken, and its client knows by the end that it may send it anew.
func (c *clientConn) closeIdle(now time.Time, linger time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.isIdle(now) || !nothingUnread(c.tcp) {
		return false
	}
	c.halfClose(linger)
	return true
}

// closeOverdue shuts the sending side of a connection that has been idle for too long, or whose request does not come to its
// end.
func (c *clientConn) closeOverdue(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.overdue(now, c.listener.requestTimeout) {
		return
	}
	if c.state.input != inputEmpty || nothingUnread(c.tcp) {
		c.halfClose(lingerTimeout)
	}
}
