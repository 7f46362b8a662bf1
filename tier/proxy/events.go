package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"otterseam/tier/attempt"
	"otterseam/tier/sse"
)

const (
	streamReadBytes = 4 << 10
	// maxEventBytes is the maximum size of an event. A host that sends more bytes without completing an event has failed.
	maxEventBytes = 4 << 20
	// eventCopies is how many copies of a long event are in memory at the same time: the buffer, the event and its data.
	eventCopies = 3
	// freeEventBytes is the size of an event for which the memory of its attempt suffices.
	freeEventBytes = 4 << 10
	// ordinaryEventBytes is the size up to which an event for which there is no memory is not evidence about its host.
	ordinaryEventBytes = 64 << 10
	// maxIdleBytes is how many bytes of a stream may follow each other without an event that is new to the client: comments, events without
	// data, and events that the client has received from an earlier host.
	maxIdleBytes = 64 << 10
)

// eventForwarder forwards the events of one host's response.
type eventForwarder struct {
	proxy    *Proxy
	client   http.ResponseWriter
	turn     *turn
	response *hostResponse
	stream   *clientStream
	splitter sse.Splitter

	firstEventDeadline time.Time
	firstEventReceived bool
	idleBytes          int
	reserved           int64 // memory for the event that is being received
}

func (p *Proxy) newEventForwarder(
	w http.ResponseWriter, t *turn, response *hostResponse, stream *clientStream, firstEventDeadline time.Time,
) *eventForwarder {
	stream.hostID = response.host.ID
	return &eventForwarder{proxy: p, client: w, turn: t, response: response, stream: stream, firstEventDeadline: firstEventDeadline}
}

// errStreamEnded indicates that the response ended with a complete event.
var errStreamEnded = errors.New("the stream has ended")

// excessError is returned for a response that is given up because its host sent too much.
type excessError struct{ kind excess }

// Error returns a text that names what the host sent.
func (e *excessError) Error() string { return "the host sent too much: " + e.kind.String() }

// errNoMemory indicates that there is no memory for an event of ordinary size.
var errNoMemory = errors.New("no memory for the response")

// run forwards each event as soon as it is complete, and ends the response.
func (f *eventForwarder) run(ctx context.Context) attempt.Outcome {
	buffer := make([]byte, streamReadBytes)
	for {
		n, readErr := f.response.Body.Read(buffer)
		err := f.forwardAll(ctx, f.splitter.Add(buffer[:n]))
		if err == nil {
			err = f.afterRead(readErr)
		}
		if errors.Is(err, errStreamEnded) {
			return f.complete(ctx)
		}
		if err != nil {
			return f.fail(ctx, err)
		}
	}
}

// afterRead decides whether the response goes on after a read that returned readErr.
func (f *eventForwarder) afterRead(readErr error) error {
	pending := f.splitter.Pending()
	switch {
	case errors.Is(readErr, io.EOF) && pending == 0:
		return errStreamEnded
	case readErr != nil:
		return readErr
	case pending > maxEventBytes:
		return &excessError{excessEvent}
	case f.reserve(pending):
		return nil
	case pending > ordinaryEventBytes:
		return &excessError{excessMemory}
	default:
		return errNoMemory
	}
}

// reserve reserves the memory of an event of which some bytes are pending, and gives it back after the event.
func (f *eventForwarder) reserve(pending int) bool {
	if pending <= freeEventBytes {
		f.response.memory.release(f.reserved)
		f.reserved = 0
		return true
	}
	missing := int64(pending)*eventCopies - f.reserved
	if missing <= 0 {
		return true
	}
	missing = max(missing, min(f.reserved, maxEventBytes*eventCopies-f.reserved))
	if !f.response.memory.reserve(missing) {
		return false
	}
	f.reserved += missing
	return true
}

// complete ends a response that has ended with a complete event.
func (f *eventForwarder) complete(ctx context.Context) attempt.Outcome {
	f.response.lease.Release()
	f.proxy.finishComplete(f.turn.request, f.response.host, f.response.head())
	f.proxy.finishTurn(ctx, f.client, f.turn, f.response, f.stream)
	return attempt.Answered
}

// fail ends a response that was interrupted or is given up.
func (f *eventForwarder) fail(ctx context.Context, err error) attempt.Outcome {
	f.response.lease.Close()
	var tooMuch *excessError
	var clientFailed *clientError
	outcome := outcomeOfBrokenResponse(ctx)
	switch {
	case errors.As(err, &clientFailed):
		outcome = hostInconclusive
	case errors.As(err, &tooMuch):
		f.proxy.recordExcess(f.response.host, tooMuch.kind, f.turn.id)
	case f.response.memory.hasYielded():
		f.proxy.recordExcess(f.response.host, excessMemory, f.turn.id)
	case errors.Is(err, errNoMemory):
		outcome = hostInconclusive
	case !f.firstEventReceived:
		f.proxy.observeTimeout(f.turn.request, f.response.sentAt, f.firstEventDeadline)
	}
	f.proxy.hosts.finish(f.response.host, outcome)
	return attempt.Uncertain
}

// forwardAll forwards events to the client.
func (f *eventForwarder) forwardAll(ctx context.Context, events []sse.Event) error {
	if len(events) == 0 {
		return nil
	}
	return f.response.memory.writing(f.client, func() error {
		defer f.flush()
		for _, event := range events {
			if err := f.forward(ctx, event); err != nil {
				return err
			}
		}
		return nil
	})
}

// flush sends what was written to the client.
func (f *eventForwarder) flush() {
	if flusher, ok := f.client.(http.Flusher); ok && f.stream.started {
		flusher.Flush()
	}
}

// forward forwards one event, unless the client has received it from an earlier host.
func (f *eventForwarder) forward(ctx context.Context, event sse.Event) error {
	if !f.firstEventReceived {
		f.firstEventReceived = true
		f.response.lease.ClearDeadline()
		f.proxy.latencies.observeResponse(f.turn.route.Name, time.Since(f.response.sentAt))
	}
	isRepeated := event.ID >= 0 && event.ID <= f.stream.lastEventID
	if isRepeated || !event.HasData {
		if f.idleBytes += len(event.Raw); f.idleBytes > maxIdleBytes {
			return &excessError{excessIdle}
		}
	} else {
		f.idleBytes = 0
	}
	if isRepeated {
		return nil
	}
	if maximum, known := f.turn.maxEvents(); known && event.HasData && f.stream.events >= maximum {
		return &excessError{excessTokens}
	}
	return f.stream.forward(ctx, f.client, f.turn, f.response, event)
}

// errNoOutputMemory indicates that there is no memory for the output of a retained turn.
var errNoOutputMemory = errors.New("no memory for the output of the turn")

// forward writes one event to the client. The error is a *clientError if the client has disconnected, or if there is no memory for the
// output of a retained turn, whose response is then broken off.
func (s *clientStream) forward(ctx context.Context, w http.ResponseWriter, t *turn, response *hostResponse, event sse.Event) error {
	s.start(w, response)
	if event.HasData {
		s.events++
	}
	if event.ID >= 0 {
		s.lastEventID = event.ID
	}
	s.attempts.ResponseStarted(event.ID >= 0)
	if t.route.Retained && event.HasData && !s.keep(ctx, event.Data) {
		s.disconnected = true
		return &clientError{errNoOutputMemory}
	}
	if _, err := w.Write(event.Raw); err != nil {
		s.disconnected = true
		return &clientError{err}
	}
	return nil
}
