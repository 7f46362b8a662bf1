// Package attempt decides about one request at a host and about a request over all of its attempts. It is pure: what happened on
// a connection goes in, what may follow comes out. Sockets, clocks and headers belong to the callers.
package attempt

import "net/http"

// Stage is how far an exchange has come.
type Stage uint8

// The stages. A host may answer before it has read the whole request, so that reading can overtake writing.
const (
	NotSent    Stage = iota // no byte of the request has left
	PartlySent              // some bytes have left
	Sent                    // all bytes have left
	HeadRead                // the head of the answer has been read
	BodyRead                // some of its body has been read
	Ended                   // the answer ended as its framing says
	Broken                  // no whole answer will come
)

// Progress is how much of a request has been written.
type Progress uint8

// The progress of a request.
const (
	WrittenNone Progress = iota
	WrittenSome
	WrittenAll
)

// Owner tells whose answer a head belongs to, by its request id.
type Owner uint8

// The owners of an answer.
const (
	OwnerNone    Owner = iota // no id, or one that this connection never carried
	OwnerOwn                  // the request under way
	OwnerEarlier              // a request that this connection carried before
)

// Framing tells how the body of an answer ends.
type Framing uint8

// The framings.
const (
	FramedByItself Framing = iota // by its length, or by its last chunk
	FramedByClose                 // by the end of the connection
	FramedByMethod                // not known, as the answer to another method may have no body
)

// Head is what matters of an answer's head.
type Head struct {
	Status      int
	Owner       Owner
	Framing     Framing
	NotExecuted bool // the host says that it did not run the request
	Sealed      bool // the host's seal is there
	Encoded     bool // the body is encoded, which the client did not ask for
	Closing     bool // the host ends the connection behind this answer
}

// Refusal tells whether the head proves that the request has not run and never will.
func (h Head) Refusal() bool {
	return h.Owner == OwnerOwn && (h.NotExecuted || h.Status == http.StatusMisdirectedRequest)
}

// Promise tells whether a status promises a client that its request has not run.
func Promise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// valid tells whether the answer can be the host's answer to the request under way.
func (h Head) valid() bool {
	success := h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
	return h.Owner == OwnerOwn && !h.Encoded && h.Status >= http.StatusOK && (h.Sealed || !success)
}

// Verdict is what to do with an answer whose head was read.
type Verdict uint8

// The verdicts.
const (
	Reject Verdict = iota // the connection is of no use any more
	Accept                // it is the answer
	Skip                  // it is a surplus answer to an earlier request: read over it
)

// Exchange is one request on one connection. Its zero value has sent nothing. It is comparable.
type Exchange struct {
	stage   Stage
	written Progress
	head    Head
	surplus bool // bytes arrived that belong to no request under way
}

// Stage tells how far the exchange has come.
func (x *Exchange) Stage() Stage { return x.stage }

// Written tells how much of the request has left.
func (x *Exchange) Written() Progress { return x.written }

// Head is the head of the answer; it is empty before HeadRead.
func (x *Exchange) Head() Head { return x.head }

// Write notes how much of the request has left by now.
func (x *Exchange) Write(progress Progress) {
	x.written = max(x.written, progress)
	if x.stage < HeadRead {
		x.stage = max(x.stage, sendStage(x.written))
	}
}

func sendStage(progress Progress) Stage {
	switch progress {
	case WrittenNone:
		return NotSent
	case WrittenSome:
		return PartlySent
	default:
		return Sent
	}
}

// Receive takes the head of an answer and says what to do with it.
func (x *Exchange) Receive(head Head) Verdict {
	if x.stage >= HeadRead {
		return Reject
	}
	switch {
	case x.written == WrittenNone:
		// nothing was asked, so nothing can have been answered
	case head.valid():
		x.head = head
		x.stage = HeadRead
		return Accept
	case head.Owner == OwnerEarlier && head.Framing == FramedByItself && !head.Closing:
		x.surplus = true
		return Skip
	}
	x.Break()
	return Reject
}

// ReceiveBody notes that some of the answer's body was read.
func (x *Exchange) ReceiveBody() {
	if x.stage == HeadRead {
		x.stage = BodyRead
	}
}

// End notes that the answer's body ended as its framing says.
func (x *Exchange) End() {
	if x.stage == HeadRead || x.stage == BodyRead {
		x.stage = Ended
	}
}

// Surplus notes bytes behind the answer, or in front of it, that belong to no request.
func (x *Exchange) Surplus() { x.surplus = true }

// Break notes that the connection was lost, that time ran out or that what came is no answer.
func (x *Exchange) Break() {
	if x.stage != Ended {
		x.stage = Broken
	}
}

// MayHaveRun tells whether the host may have run the request, or may still run it.
func (x *Exchange) MayHaveRun() bool { return x.written != WrittenNone && !x.head.Refusal() }

// Refused tells whether the host has proved that it did not run the request. It needs no more than the head of its answer.
func (x *Exchange) Refused() bool { return x.head.Refusal() }

// Whole tells whether the client may be given the answer as a complete one.
func (x *Exchange) Whole() bool { return x.stage == Ended }

// Reusable tells whether the connection may carry another request: the answer ended by its own framing, the whole request has
// left, and nothing stands behind the answer.
func (x *Exchange) Reusable() bool {
	return x.stage == Ended && x.written == WrittenAll && x.head.Framing == FramedByItself && !x.head.Closing && !x.surplus
}
