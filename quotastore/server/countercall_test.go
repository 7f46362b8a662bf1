package server

import (
	"strings"
	"testing"

	"otterseam/gateway/http1"
)

func TestParseCallsValidatesEachCall(t *testing.T) {
	longest := strings.Repeat("n", maxNameBytes)
	tests := map[string]struct {
		request string
		want    counterCall
	}{
		"valid call":          {"POST /counters/n?by=2.5&expire_ms=1500", counterCall{valid: true, name: "n", amount: 2.5, ttl: 1.5}},
		"values in any order": {"POST /counters/n?expire_ms=1500&by=-2", counterCall{valid: true, name: "n", amount: -2, ttl: 1.5}},
		"other values":        {"POST /counters/n?by=1&expire_ms=1000&x=7", counterCall{valid: true, name: "n", amount: 1, ttl: 1}},
		"longest name":        {"POST /counters/" + longest + "?by=1&expire_ms=1", counterCall{valid: true, name: longest, amount: 1, ttl: 0.001}},
		"TTL is reduced":      {"POST /counters/n?by=1&expire_ms=1e9", counterCall{valid: true, name: "n", amount: 1, ttl: 60}},
		"health":              {"GET /_health", counterCall{health: true}},
		"other method":        {"GET /counters/n?by=1&expire_ms=1000", counterCall{name: "n", amount: 1, ttl: 1}},
		"other path":          {"POST /elsewhere?by=1&expire_ms=1000", counterCall{name: "/elsewhere", amount: 1, ttl: 1}},
		"no name":             {"POST /counters/?by=1&expire_ms=1000", counterCall{amount: 1, ttl: 1}},
		"name too long":       {"POST /counters/n" + longest + "?by=1&expire_ms=1000", counterCall{name: "n" + longest, amount: 1, ttl: 1}},
		"no amount":           {"POST /counters/n?expire_ms=1000", counterCall{name: "n", ttl: 1}},
		"no TTL":              {"POST /counters/n?by=1", counterCall{name: "n", amount: 1}},
		"TTL too short":       {"POST /counters/n?by=1&expire_ms=0.5", counterCall{name: "n", amount: 1, ttl: 0.0005}},
		"amount too large":    {"POST /counters/n?by=1e10&expire_ms=1000", counterCall{name: "n", amount: 1e10, ttl: 1}},
		"not a number":        {"POST /counters/n?by=x&expire_ms=1000", counterCall{name: "n"}},
		"infinite":            {"POST /counters/n?by=Inf&expire_ms=1000", counterCall{name: "n"}},
		"NaN":                 {"POST /counters/n?by=NaN&expire_ms=1000", counterCall{name: "n"}},
		"no values":           {"POST /counters/n", counterCall{name: "n"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			calls, err := parse(t, test.request+" HTTP/1.1\r\nHost: counter\r\n\r\n")
			if err != nil || len(calls) != 1 || calls[0] != test.want {
				t.Errorf("parsed as %+v (%v), want %+v", calls, err, test.want)
			}
		})
	}
}

func TestParseCallsReturnsTheCallsBeforeAnError(t *testing.T) {
	const call = "POST /counters/n?by=1&expire_ms=1000 HTTP/1.1\r\nHost: counter\r\n\r\n"
	tests := map[string]struct {
		bytes   string
		calls   int
		isError bool
	}{
		"nothing":                {"", 0, false},
		"partial call":           {call[:20], 0, false},
		"two calls":              {call + call, 2, false},
		"one and a half":         {call + call[:30], 1, false},
		"malformed":              {"\x00\x01\r\n\r\n", 0, true},
		"malformed after a call": {call + "\x00\x01\r\n\r\n", 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if calls, err := parse(t, test.bytes); len(calls) != test.calls || (err != nil) != test.isError {
				t.Errorf("parsed as %+v: %v", calls, err)
			}
		})
	}
}

func parse(t *testing.T, bytes string) ([]counterCall, error) {
	t.Helper()
	var message http1.Message
	message.Reset(make([]byte, callReadBuffer), false)
	return parseCalls(&message, copy(message.Space(), bytes))
}
