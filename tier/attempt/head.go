package attempt

import "net/http"

// Owner is the request that a response belongs to, according to the request ID in its head.
type Owner uint8

// Owners of a response.
const (
	OwnerNone    Owner = iota // the response has no request ID, or one that this connection never carried
	OwnerOwn                  // the current request
	OwnerEarlier              // an earlier request on this connection
)

// Framing is how the end of a response's body is determined.
type Framing uint8

// Framings of a response's body.
const (
	FramedByItself Framing = iota // by its length or its last chunk
	FramedByClose                 // by the end of the connection
	FramedByMethod                // unknown, because the earlier or the current request is a HEAD request, whose response has no body
)

// Head contains the relevant parts of a response's head.
type Head struct {
	Status      int
	Owner       Owner
	Framing     Framing
	NotExecuted bool // the host states that it did not run the request
	Sealed      bool // the host's seal is present
	Encoded     bool // the body has a content encoding, which the client did not ask for
	Closing     bool // the host closes the connection after this response
}

// IsRefusal reports whether the head proves that the request has not run and never will.
func (h Head) IsRefusal() bool {
	return h.Owner == OwnerOwn && (h.NotExecuted || h.Status == http.StatusMisdirectedRequest)
}

// PromisesNotExecuted reports whether a status promises a client that its request has not run.
func PromisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// isValid reports whether the response can be the host's response to the current request.
func (h Head) isValid() bool {
	success := h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
	return h.Owner == OwnerOwn && !h.Encoded && h.Status >= http.StatusOK && (h.Sealed || !success)
}
