package http1

import (
	"strings"
	"testing"
)

const request = "POST /pay/x?y=2 HTTP/1.1\r\nHost: app\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Kind: pay\r\nX-Tier: team\r\n" +
	"Cookie: a=b; key=00000000b4d65521\r\nReq-Deadline-Ms: 480\r\nConnection: close\r\nContent-Length: 2\r\n" +
	"X-Call-Terms: units=2.5,later=9,spread=3,first=1\r\n\r\nhi"

func TestInvocationIsParsedAndForwarded(t *testing.T) {
	m, _, _ := feed(request, false, 100)
	got, ok := ParseInvocation(m)
	want := Invocation{
		Ref: "9b1f03aa5c7e2d41", Operation: "pay", Customer: "00000000b4d65521", Plan: "team", Units: 2.5,
		Timeout: 0.48, GatewayCount: 3, FirstGateway: 1,
	}
	if !ok || got != want || !m.Close {
		t.Fatalf("got %+v, %v", got, ok)
	}
	forwarded := string(AppendRequest(nil, m, 0.3))
	for _, part := range []string{
		"POST /pay/x?y=2 HTTP/1.1\r\n", "Req-Id: 9b1f03aa5c7e2d41\r\n",
		"Req-Deadline-Ms: 300\r\n", "Content-Length: 2\r\n\r\nhi",
	} {
		if strings.Count(forwarded, part) != 1 {
			t.Errorf("%q does not occur exactly once in %q", part, forwarded)
		}
	}
	if strings.Contains(forwarded, "Connection") {
		t.Errorf("a hop-by-hop field was forwarded: %q", forwarded)
	}
}

func TestInvalidInvocationsAreRejected(t *testing.T) {
	for _, tc := range []struct{ name, replace, with string }{
		{"no reference", "Req-Id: 9b1f03aa5c7e2d41", "A: b"},
		{"operation differs from the path", "Req-Kind: pay", "Req-Kind: buy"},
		{"no plan", "X-Tier: team", "A: b"},
		{"short customer key", "key=00000000b4d65521", "key=b4d65521"},
		{"customer number too large", "00000000b4", "0000000fb4"},
		{"customer key is not a number", "b4d65521", "b4d6552x"},
		{"zero timeout", "Ms: 480", "Ms: 0"},
		{"negative timeout", "Ms: 48", "Ms: -48"},
		{"units are not a number", "units=2.5", "units=NaN"},
		{"no units", "units", "onions"},
		{"no gateways", "spread=3", "spread=0"},
		{"negative first gateway", "first=1", "first=-1"},
		{"no first gateway", ",first=1", ""},
		{"too many units", "2.5", "1e99"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, complete, err := feed(strings.Replace(request, tc.replace, tc.with, 1), false, 1000)
			if inv, ok := ParseInvocation(m); ok || !complete || err != nil {
				t.Errorf("accepted: %+v (%v, %v)", inv, complete, err)
			}
		})
	}
}

func TestDeclined(t *testing.T) {
	for _, tc := range []struct {
		text string
		want bool
	}{
		{"503 X\r\nSrv-Declined: 1", true},
		{"504 X\r\nsrv-declined: 1", true},
		{"503 X", false},
		{"500 X\r\nSrv-Declined: 1", false},
		{"503 X\r\nSrv-Declined: 0", false},
	} {
		if m, _, _ := feed("HTTP/1.1 "+tc.text+"\r\n\r\n", true, 1000); Declined(m) != tc.want {
			t.Errorf("%q: want %v", tc.text, tc.want)
		}
	}
}

func TestAppendCounterAddKeepsPrecision(t *testing.T) {
	want := "POST /counters/18446744073709551615?by=-2.5&expire_ms=4000 HTTP/1.1\r\n"
	if got := string(AppendCounterAdd(nil, 1<<64-1, -2.5, 4)); !strings.HasPrefix(got, want) {
		t.Errorf("got %q", got)
	}
}
