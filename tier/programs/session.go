package programs

// maxSessions is the number of sessions of a program whose last host is stored.
const maxSessions = 256

// minSessionBytes is the encoded size of a session whose ID and host are empty.
const minSessionBytes = 2 * minBlobBytes

// rememberHost stores the last host of a session, the preferred host for its next turn. It is only a hint: a new session beyond
// maxSessions clears all of them.
func (p *program) rememberHost(session, host string) {
	if _, known := p.sessionHosts[session]; !known && len(p.sessionHosts) >= maxSessions {
		clear(p.sessionHosts)
	}
	p.sessionHosts[session] = host
}
