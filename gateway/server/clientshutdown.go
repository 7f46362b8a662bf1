package server

import (
	"time"

	"otterseam/internal/mutation"
)

const (
	lateAcceptPeriod     = 400 * time.Millisecond // after the call to end, new connections still come for this long
	shutdownPollInterval = 20 * time.Millisecond
	quietPollsToClose    = 3 // looks in a row without a connection, after which the listener closes
)

// Shutdown answers all that has been taken and closes every connection between requests. New connections are still accepted for
// a while, as the front sends them, each for one request. The listener closes once none has come for some time; what it had
// accepted till then is served like the rest. After the limit it returns whatever is left.
func (l *ClientListener) Shutdown(limit time.Duration) {
	l.shuttingDown.Store(true)
	if mutation.SIGTERMCutsClients {
		l.cutAll()
		return
	}
	if !l.pause(lateAcceptPeriod) {
		return
	}
	begun := time.Now()
	quietPolls := 0
	for time.Since(begun) < limit {
		if time.Since(begun) > limit/4 { // those who ask again and again behind an answer would never end
			l.everyAnswerLast.Store(true)
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
		if !l.pause(shutdownPollInterval) {
			return
		}
	}
	l.listener.Close()
}

// closeAllIdle closes each idle connection, and says how many there were in all.
func (l *ClientListener) closeAllIdle() (open int) {
	connections := l.connections()
	for _, conn := range connections {
		conn.closeIdle(time.Now(), lingerTimeout)
	}
	return len(connections)
}

// pause waits; false: the gateway has ended meanwhile.
func (l *ClientListener) pause(d time.Duration) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// cutAll is the defect of mutation.SIGTERMCutsClients.
func (l *ClientListener) cutAll() {
	l.Close()
	for _, conn := range l.connections() {
		conn.tcp.Close()
	}
}
