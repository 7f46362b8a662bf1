package attempt

import "net/http"

// Owner tells whose response a head belongs to, by its request id.
type Owner uint8

// The owners of a response.
const (
	OwnerNone    Owner = iota // no id, or one that this connection never carried
	OwnerOwn                  // the request under way
	OwnerEarlier              // a request that this connection carried before
)

// Framing tells how the body of a response ends.
type Framing uint8

// The framings.
const (
	FramedByItself Framing = iota // by its length, or by its last chunk
	FramedByClose                 // by the end of the connection
	FramedByMethod                // not known, as the response to another method may have no body
)

// Head is what matters of a response's head.
type Head struct {
	Status      int
	Owner       Owner
	Framing     Framing
	NotExecuted bool // the host says that it did not run the request
	Sealed      bool // the host's seal is there
	Encoded     bool // the body is encoded, which the client did not ask for
	Closing     bool // the host ends the connection behind this response
}

// IsRefusal tells whether the head proves that the request has not run and never will.
func (h Head) IsRefusal() bool {
	return h.Owner == OwnerOwn && (h.NotExecuted || h.Status == http.StatusMisdirectedRequest)
}

// PromisesNotExecuted tells whether a status promises a client that its request has not run.
func PromisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// isValid tells whether the response can be the host's response to the request under way.
func (h Head) isValid() bool {
	success := h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
	return h.Owner == OwnerOwn && !h.Encoded && h.Status >= http.StatusOK && (h.Sealed || !success)
}
