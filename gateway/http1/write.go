package http1

import "strconv"

// isRewritten says that a field belongs to one connection, or that the gateway writes its own.
func isRewritten(name []byte) bool {
	switch len(name) { // most names are told apart by their length
	case 2:
		return equalFold(name, "te")
	case 7:
		return equalFold(name, "trailer") || equalFold(name, "upgrade")
	case 10:
		return equalFold(name, "connection") || equalFold(name, "keep-alive")
	case 14:
		return equalFold(name, "content-length")
	case 15:
		return equalFold(name, "req-deadline-ms")
	case 16:
		return equalFold(name, "proxy-connection")
	case 17:
		return equalFold(name, "transfer-encoding")
	}
	return false
}

// appendFields passes the fields of a message on, but those that are rewritten and one more.
func appendFields(b []byte, m *Message, skip string) []byte {
	for _, f := range m.Fields {
		if isRewritten(f.Name) || equalFold(f.Name, skip) {
			continue
		}
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, lineEnd...)
	}
	return b
}

// AppendRequest writes a client's request for a host, which is told how many seconds the response is waited for.
func AppendRequest(b []byte, m *Message, timeout float64) []byte {
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendFields(b, m, "expect")
	b = append(b, "Req-Deadline-Ms: "...)
	b = appendMillis(b, timeout)
	if len(m.Body) > 0 || string(m.Method) != "GET" {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
	}
	b = append(b, headEnd...)
	return append(b, m.Body...)
}

// AppendResponse writes a host's response for a client. last: the connection is closed behind it.
func AppendResponse(b []byte, m *Message, last bool) []byte {
	b = append(b, "HTTP/1.1 200 OK\r\n"...)
	b = appendFields(b, m, "srv-load")
	b = appendHeadEnd(b, len(m.Body), last)
	return append(b, m.Body...)
}

var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 409: "Conflict", 413: "Content Too Large",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout",
}

// AppendLocalResponse writes a response of the gateway's own. retryAfter, in seconds, is left out where it is 0; last: the
// connection is closed behind it.
func AppendLocalResponse(b []byte, status int, retryAfter float64, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, lineEnd...)
	if retryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, retryAfter, 'f', 3, 64)
		b = append(b, lineEnd...)
	}
	return appendHeadEnd(b, 0, last)
}

func appendHeadEnd(b []byte, bodyLength int, last bool) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(bodyLength), 10)
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, headEnd...)
}

// AppendCounterAdd writes a call that adds an amount to a counter, which expires so many seconds after.
func AppendCounterAdd(b []byte, name uint64, amount, expiry float64) []byte {
	b = append(b, "POST /counters/"...)
	b = strconv.AppendUint(b, name, 10)
	b = append(b, "?by="...)
	b = strconv.AppendFloat(b, amount, 'f', -1, 64)
	b = append(b, "&expire_ms="...)
	b = appendMillis(b, expiry)
	return append(b, " HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"...)
}

// AppendDiscoveryWatch writes the call for the list of hosts and its changes from a version on.
func AppendDiscoveryWatch(b []byte, from int64) []byte {
	b = append(b, "GET /catalog/members?watch=1&from="...)
	b = strconv.AppendInt(b, from, 10)
	return append(b, " HTTP/1.1\r\nHost: discovery\r\n\r\n"...)
}

// appendMillis writes seconds as whole milliseconds, 1 at least.
func appendMillis(b []byte, seconds float64) []byte {
	return strconv.AppendInt(b, max(1, int64(seconds*1000)), 10)
}
