package httpguard

import (
	"sync"
	"time"
)

// minIdleTime is how long a connection has to wait for a request, or for the rest of a head, before it may be closed for another one.
const minIdleTime = 100 * time.Millisecond

// connectionSet holds the open connections of a guard.
type connectionSet struct {
	mu    sync.Mutex
	conns map[*guardedConn]bool
}

// add adds a connection. If there are maximum connections already, it closes one that waits for a request. It returns false, and doesn't
// add the connection, if there is none. A maximum of 0 means no limit.
func (s *connectionSet) add(conn *guardedConn, maximum int) bool {
	if maximum <= 0 {
		return true
	}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*guardedConn]bool{}
	}
	var victim *guardedConn
	if len(s.conns) >= maximum {
		if victim = s.longestWaiting(time.Now()); victim == nil {
			s.mu.Unlock()
			return false
		}
		delete(s.conns, victim)
	}
	s.conns[conn] = true
	s.mu.Unlock()
	if victim != nil {
		_ = victim.Close()
	}
	return true
}

func (s *connectionSet) remove(conn *guardedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// longestWaiting returns the connection that has waited longest for the first byte of a request, or else for the rest of a head. It
// returns nil if none has waited for minIdleTime. The caller holds the lock.
func (s *connectionSet) longestWaiting(now time.Time) *guardedConn {
	var idle, reading *guardedConn
	var idleSince, readingSince time.Time
	for conn := range s.conns {
		since, started, waiting := conn.waiting()
		switch {
		case !waiting || now.Sub(since) < minIdleTime:
		case started && (reading == nil || since.Before(readingSince)):
			reading, readingSince = conn, since
		case !started && (idle == nil || since.Before(idleSince)):
			idle, idleSince = conn, since
		}
	}
	if idle != nil {
		return idle
	}
	return reading
}
