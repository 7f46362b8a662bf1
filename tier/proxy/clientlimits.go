package proxy

import (
	"encoding/json"
	"net/http"

	"otterseam/tier/clientmemory"
	"otterseam/tier/codes"
	"otterseam/tier/httpguard"
	"otterseam/tier/limits"
)

// overloadRetryAfter is the Retry-After header, in seconds, of requests that are rejected before their head is complete.
const overloadRetryAfter = "1"

// limitClients sets what clients may hold.
func (p *Proxy) limitClients(l limits.Limits) {
	p.guard.Memory = clientmemory.NewBudget(l.ClientBytes())
	p.guard.MaxConnections = l.ClientConnections()
	p.guard.HeadTooLarge = httpguard.Response(http.StatusRequestHeaderFieldsTooLarge, "", problemBody(codes.HeadTooLarge))
	p.guard.Overloaded = httpguard.Response(http.StatusServiceUnavailable, overloadRetryAfter, problemBody(codes.Overloaded))
}

// problemBody returns the body of an error response with a code.
func problemBody(code codes.Code) []byte {
	body, _ := json.Marshal(problem{Code: uint16(code), Error: code.Error()})
	return body
}
