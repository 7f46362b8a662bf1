package programs

// maxSessions is how many sessions of a program have their last host remembered.
const maxSessions = 256

// minSessionBytes is the encoded size of a session and its host with empty names.
const minSessionBytes = 2 * minBlobBytes

// rememberHost remembers the last host of a session, which is where its next turn is best sent. It is a hint: when there are too many,
// all are forgotten.
func (p *program) rememberHost(session, host string) {
	if _, known := p.sessionHosts[session]; !known && len(p.sessionHosts) >= maxSessions {
		clear(p.sessionHosts)
	}
	p.sessionHosts[session] = host
}
