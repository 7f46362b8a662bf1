package proxy

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"otterseam/tier/opconfig"
)

// Headers of the operators' protocol.
const (
	headerRequestID   = "X-Request-Id"
	headerDeadline    = "X-Deadline-Ms"
	headerInstance    = "X-Expect-Instance"
	headerLastEventID = "Last-Event-Id"
	headerPriority    = "Priority"
	headerLoad        = "X-Server-Load"
	headerProgram     = "Program"
	headerSession     = "Session"
	headerPrevious    = "Previous"
	headerBudget      = "Budget"
	headerTokenCount  = "X-Token-Count"
)

// request is what a client asked for, read whole.
type request struct {
	id       string
	method   string
	uri      string
	host     string
	header   http.Header
	body     []byte
	route    *opconfig.Route
	service  string
	deadline time.Time
}

// remaining is how much of the request's time is left.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// proxyHeaders are set by the proxy itself; the client's own are not forwarded.
var proxyHeaders = map[string]bool{headerDeadline: true, headerInstance: true, headerPriority: true, headerLastEventID: true}

// connectionTokens are the headers that a Connection header names.
func connectionTokens(header http.Header) map[string]bool {
	values := header.Values("Connection")
	if len(values) == 0 {
		return nil
	}
	tokens := map[string]bool{}
	for _, value := range values {
		for _, token := range strings.Split(value, ",") {
			tokens[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return tokens
}

// encodedHeadBytes is room for the head of most requests.
const encodedHeadBytes = 512

// encode is the request as it goes to a host. LastEventID is behind which event a stream resumes; empty for none. It is called when
// the connection is open, as it tells the host the time that remains.
func (r *request) encode(hostID, lastEventID string, body []byte) []byte {
	var b bytes.Buffer
	b.Grow(encodedHeadBytes + len(body))
	b.WriteString(r.method + " " + r.uri + " HTTP/1.1\r\nHost: " + r.host + "\r\n")
	connectionHeaders := connectionTokens(r.header)
	for name, values := range r.header {
		if hopByHopHeaders[name] || proxyHeaders[name] || connectionHeaders[name] {
			continue
		}
		for _, value := range values {
			writeHeader(&b, name, value)
		}
	}
	writeHeader(&b, headerDeadline, strconv.FormatInt(max(r.remaining().Milliseconds(), 1), 10))
	writeHeader(&b, headerInstance, hostID)
	if lastEventID != "" {
		writeHeader(&b, headerLastEventID, lastEventID)
	}
	if r.route.RouteType == opconfig.RouteStreaming {
		writeHeader(&b, headerPriority, strconv.Itoa(urgency(r.route.Priority)))
	}
	if len(body) > 0 || r.method != http.MethodGet {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(body)))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// The urgency of a route's rank, in the engine's scale, where lower is more urgent.
const (
	urgencyFirst = 3
	urgencyStep  = 2
	urgencyLast  = 9
)

// urgency is the engine's priority for a route's rank.
func urgency(rank int) int { return min(urgencyFirst+urgencyStep*max(rank, 0), urgencyLast) }

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// copyHeader forwards the headers of a host's response, without those of its connection.
func copyHeader(to, from http.Header) {
	connectionHeaders := connectionTokens(from)
	for name, values := range from {
		if !hopByHopHeaders[name] && !connectionHeaders[name] {
			to[name] = values
		}
	}
}

// parseMilliseconds reads a header in milliseconds.
func parseMilliseconds(text string) (time.Duration, bool) {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || value < 0 {
		return 0, false
	}
	return milliseconds(value), true
}

// milliseconds is a time that a configuration or a header gives in milliseconds.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
