package server

import (
	"math"
	"strconv"
	"strings"

	"otterseam/gateway/http1"
)

const (
	counterPath   = "/counters/"
	healthPath    = "/_health"
	maxNameBytes  = 64
	maxCallAmount = 1e9
	minCallTTL    = 0.001 // seconds
	maxCallTTL    = 60    // seconds; longer TTLs are reduced to this
)

// counterCall is one call of the counter's protocol: POST /counters/NAME?by=AMOUNT&expire_ms=TTL, or GET /_health.
type counterCall struct {
	health bool // a health request; the other fields are not set
	valid  bool
	name   string
	amount float64
	ttl    float64 // seconds
}

// parseCalls parses all calls that are complete after n more bytes were read. An error concerns the bytes after the returned
// calls.
func parseCalls(m *http1.Message, n int) (calls []counterCall, err error) {
	for {
		complete, err := m.Advance(n)
		if err != nil || !complete {
			return calls, err
		}
		calls = append(calls, parseCall(m))
		n = m.Next()
	}
}

func parseCall(m *http1.Message) counterCall {
	path, query, _ := strings.Cut(string(m.Target), "?")
	if path == healthPath {
		return counterCall{health: true}
	}
	name, isCounter := strings.CutPrefix(path, counterPath)
	call := counterCall{name: name}
	hasValues := call.parseValues(query)
	call.valid = hasValues && isCounter && string(m.Method) == "POST" && len(name) >= 1 && len(name) <= maxNameBytes
	return call
}

// parseValues parses the query parameters of a call, and reports whether the required ones are present and within their limits.
func (c *counterCall) parseValues(query string) bool {
	hasAmount := false
	for _, parameter := range strings.Split(query, "&") {
		key, text, _ := strings.Cut(parameter, "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsInf(value, 0) || math.IsNaN(value) {
			return false
		}
		switch key {
		case "by":
			c.amount, hasAmount = value, true
		case "expire_ms":
			c.ttl = min(maxCallTTL, value/1000)
		}
	}
	return hasAmount && math.Abs(c.amount) <= maxCallAmount && c.ttl >= minCallTTL
}
