package proxy

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"otterseam/tier/opconfig"
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
	arrived  time.Time
	deadline time.Time
}

// left is how much of the client's time remains.
func (r *request) left() time.Duration { return time.Until(r.deadline) }

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// ownHeaders are set by the proxy.
var ownHeaders = map[string]bool{"X-Deadline-Ms": true, "X-Expect-Instance": true, "Priority": true, "Last-Event-Id": true}

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

// encode is the request as it goes to a host.
func (r *request) encode(hostID, lastEvent string, body []byte) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(body))
	b.WriteString(r.method + " " + r.uri + " HTTP/1.1\r\nHost: " + r.host + "\r\n")
	named := connectionTokens(r.header)
	for name, values := range r.header {
		if hopHeaders[name] || ownHeaders[name] || named[name] {
			continue
		}
		for _, value := range values {
			writeHeader(&b, name, value)
		}
	}
	writeHeader(&b, "X-Deadline-Ms", strconv.FormatInt(max(r.left().Milliseconds(), 1), 10))
	writeHeader(&b, "X-Expect-Instance", hostID)
	if lastEvent != "" {
		writeHeader(&b, "Last-Event-Id", lastEvent)
	}
	if r.route.RouteType == opconfig.RouteStreaming {
		writeHeader(&b, "Priority", strconv.Itoa(urgency(r.route.Priority)))
	}
	if len(body) > 0 || r.method != http.MethodGet {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(body)))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

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

// copyHeader passes on the headers of a host's answer.
func copyHeader(to, from http.Header) {
	named := connectionTokens(from)
	for name, values := range from {
		if !hopHeaders[name] && !named[name] {
			to[name] = values
		}
	}
}

// milliseconds reads a header in milliseconds.
func milliseconds(text string) (time.Duration, bool) {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || value < 0 {
		return 0, false
	}
	return time.Duration(value * float64(time.Millisecond)), true
}
