package server

import "time"

const (
	defaultRequestTimeout = 2300 * time.Millisecond // for receiving a complete request from its first byte, and for writing a response
	firstRequestTimeout   = 2500 * time.Millisecond // for receiving the first request, counted from accept
	firstByteTimeout      = 2 * time.Second         // for receiving the first byte on a new connection
	idleConnTimeout       = 2 * time.Second         // between requests
	newConnGrace          = 100 * time.Millisecond  // a new connection without input is not evicted before this
	reapInterval          = 200 * time.Millisecond  // how often connections are checked for timeouts
)

// ReapIdle closes connections that have been idle for too long, and those whose request is not complete in time. Clients that send
// one request or none and stay connected would otherwise hold file descriptors and memory indefinitely. It returns when the
// gateway's context ends.
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

// evictIdle closes an idle connection: among those without any input the oldest, otherwise the one that has been idle longest
// between requests. It returns false if there is none or the chosen one is no longer idle. Connections without input are closed
// first, because hundreds of them could displace clients that do send requests.
func (l *ClientListener) evictIdle() bool {
	var victim *clientConn
	var victimSince time.Time
	victimUnused, now := false, time.Now()
	l.mu.Lock()
	for conn := range l.conns {
		conn.mu.Lock()
		state := &conn.state
		unused := state.use == useNone
		better := victim == nil || unused && !victimUnused || unused == victimUnused && state.waitingSince.Before(victimSince)
		if better && state.isIdle(now) {
			victim, victimSince, victimUnused = conn, state.waitingSince, unused
		}
		conn.mu.Unlock()
	}
	l.mu.Unlock()
	return victim != nil && victim.closeIdle(now, 0) // without lingering, as the slot is needed at once
}

// closeIdle closes the write side of an idle connection, unless it has unread input. A request that has arrived by now is served. A
// request that arrives later is not processed, and its client can tell from the EOF that resending is safe.
func (c *clientConn) closeIdle(now time.Time, linger time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.isIdle(now) || !receiveBufferEmpty(c.tcp) {
		return false
	}
	c.halfClose(linger)
	return true
}

// closeOverdue closes the write side of a connection that has been idle for too long, or whose request is not complete in time.
func (c *clientConn) closeOverdue(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.overdue(now, c.listener.requestTimeout) {
		return
	}
	if c.state.input != inputEmpty || receiveBufferEmpty(c.tcp) {
		c.halfClose(lingerTimeout)
	}
}
