package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"otterseam/tier/attempt"
)

const (
	// inlineWriteBytes is the longest request that is written before its response is read; a longer one is written beside that, as its
	// host may answer before it has read it all.
	inlineWriteBytes = 16 << 10
	// maxInterimResponses is how many interim responses are read before the response proper.
	maxInterimResponses = 16
	// maxUnsolicitedBytes is the longest unsolicited response that is read over.
	maxUnsolicitedBytes = 1 << 20

	headerRequestID   = "X-Request-Id"
	headerNotExecuted = "X-Not-Executed"
	headerSeal        = "X-Response-Seal"
)

// Request is a request as it goes onto a connection.
type Request struct {
	ID       string
	Method   string
	Bytes    []byte
	Deadline time.Time // of the exchange, besides the context's; zero for none
}

// RoundTrip sends the request and reads the head of its response, whose body reads from the connection. After an error the lease
// has to be closed; the exchange tells whether the request may have run.
func (l *Lease) RoundTrip(request Request) (*http.Response, error) {
	conn := l.ownedConn()
	if !conn.recordRequest(request.ID, request.Method) {
		return nil, errors.Join(ErrNotSent, ErrDuplicateRequestID)
	}
	_ = conn.socket.SetDeadline(request.Deadline)
	if err := l.send(conn, request.Bytes); err != nil {
		l.update((*attempt.Exchange).Break)
		return nil, errors.Join(ErrNotSent, err)
	}
	response, err := l.receive(conn, request)
	if err != nil {
		l.update((*attempt.Exchange).Break)
		return nil, err
	}
	l.header = response.Header
	response.Body = &body{lease: l, inner: response.Body}
	return response, nil
}

// send writes a request, the rest of a long one beside what follows. It fails only if no byte has left: whatever else goes wrong,
// a response may come all the same.
func (l *Lease) send(conn *conn, request []byte) error {
	first := request[:min(len(request), inlineWriteBytes)]
	rest := request[len(first):]
	n, err := conn.socket.Write(first)
	if n == 0 && err != nil {
		return err
	}
	if err == nil && len(rest) == 0 {
		l.update(func(exchange *attempt.Exchange) { exchange.Write(attempt.WrittenAll) })
		return nil
	}
	l.update(func(exchange *attempt.Exchange) { exchange.Write(attempt.WrittenSome) })
	if err == nil {
		go l.sendRest(conn, rest)
	}
	return nil
}

// sendRest writes the rest of a long request. It ends with the connection, which cannot be given back before it has ended.
func (l *Lease) sendRest(conn *conn, rest []byte) {
	if _, err := conn.socket.Write(rest); err == nil {
		l.update(func(exchange *attempt.Exchange) { exchange.Write(attempt.WrittenAll) })
	}
}

// receive reads the head of the response. It reads over interim responses and over unsolicited ones to earlier requests.
func (l *Lease) receive(conn *conn, request Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	for range maxInterimResponses {
		response, err := conn.readHead(asked)
		if err != nil {
			return nil, err
		}
		if isInterim(response.StatusCode) {
			continue
		}
		switch l.receiveHead(conn.classify(response, request)) {
		case attempt.Accept:
			return response, nil
		case attempt.Skip:
			if err := discardBody(response); err != nil {
				return nil, err
			}
		default:
			return nil, ErrUnexpectedResponse
		}
	}
	return nil, ErrUnexpectedResponse
}

func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

func (l *Lease) receiveHead(head attempt.Head) attempt.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchange.ReceiveHead(head)
}

// discardBody reads over the body of an unsolicited response.
func discardBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnsolicitedBytes+1))
	if err == nil && n > maxUnsolicitedBytes {
		return ErrUnexpectedResponse
	}
	return err
}

// body is the body of a response, while the lease lasts.
type body struct {
	lease *Lease
	inner io.ReadCloser
}

// Read reads from the connection.
func (b *body) Read(p []byte) (int, error) {
	conn := b.lease.ownedConn()
	n, err := b.inner.Read(p)
	b.lease.update(func(exchange *attempt.Exchange) {
		if n > 0 {
			exchange.ReceiveBody()
		}
		switch {
		case err == io.EOF:
			exchange.End()
			if conn.reader.Buffered() > 0 {
				exchange.ReceiveUnsolicited()
			}
		case err != nil:
			exchange.Break()
		}
	})
	return n, err
}

// Close does nothing: the lease ends the reading.
func (b *body) Close() error { return nil }
