package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"otterseam/tier/attempt"
	"otterseam/tier/codes"
	"otterseam/tier/sse"
)

const (
	streamReadBytes = 4 << 10
	// maxEventBytes is the longest event; a host that sends more without an end of one has failed.
	maxEventBytes = 4 << 20
)

// clientStream is the response of a turn as far as its client has it, over all attempts.
type clientStream struct {
	attempts     attempt.Attempts
	started      bool // the head is written
	disconnected bool
	events       uint64
	lastEventID  int64  // sse.NoID for none
	output       []byte // data of the events, of a turn that is to be kept
	hostID       string // of the last host that streamed
}

// relay sends a turn to hosts until one has streamed its response to the end, and forwards the events as they come. On a resumable
// route a stream that broke off resumes at another host within the same response.
func (p *Proxy) relay(ctx context.Context, w http.ResponseWriter, t *turn) {
	stream := &clientStream{lastEventID: sse.NoID, attempts: attempt.NewAttempts(repeatabilityOf(t.route), t.route.MaxAttempts)}
	if id, err := strconv.ParseInt(t.header.Get(headerLastEventID), 10, 64); err == nil {
		stream.lastEventID = id
	}
	tried := map[string]bool{}
	failure := codes.NoHost
	for stream.attempts.CanAttempt() && ctx.Err() == nil && !stream.disconnected {
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

// failTurn ends a turn that no host has completed. Failure is why the last attempt failed.
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
		p.reject(w, failure, t.remaining(), p.outages.recordOverload(t.service))
	}
}

// attemptTurn serves the turn from one host. The outcome is Answered if the client's response is complete.
func (p *Proxy) attemptTurn(ctx context.Context, w http.ResponseWriter, t *turn, host *upstreamHost, stream *clientStream) attempt.Outcome {
	deadline := p.firstEventDeadline(t, stream)
	response, outcome := p.send(ctx, t.request, host, content{stream.resumePoint(t), t.prompt}, deadline)
	if response == nil {
		p.hosts.finish(host, outcomeOfSilent(ctx, outcome))
		return outcome
	}
	switch {
	case response.isRefused():
		response.discard()
		p.hosts.finish(host, hostFull)
		return attempt.Refused
	case response.StatusCode != http.StatusOK || !mayBeEventStream(response.Header):
		return p.forwardBody(ctx, w, t, response, stream)
	default:
		return p.forwardEvents(ctx, w, t, response, stream, deadline)
	}
}

// resumePoint is the Last-Event-Id for the next host: that of the client's last event, or the client's own.
func (s *clientStream) resumePoint(t *turn) string {
	if s.started && s.lastEventID >= 0 {
		return strconv.FormatInt(s.lastEventID, 10)
	}
	return t.header.Get(headerLastEventID)
}

// firstEventDeadline is until when the first event of a stream has to come, or zero if there is no such time. Only a stream that may
// resume at another host, and has given its client nothing yet, is given up for its silence.
func (p *Proxy) firstEventDeadline(t *turn, stream *clientStream) time.Time {
	if repeatabilityOf(t.route) != attempt.Resumable || stream.started {
		return time.Time{}
	}
	return p.latencies.responseDeadline(t.request)
}

// mayBeEventStream tells whether the body of a response is a stream of events, as far as its head says.
func mayBeEventStream(header http.Header) bool {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType == "" || strings.EqualFold(mediaType, "text/event-stream")
}

// forwardBody forwards a response that is no stream: a failure that the host itself gave, or the body of a host that generates
// nothing. What a program may spend or keep has to be counted in events, so that such a success is no response to its turn.
func (p *Proxy) forwardBody(ctx context.Context, w http.ResponseWriter, t *turn, response *hostResponse, stream *clientStream) attempt.Outcome {
	head := response.head()
	body, err := response.readAll()
	uncounted := t.isAccounted() && response.StatusCode < http.StatusMultipleChoices
	if err != nil || stream.started || uncounted {
		p.hosts.finish(response.host, outcomeOfBroken(ctx))
		return attempt.Uncertain
	}
	p.finishComplete(t.request, response.host, head)
	p.settleInBackground(t, t.abortCommand(0, response.host.ID))
	p.forwardPlain(w, t.request, stream.attempts, plainResponse{response.Response, head, body})
	return attempt.Answered
}

// forwardEvents forwards events, each as soon as it is complete.
func (p *Proxy) forwardEvents(
	ctx context.Context, w http.ResponseWriter, t *turn, response *hostResponse, stream *clientStream, firstEventDeadline time.Time,
) attempt.Outcome {
	var splitter sse.Splitter
	firstEventCame := false
	buffer := make([]byte, streamReadBytes)
	stream.hostID = response.host.ID
	for {
		n, err := response.Body.Read(buffer)
		for _, event := range splitter.Add(buffer[:n]) {
			if !firstEventCame {
				firstEventCame = true
				response.lease.ClearDeadline()
				p.latencies.observeResponse(t.route.Name, time.Since(response.sentAt))
			}
			if event.ID >= 0 && event.ID <= stream.lastEventID {
				continue // the client has it from an earlier host
			}
			if !stream.forward(w, t, response, event) {
				response.lease.Close()
				p.hosts.finish(response.host, hostUnjudged)
				return attempt.Uncertain
			}
		}
		if err == nil && splitter.Pending() <= maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && splitter.Pending() == 0 {
			response.lease.Release()
			p.finishComplete(t.request, response.host, response.head())
			p.finishTurn(ctx, w, t, response, stream)
			return attempt.Answered
		}
		response.lease.Close()
		if !firstEventCame {
			p.observeTimeout(t.request, response.sentAt, firstEventDeadline)
		}
		p.hosts.finish(response.host, outcomeOfBroken(ctx))
		return attempt.Uncertain
	}
}

// forward writes one event to the client. It reports false if the client has disconnected.
func (s *clientStream) forward(w http.ResponseWriter, t *turn, response *hostResponse, event sse.Event) bool {
	s.start(w, response)
	s.events++
	if event.ID >= 0 {
		s.lastEventID = event.ID
	}
	s.attempts.ResponseStarted(event.ID >= 0)
	if t.route.Retained {
		s.output = append(s.output, event.Data...)
		s.output = append(s.output, '\n')
	}
	if _, err := w.Write(event.Raw); err != nil {
		s.disconnected = true
		return false
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	return true
}

// start writes the head of the response, which stays that of the first host.
func (s *clientStream) start(w http.ResponseWriter, response *hostResponse) {
	if s.started {
		return
	}
	s.started = true
	copyHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
}

// finishTurn ends a complete response. A turn that is to be kept is durable before the client can see that its response has ended.
func (p *Proxy) finishTurn(ctx context.Context, w http.ResponseWriter, t *turn, response *hostResponse, stream *clientStream) {
	stream.start(w, response)
	if !t.isAccounted() {
		return
	}
	received := stream.events * t.tokensPerEvent
	end := t.completeCommand(received, stream.output, stream.hostID)
	if !t.route.Retained {
		p.settleInBackground(t, end)
		return
	}
	if err := p.settle(ctx, t, end, min(endTimeout, max(t.remaining(), 0))); err != nil {
		p.log.WithField("code", uint16(codes.AnswerNotKept)).WithField("request", t.id).WithError(err).
			Warn("a turn could not be made durable; its answer is broken off")
		p.settleInBackground(t, t.abortCommand(received, stream.hostID))
		panic(http.ErrAbortHandler)
	}
}
