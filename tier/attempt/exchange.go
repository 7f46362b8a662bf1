package attempt

// Stage is how far an exchange has come.
type Stage uint8

// The stages. A host may answer before it has read the whole request, so that reading can overtake writing.
const (
	NotSent    Stage = iota // no byte of the request has left
	PartlySent              // some bytes have left
	Sent                    // all bytes have left
	HeadRead                // the head of the response has been read
	BodyRead                // some of its body has been read
	Complete                // the response ended as its framing says
	Broken                  // no complete response will come
)

// Progress is how much of a request has been written.
type Progress uint8

// The progress of a request.
const (
	WrittenNone Progress = iota
	WrittenSome
	WrittenAll
)

// Verdict is what to do with a response whose head was read.
type Verdict uint8

// The verdicts.
const (
	Reject Verdict = iota // the connection is of no use any more
	Accept                // it is the response
	Skip                  // it is an unsolicited response to an earlier request: read over it
)

// Exchange is one request on one connection. Its zero value has sent nothing. It is comparable.
type Exchange struct {
	stage       Stage
	written     Progress
	head        Head
	unsolicited bool // bytes arrived that belong to no request under way
}

// Stage tells how far the exchange has come.
func (x *Exchange) Stage() Stage { return x.stage }

// Written tells how much of the request has left.
func (x *Exchange) Written() Progress { return x.written }

// Head is the head of the response; it is empty before HeadRead.
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

// ReceiveHead takes the head of a response and says what to do with it.
func (x *Exchange) ReceiveHead(head Head) Verdict {
	if x.stage >= HeadRead {
		return Reject
	}
	switch {
	case x.written == WrittenNone:
		// nothing was asked, so nothing can have been answered
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

// ReceiveBody notes that some of the response's body was read.
func (x *Exchange) ReceiveBody() {
	if x.stage == HeadRead {
		x.stage = BodyRead
	}
}

// End notes that the response's body ended as its framing says.
func (x *Exchange) End() {
	if x.stage == HeadRead || x.stage == BodyRead {
		x.stage = Complete
	}
}

// ReceiveUnsolicited notes bytes behind the response, or in front of it, that belong to no request.
func (x *Exchange) ReceiveUnsolicited() { x.unsolicited = true }

// Break notes that the connection was lost, that time ran out or that what came is no response.
func (x *Exchange) Break() {
	if x.stage != Complete {
		x.stage = Broken
	}
}

// MayHaveRun tells whether the host may have run the request, or may still run it.
func (x *Exchange) MayHaveRun() bool { return x.written != WrittenNone && !x.head.IsRefusal() }

// IsRefused tells whether the host has proved that it did not run the request. It needs no more than the head of its response.
func (x *Exchange) IsRefused() bool { return x.head.IsRefusal() }

// IsComplete tells whether the client may be given the response as a complete one.
func (x *Exchange) IsComplete() bool { return x.stage == Complete }

// IsReusable tells whether the connection may carry another request: the response ended by its own framing, the whole request has
// left, and nothing stands behind the response.
func (x *Exchange) IsReusable() bool {
	return x.stage == Complete && x.written == WrittenAll && x.head.Framing == FramedByItself && !x.head.Closing && !x.unsolicited
}
