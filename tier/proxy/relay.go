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

// relayState is the answer of a turn as far as the client has it.
type relayState struct {
	started  bool
	events   uint64
	lastID   int64
	output   []byte
	host     string
	clientOK bool
	attempts attempt.Attempts
}

// relay sends a turn to hosts until one streams its answer, and passes the events on as they come. On a resumable route a
// broken-off stream goes on at another host within the same answer.
func (p *Proxy) relay(ctx context.Context, w http.ResponseWriter, t *turn) {
	state := &relayState{lastID: -1, clientOK: true, attempts: attempt.NewAttempts(repeatabilityOf(t.route), t.route.MaxAttempts)}
	if id, err := strconv.ParseInt(t.header.Get("Last-Event-Id"), 10, 64); err == nil {
		state.lastID = id
	}
	tried := map[string]bool{}
	failure := codes.NoHost
	for state.attempts.CanAttempt() && ctx.Err() == nil && state.clientOK {
		host := p.hosts.choose(t.service, t.hint, tried)
		if host == nil {
			break
		}
		tried[host.ID] = true
		outcome := p.relayFrom(ctx, w, t, host, state)
		if state.attempts.Next(outcome) == attempt.Forward {
			return
		}
		failure = failureCode(outcome)
	}
	p.giveUp(ctx, w, t, state, failure)
}

// giveUp ends a turn that no host finished.
func (p *Proxy) giveUp(ctx context.Context, w http.ResponseWriter, t *turn, state *relayState, failure codes.Code) {
	p.settleLater(t, t.end(state.events*t.stride, false, nil, state.host))
	step := state.attempts.FinalStep()
	switch {
	case step == attempt.Abort || !state.clientOK:
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil:
		p.outOfTime(ctx, w)
	case step == attempt.Fail:
		p.fail(w, http.StatusBadGateway, codes.HostFailed)
	default:
		p.refuse(w, failure, t.left(), p.outages.turnedAway(t.service))
	}
}

// relayFrom serves the turn from one host. The outcome is Answered if the answer has ended.
func (p *Proxy) relayFrom(ctx context.Context, w http.ResponseWriter, t *turn, host *target, state *relayState) attempt.Outcome {
	lastEvent := t.header.Get("Last-Event-Id")
	if state.started && state.lastID >= 0 {
		lastEvent = strconv.FormatInt(state.lastID, 10)
	}
	limit := p.firstEventLimit(t, state)
	sent, outcome := p.send(ctx, t.request, host, payload{lastEvent, t.prompt}, limit)
	if sent == nil {
		p.hosts.done(host, silentOutcome(ctx, outcome))
		return outcome
	}
	switch {
	case sent.refused():
		sent.drain()
		p.hosts.done(host, outcomeFull)
		return attempt.Refused
	case sent.response.StatusCode != http.StatusOK || !mayBeEvents(sent.response.Header):
		return p.relayWhole(ctx, w, t, sent, state)
	default:
		return p.relayEvents(ctx, w, t, sent, state, limit)
	}
}

// firstEventLimit is until when the first event of a stream has to come, or zero if there is no such time. Only a stream that may be
// taken up elsewhere, and has given its client nothing yet, is given up for its silence.
func (p *Proxy) firstEventLimit(t *turn, state *relayState) time.Time {
	if repeatabilityOf(t.route) != attempt.Resumable || state.started {
		return time.Time{}
	}
	return p.patience.limit(t.request)
}

// mayBeEvents tells whether the body of an answer is a stream of events, as far as its head says.
func mayBeEvents(header http.Header) bool {
	kind, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	kind = strings.TrimSpace(kind)
	return kind == "" || strings.EqualFold(kind, "text/event-stream")
}

// relayWhole passes on an answer that is no stream: a failure that the host itself gave, or the body of a host that generates
// nothing. What a program may spend or keep has to be counted in events, so that such a success is no answer to its turn.
func (p *Proxy) relayWhole(ctx context.Context, w http.ResponseWriter, t *turn, sent *hostResponse, state *relayState) attempt.Outcome {
	head := sent.head()
	body, err := sent.readAll()
	uncounted := t.accounted() && sent.response.StatusCode < http.StatusMultipleChoices
	if err != nil || state.started || uncounted {
		p.hosts.done(sent.host, failedOutcome(ctx))
		return attempt.Uncertain
	}
	p.answered(t.request, sent.host, head)
	p.settleLater(t, t.end(0, false, nil, sent.host.ID))
	p.passOnPlain(w, t.request, state.attempts, plainAnswer{sent.response, head, body})
	return attempt.Answered
}

const (
	streamReadBytes = 4 << 10
	// maxEventBytes is the longest event; a host that sends more without an end of one has failed.
	maxEventBytes = 4 << 20
)

// relayEvents passes events on, each as soon as it is whole.
func (p *Proxy) relayEvents(
	ctx context.Context, w http.ResponseWriter, t *turn, sent *hostResponse, state *relayState, limit time.Time,
) attempt.Outcome {
	var splitter sse.Splitter
	begun := false
	buffer := make([]byte, streamReadBytes)
	state.host = sent.host.ID
	for {
		n, err := sent.response.Body.Read(buffer)
		for _, event := range splitter.Add(buffer[:n]) {
			if !begun {
				begun = true
				sent.lease.ClearDeadline()
				p.patience.answered(t.route.Name, time.Since(sent.sentAt))
			}
			if event.ID >= 0 && event.ID <= state.lastID {
				continue
			}
			if !p.passOn(w, t, sent, state, event) {
				sent.lease.Close()
				p.hosts.done(sent.host, outcomeAbandoned)
				return attempt.Uncertain
			}
		}
		if err == nil && splitter.Pending() <= maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && splitter.Pending() == 0 {
			sent.lease.Release()
			p.answered(t.request, sent.host, sent.head())
			p.finish(ctx, w, t, sent, state)
			return attempt.Answered
		}
		sent.lease.Close()
		if !begun {
			p.noteGivenUp(t.request, sent.sentAt, limit)
		}
		p.hosts.done(sent.host, failedOutcome(ctx))
		return attempt.Uncertain
	}
}

// passOn writes one event to the client.
func (p *Proxy) passOn(w http.ResponseWriter, t *turn, sent *hostResponse, state *relayState, event sse.Event) bool {
	state.start(w, sent)
	state.events++
	if event.ID >= 0 {
		state.lastID = event.ID
	}
	state.attempts.ResponseStarted(event.ID >= 0)
	if t.route.Retained {
		state.output = append(state.output, event.Data...)
		state.output = append(state.output, '\n')
	}
	if _, err := w.Write(event.Raw); err != nil {
		state.clientOK = false
		return false
	}
	if flusher, can := w.(http.Flusher); can {
		flusher.Flush()
	}
	return true
}

// start writes the head of the answer, which stays that of the first host.
func (s *relayState) start(w http.ResponseWriter, sent *hostResponse) {
	if s.started {
		return
	}
	s.started = true
	copyHeader(w.Header(), sent.response.Header)
	w.WriteHeader(sent.response.StatusCode)
}

// finish ends a whole answer. A turn that is to be kept is durable before the client can see that its answer has ended.
func (p *Proxy) finish(ctx context.Context, w http.ResponseWriter, t *turn, sent *hostResponse, state *relayState) {
	state.start(w, sent)
	end := t.end(state.events*t.stride, true, state.output, state.host)
	if !t.accounted() {
		return
	}
	if !t.route.Retained {
		p.settleLater(t, end)
		return
	}
	if err := p.settle(ctx, t, end, min(endPatience, max(t.left(), 0))); err != nil {
		p.log.WithField("code", uint16(codes.AnswerNotKept)).WithField("request", t.id).WithError(err).
			Warn("a turn could not be made durable; its answer is broken off")
		p.settleLater(t, t.end(state.events*t.stride, false, nil, state.host))
		panic(http.ErrAbortHandler)
	}
}
