package http1

// This file owns the words of the protocol: what the header fields of clients, hosts and the counter are called and
// how their values are written. Beyond it the project's own words hold. It must never decide what a value leads to.

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// Invocation is what the head of a client's request says of its invocation.
type Invocation struct {
	Ref, Operation, Customer, Plan string
	Units, Timeout                 float64 // Limit: seconds from its sending until the client gives up
	GatewayCount, FirstGateway     int     // the api gateways the customer comes in through
	Retry                          bool
}

// HealthPath is asked for by the front until it is answered well.
const HealthPath = "/_health"

// ParseInvocation reads a client's request; ok is false where a field is missing, malformed or given twice: a host might go by
// the other one.
func ParseInvocation(m *Message) (c Invocation, ok bool) {
	var kind, terms, limit, key []byte
	once := true
	for _, f := range m.Fields {
		switch {
		case equal(f.Name, "req-id"):
			once = once && c.Ref == ""
			c.Ref = string(f.Value)
		case equal(f.Name, "req-kind"):
			once = once && kind == nil
			kind = f.Value
		case equal(f.Name, "x-tier"):
			once = once && c.Plan == ""
			c.Plan = string(f.Value)
		case equal(f.Name, "cookie"):
			if v := cookie(f.Value); v != nil {
				once = once && key == nil
				key = v
			}
		case equal(f.Name, "req-deadline-ms"):
			once = once && limit == nil
			limit = f.Value
		case equal(f.Name, "x-call-terms"):
			once = once && terms == nil
			terms = f.Value
		case equal(f.Name, "req-retry"):
			c.Retry = string(f.Value) == "1"
		}
	}
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	first, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	ms, good := digits(limit)
	number, whole := hex(key)
	c.Operation, c.Customer, c.Timeout = string(kind), strings.ToLower(string(key)), float64(ms)/1000
	ok = once && m.Target[0] == '/' && len(c.Ref) > 0 && len(c.Ref) <= 64 && len(kind) > 0 &&
		bytes.Equal(first, kind) && c.Plan != "" && good &&
		ms > 0 && ms <= 3600_000 && whole && len(key) == 16 && number < 1<<33 && c.terms(terms)
	return c, ok
}

func cookie(v []byte) []byte {
	for len(v) > 0 {
		var pair []byte
		pair, v, _ = bytes.Cut(v, []byte(";"))
		if name, value, ok := bytes.Cut(trim(pair), []byte("=")); ok && string(name) == "key" {
			return value
		}
	}
	return nil
}

// terms reads "units=2,spread=3,first=1". Names it does not know are passed over.
func (c *Invocation) terms(v []byte) bool {
	seen := 0
	for len(v) > 0 {
		var pair []byte
		pair, v, _ = bytes.Cut(v, []byte(","))
		name, value, _ := bytes.Cut(trim(pair), []byte("="))
		switch string(name) {
		case "units":
			x, ok := ParseNumber(value)
			if !ok || x <= 0 || x > 1e6 {
				return false
			}
			c.Units, seen = x, seen|1
		case "spread":
			n, ok := digits(value)
			if !ok || n < 1 {
				return false
			}
			c.GatewayCount, seen = n, seen|2
		case "first":
			n, ok := digits(value)
			if !ok {
				return false
			}
			c.FirstGateway, seen = n, seen|4
		}
	}
	return seen == 7
}

// ParseNumber reads a finite decimal number.
func ParseNumber(v []byte) (float64, bool) {
	v = bytes.Trim(v, " \t\r\n")
	if bytes.ContainsAny(v, "xXpP_") { // no decimal one
		return 0, false
	}
	x, err := strconv.ParseFloat(string(v), 64)
	return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
}

// Declined says whether a host's answer proves that the delivery never ran.
func Declined(m *Message) bool {
	if m.Status != 503 && m.Status != 504 {
		return false
	}
	for _, f := range m.Fields {
		if equal(f.Name, "srv-declined") {
			return string(f.Value) == "1"
		}
	}
	return false
}

// hop says that a field belongs to one connection, or is written anew.
func hop(name []byte) bool {
	switch len(name) {
	case 2:
		return equal(name, "te")
	case 7:
		return equal(name, "trailer") || equal(name, "upgrade")
	case 10:
		return equal(name, "connection") || equal(name, "keep-alive")
	case 14:
		return equal(name, "content-length")
	case 15:
		return equal(name, "req-deadline-ms")
	case 16:
		return equal(name, "proxy-connection")
	case 17:
		return equal(name, "transfer-encoding")
	}
	return false
}

func passed(b []byte, m *Message, skip string) []byte {
	for _, f := range m.Fields {
		if !hop(f.Name) && !equal(f.Name, skip) {
			b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
		}
	}
	return b
}

// AppendRequest writes a client's request for a host, which is told how long the answer is waited for.
func AppendRequest(b []byte, m *Message, seconds float64) []byte {
	b = append(append(append(append(b, m.Method...), ' '), m.Target...), " HTTP/1.1\r\n"...)
	b = passed(b, m, "expect")
	b = append(b, "Req-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(1, int64(seconds*1000)), 10)
	if len(m.Body) > 0 || string(m.Method) != "GET" {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(m.Body)), 10)
	}
	return append(append(b, "\r\n\r\n"...), m.Body...)
}

// AppendResponse writes a host's answer for a client.
func AppendResponse(b []byte, m *Message, last bool) []byte {
	b = passed(append(b, "HTTP/1.1 200 OK\r\n"...), m, "srv-load")
	return append(ending(b, len(m.Body), last), m.Body...)
}

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 409: "Conflict", 413: "Content Too Large",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout",
}

// AppendLocalResponse writes an answer of the api gateway's own; retryAfter, in seconds, is left out where it is 0.
func AppendLocalResponse(b []byte, status int, retryAfter float64, last bool) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(append(b, ' '), reasons[status]...), "\r\n"...)
	if retryAfter > 0 {
		b = append(strconv.AppendFloat(append(b, "Retry-After: "...), retryAfter, 'f', 3, 64), "\r\n"...)
	}
	return ending(b, 0, last)
}

func ending(b []byte, length int, last bool) []byte {
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(length), 10)
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, "\r\n\r\n"...)
}

// AppendCounterAdd writes a call to the counter.
func AppendCounterAdd(b []byte, name uint64, amount, life float64) []byte {
	b = strconv.AppendUint(append(b, "POST /counters/"...), name, 10)
	b = strconv.AppendFloat(append(b, "?by="...), amount, 'f', -1, 64)
	b = strconv.AppendInt(append(b, "&expire_ms="...), max(1, int64(life*1000)), 10)
	return append(b, " HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"...)
}

// AppendDiscoveryWatch writes the call for the list of hosts and its changes from a version on.
func AppendDiscoveryWatch(b []byte, from int64) []byte {
	b = strconv.AppendInt(append(b, "GET /catalog/members?watch=1&from="...), from, 10)
	return append(b, " HTTP/1.1\r\nHost: discovery\r\n\r\n"...)
}
