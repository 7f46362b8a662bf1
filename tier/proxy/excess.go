package proxy

import (
	"sync/atomic"
	"time"

	"otterseam/tier/codes"
)

// excess is what a host sent too much of.
type excess uint8

const (
	excessHead   excess = iota // a head that is too long
	excessBody                 // a body that is too long, or whose announced length is
	excessUnread               // a body that the proxy doesn't forward
	excessEvent                // an event that is too long
	excessTokens               // more events than the tokens that a turn may generate
	excessIdle                 // too many bytes of a stream without an event for the client
	excessMemory               // the response held most of what all responses may hold
	excessKinds  = iota        // number of the kinds above
)

var excessNames = [excessKinds]string{"head", "body", "unread-body", "event", "tokens", "idle-stream", "memory"}

// String returns the kind's name in logs and metrics.
func (e excess) String() string { return excessNames[e] }

// excessLogInterval is the shortest interval between two log lines about the same host.
const excessLogInterval = time.Second

// excessCounts counts the responses that were given up, by kind.
type excessCounts [excessKinds]atomic.Uint64

// recordExcess counts a response that was given up because its host sent too much, and logs it unless it has just logged another one of
// the host.
func (p *Proxy) recordExcess(host *upstreamHost, kind excess, requestID string) {
	p.excesses[kind].Add(1)
	if !p.hosts.mayLogExcess(host, time.Now()) {
		return
	}
	p.log.WithField("code", uint16(codes.ResponseExcess)).WithField("host", host.ID).WithField("address", host.address).
		WithField("service", host.service).WithField("kind", kind.String()).WithField("request", requestID).
		Warn("a host sent too much; its response is given up")
}

// recordIfYielded records that the response of a host had to yield, if it had to.
func (p *Proxy) recordIfYielded(r *request, host *upstreamHost) {
	if r.memory.hasYielded() {
		p.recordExcess(host, excessMemory, r.id)
	}
}

// mayLogExcess reports whether a line about the host may be logged now.
func (t *hostTable) mayLogExcess(host *upstreamHost, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(host.excessLoggedAt) < excessLogInterval {
		return false
	}
	host.excessLoggedAt = now
	return true
}
