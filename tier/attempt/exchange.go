package attempt

// Stage is the progress of an exchange.
type Stage uint8

// Stages of an exchange. A host may respond before it has read the whole request, so the response may be read while the request is
// still being written.
const (
	NotSent    Stage = iota // no byte of the request has been sent
	PartlySent              // part of the request has been sent
	Sent                    // the whole request has been sent
	HeadRead                // the head of the response has been read
	BodyRead                // part of the body of the response has been read
	Complete                // the response has ended according to its framing
	Broken                  // no complete response will be received
)

// Progress is the part of a request that has been sent.
type Progress uint8

// Progress values.
const (
	WrittenNone Progress = iota
	WrittenSome
	WrittenAll
)

// Verdict states how to handle a response whose head was read.
type Verdict uint8

// Verdicts on a response.
const (
	Reject Verdict = iota // the connection can no longer be used
	Accept                // it is the response to the current request
	Skip                  // it is an unsolicited response to an earlier request: discard it and read the next head
)

// Exchange is one request and its response on one connection. The zero value has sent nothing. It is comparable.
type Exchange struct {
	stage       Stage
	written     Progress
	head        Head
	unsolicited bool // bytes were received that do not belong to the current request's response
}

// Stage returns the progress of the exchange.
func (x *Exchange) Stage() Stage { return x.stage }

// Written returns how much of the request has been sent.
func (x *Exchange) Written() Progress { return x.written }

// Head returns the head of the response. It is empty before HeadRead.
func (x *Exchange) Head() Head { return x.head }

// Write records how much of the request has been sent so far.
func (x *Exchange) Write(progress Progress) {
	x.written = max(x.written, progress)
	if x.stage < HeadRead {
		x.stage = max(x.stage, sendStage(x.written))
	}
}

// sendStage returns the stage of an exchange without a response.
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

// ReceiveHead records the head of a response and returns how to handle the response.
func (x *Exchange) ReceiveHead(head Head) Verdict {
	if x.stage >= HeadRead {
		return Reject
	}
	switch {
	case x.written == WrittenNone:
		// No part of a request was sent, so this cannot be its response.
	case head.isValid():
		x.head = head
		x.stage = HeadRead
		return Accept
	case head.Owner == OwnerEarlier && head.Framing == FramedByItself && !head.Closing:
		x.unsolicited = true
		return Skip
	}
	x.Break()
	return Reject
}

// ReceiveBody records that part of the response's body was read.
func (x *Exchange) ReceiveBody() {
	if x.stage == HeadRead {
		x.stage = BodyRead
	}
}

// End records that the response's body ended according to its framing.
func (x *Exchange) End() {
	if x.stage == HeadRead || x.stage == BodyRead {
		x.stage = Complete
	}
}

// ReceiveUnsolicited records bytes before or after the response that do not belong to it.
func (x *Exchange) ReceiveUnsolicited() { x.unsolicited = true }

// Break records that the connection was lost, that the deadline passed or that the received bytes are not a valid response.
func (x *Exchange) Break() {
	if x.stage != Complete {
		x.stage = Broken
	}
}

// MayHaveRun reports whether the host may have run the request, or may still run it.
func (x *Exchange) MayHaveRun() bool { return x.written != WrittenNone && !x.head.IsRefusal() }

// IsRefused reports whether the host has proved that it did not run the request. The head of the response is sufficient proof.
func (x *Exchange) IsRefused() bool { return x.head.IsRefusal() }

// IsComplete reports whether the response may be forwarded to the client as a complete one.
func (x *Exchange) IsComplete() bool { return x.stage == Complete }

// IsReusable reports whether the connection may carry another request: the response ended by its own framing, the whole request has
// been sent, and no unsolicited bytes were received.
func (x *Exchange) IsReusable() bool {
	return x.stage == Complete && x.written == WrittenAll && x.head.Framing == FramedByItself && !x.head.Closing && !x.unsolicited
}
