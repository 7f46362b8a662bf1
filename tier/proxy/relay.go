package proxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterseam/tier/attempt"
	"otterseam/tier/codes"
	"otterseam/tier/httpguard"
	"otterseam/tier/sse"
)

// clientStream is the state of a turn's response to its client, across all attempts.
type clientStream struct {
	attempts     attempt.Attempts
	started      bool // the head has been written
	disconnected bool
	events       uint64 // events with data; a turn is charged for them
	lastEventID  int64  // sse.NoID if there is none
	output       []byte // event data, for a retained turn
	reserved     int    // capacity of output for which memory is reserved
	hostID       string // last host that streamed the response
}

// relay sends a turn to hosts until one of them has streamed its response to the end, and forwards the events as they arrive. On a
// resumable route, another host resumes an interrupted stream within the same client response.
func (p *Proxy) relay(ctx context.Context, w http.ResponseWriter, t *turn) {
	stream := &clientStream{lastEventID: sse.NoID, attempts: attempt.NewAttempts(repeatabilityOf(t.route), t.route.MaxAttempts)}
	if id, err := strconv.ParseInt(t.header.Get(headerLastEventID), 10, 64); err == nil {
		stream.lastEventID = id
	}
	tried := map[string]bool{}
	failure := codes.NoHost
	for number := 0; stream.attempts.CanAttempt() && ctx.Err() == nil && !stream.disconnected; number++ {
		if number > 0 && t.memory.begin(p.responses) != nil {
			failure = codes.Overloaded
			break
		}
		host := p.chooseHost(ctx, t.service, t.preferredHost, tried)
		if host == nil {
			break
		}
		tried[host.ID] = true
		outcome := p.attemptTurn(ctx, w, t, host, stream)
		if stream.attempts.Next(outcome) == attempt.Forward {
			return
		}
		failure = failureCode(outcome)
	}
	p.failTurn(ctx, w, t, stream, failure)
}

// failTurn ends a turn that no host has completed. failure is the reason why the last attempt failed.
func (p *Proxy) failTurn(ctx context.Context, w http.ResponseWriter, t *turn, stream *clientStream, failure codes.Code) {
	p.settleInBackground(t, t.abortCommand(stream.events*t.tokensPerEvent, stream.hostID))
	step := stream.attempts.FinalStep()
	switch {
	case step == attempt.Abort || stream.disconnected:
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil:
		p.failCancelled(ctx, w)
	case step == attempt.Fail:
		p.fail(w, http.StatusBadGateway, codes.HostFailed)
	default:
		p.rejectFailed(w, t.request, failure)
	}
}

// attemptTurn sends the turn to one host and forwards its response. The outcome is Answered if the client's response is complete.
func (p *Proxy) attemptTurn(ctx context.Context, w http.ResponseWriter, t *turn, host *upstreamHost, stream *clientStream) attempt.Outcome {
	deadline := p.firstEventDeadline(t, stream)
	response, outcome := p.send(ctx, t.request, host, attemptInput{stream.resumePoint(t), t.prompt}, deadline)
	if response == nil {
		p.hosts.finish(host, outcomeWithoutResponse(ctx, t.request, outcome))
		return outcome
	}
	switch {
	case response.isRefused():
		p.discardRefusal(t.request, response)
		return attempt.Refused
	case response.StatusCode != http.StatusOK || !mayBeEventStream(response.Header):
		return p.forwardBody(ctx, w, t, response, stream)
	default:
		return p.newEventForwarder(w, t, response, stream, deadline).run(ctx)
	}
}

// resumePoint returns the Last-Event-Id for the next host: the ID of the last event sent to the client, or else the Last-Event-Id of
// the client's request.
func (s *clientStream) resumePoint(t *turn) string {
	if s.started && s.lastEventID >= 0 {
		return strconv.FormatInt(s.lastEventID, 10)
	}
	return t.header.Get(headerLastEventID)
}

// firstEventDeadline returns the deadline for the first event of a stream, or zero if there is none. Only a stream that another host
// may resume, and of which the client has received nothing, has a deadline.
func (p *Proxy) firstEventDeadline(t *turn, stream *clientStream) time.Time {
	if repeatabilityOf(t.route) != attempt.Resumable || stream.started {
		return time.Time{}
	}
	return p.latencies.responseDeadline(t.request)
}

// mayBeEventStream reports whether the Content-Type of a response is that of an event stream or missing.
func mayBeEventStream(header http.Header) bool {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType == "" || strings.EqualFold(mediaType, "text/event-stream")
}

// forwardBody forwards a response that is not an event stream: an error response of the host, or the body of a host that generates no
// tokens. The tokens of an accounted turn are counted by events, so a successful response without events is not valid for it.
func (p *Proxy) forwardBody(ctx context.Context, w http.ResponseWriter, t *turn, response *hostResponse, stream *clientStream) attempt.Outcome {
	uncounted := t.isAccounted() && response.StatusCode < http.StatusMultipleChoices
	if stream.started || uncounted {
		response.lease.Close()
		p.hosts.finish(response.host, outcomeOfBrokenResponse(ctx))
		return attempt.Uncertain
	}
	held, outcome := p.holdBody(ctx, t.request, response)
	if outcome != attempt.Answered {
		return outcome
	}
	p.settleInBackground(t, t.abortCommand(0, response.host.ID))
	p.forwardPlain(ctx, w, t.request, stream.attempts, held)
	return attempt.Answered
}

// firstOutputBytes is the size of an output for which the memory of its request suffices.
const firstOutputBytes = 16 << 10

// keep adds the data of an event to the output. It returns false if there is no memory for it.
func (s *clientStream) keep(ctx context.Context, data []byte) bool {
	if size := len(s.output) + len(data) + 1; size > max(s.reserved, firstOutputBytes) {
		larger := 2 * size
		if httpguard.Reserve(ctx, int64(larger-s.reserved)*retainedCopies) != nil {
			return false
		}
		s.reserved = larger
		s.output = slices.Grow(s.output, larger-len(s.output))
	}
	s.output = append(s.output, data...)
	s.output = append(s.output, '\n')
	return true
}

// start writes the head of the response, which is that of the first host, unless it has been written.
func (s *clientStream) start(w http.ResponseWriter, response *hostResponse) {
	if s.started {
		return
	}
	s.started = true
	copyHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
}

// finishTurn ends a complete response and settles the turn. A retained turn is durable before the client can detect the end of its
// response.
func (p *Proxy) finishTurn(ctx context.Context, w http.ResponseWriter, t *turn, response *hostResponse, stream *clientStream) {
	stream.start(w, response)
	if !t.isAccounted() {
		return
	}
	received := stream.events * t.tokensPerEvent
	p.outputs.observe(len(stream.output), received)
	deadline := time.Now().Add(min(retainTimeout, t.remaining()))
	end := t.completeCommand(received, stream.output, stream.hostID, deadline)
	if !t.route.Retained {
		p.settleInBackground(t, end)
		return
	}
	if err := p.settle(ctx, t, end, deadline); err != nil {
		p.log.WithField("code", uint16(codes.AnswerNotKept)).WithField("request", t.id).WithError(err).
			Warn("failed to make a turn durable; its response is aborted")
		p.settleInBackground(t, t.abortCommand(received, stream.hostID))
		panic(http.ErrAbortHandler)
	}
}
