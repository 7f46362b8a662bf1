package proxy

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"otterseam/tier/opconfig"
)

// Headers of the protocol between clients, proxies and hosts.
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

// request is a completely read client request.
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
	memory   responseMemory
}

// remaining returns the time until the request's deadline.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// hopByHopHeaders are not forwarded because they apply to a single connection (RFC 9110, section 7.6.1) or because the proxy sets
// them itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// proxyHeaders are set by the proxy itself. Those of the client are not forwarded.
var proxyHeaders = map[string]bool{headerDeadline: true, headerInstance: true, headerPriority: true, headerLastEventID: true}

// connectionTokens returns the names of the headers that the Connection headers list.
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

// typicalHeadBytes is the initial buffer capacity for the head of a request, sufficient for most requests.
const typicalHeadBytes = 512

// encode returns the request in the format that is sent to a host. lastEventID is the ID of the event after which the host resumes a
// stream, or empty. Call it only when the connection is open, because the request contains the remaining time.
func (r *request) encode(hostID, lastEventID string, body []byte) []byte {
	var b bytes.Buffer
	b.Grow(typicalHeadBytes + len(body))
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

// The range of urgency values in the priority scale of the engines, where a lower value is more urgent.
const (
	urgencyFirst = 3
	urgencyStep  = 2
	urgencyLast  = 9
)

// urgency returns the engine's priority for the rank of a route.
func urgency(rank int) int { return min(urgencyFirst+urgencyStep*max(rank, 0), urgencyLast) }

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// copyHeader copies the headers of a host's response, except hop-by-hop headers.
func copyHeader(to, from http.Header) {
	connectionHeaders := connectionTokens(from)
	for name, values := range from {
		if !hopByHopHeaders[name] && !connectionHeaders[name] {
			to[name] = values
		}
	}
}

// parseMilliseconds parses the value of a header in milliseconds. It returns false if the value is malformed or negative.
func parseMilliseconds(text string) (time.Duration, bool) {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || value < 0 {
		return 0, false
	}
	return milliseconds(value), true
}

// milliseconds converts a number of milliseconds from a configuration or a header to a duration.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
