package server

import (
	"time"

	"otterseam/internal/mutation"
)

const (
	lateAcceptPeriod     = 400 * time.Millisecond // how long new connections may still arrive after shutdown begins
	shutdownPollInterval = 20 * time.Millisecond
	quietPollsToClose    = 3 // consecutive polls without an open connection after which the listener closes
)

// Shutdown completes the requests in progress and closes each connection once it is idle. For a while it still accepts new
// connections, as the front end still routes clients to this gateway, and serves one request on each. The listener closes after
// several polls in a row without an open connection. Connections accepted before that are served like the rest. When limit is over,
// Shutdown returns even if connections are left.
func (l *ClientListener) Shutdown(limit time.Duration) {
	l.shuttingDown.Store(true)
	if mutation.SIGTERMCutsClients {
		l.closeImmediately()
		return
	}
	if !l.sleep(lateAcceptPeriod) {
		return
	}
	begun := time.Now()
	quietPolls := 0
	for time.Since(begun) < limit {
		if time.Since(begun) > limit/4 { // clients that keep pipelining requests would otherwise prolong it indefinitely
			l.closeAfterResponse.Store(true)
		}
		quietPolls++
		if l.closeAllIdle() > 0 {
			quietPolls = 0
		}
		if quietPolls == quietPollsToClose {
			l.listener.Close()
			<-l.acceptDone
			if open, _ := l.counts(); open == 0 {
				return
			}
		}
		if !l.sleep(shutdownPollInterval) {
			return
		}
	}
	l.listener.Close()
}

// closeAllIdle closes the idle connections, and returns the number of all connections that were open.
func (l *ClientListener) closeAllIdle() (open int) {
	connections := l.connections()
	for _, conn := range connections {
		conn.closeIdle(time.Now(), lingerTimeout)
	}
	return len(connections)
}

// sleep waits for d. It returns false if the gateway's context ended meanwhile.
func (l *ClientListener) sleep(d time.Duration) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// closeImmediately implements the defect mutation.SIGTERMCutsClients.
func (l *ClientListener) closeImmediately() {
	l.Close()
	for _, conn := range l.connections() {
		conn.tcp.Close()
	}
}
