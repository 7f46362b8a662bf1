package proxy

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// safeBuffer is a buffer that several goroutines may use.
type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the buffer.
func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns everything that was written.
func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// metrics returns the metrics of the proxy.
func (g *testProxy) metrics() string {
	recorder := httptest.NewRecorder()
	g.proxy.readinessRoutes().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}

// respondWithoutEnd sends a text again and again until the proxy closes the connection.
func (r hostRequest) respondWithoutEnd(start, repeat string) {
	r.respond(start)
	text := strings.Repeat(repeat, max(1, 4096/len(repeat)))
	for {
		if _, err := io.WriteString(r.conn, text); err != nil {
			return
		}
	}
}

// Guards against a host that sends too much and that neither the log nor the metrics name.
func TestAHostThatSendsTooMuchIsLoggedAndCounted(t *testing.T) {
	g := newTestProxy(t)
	var log safeBuffer
	g.proxy.log.Logger.SetOutput(&log)
	g.addHost(func(r hostRequest) { r.respondWithoutEnd("HTTP/1.1 200 OK\r\n", "a:b\r\n") })
	for _, id := range []string{"first", "second"} {
		if got := g.dial().roundTrip("/once/1", id, "", "x"); got.StatusCode != http.StatusBadGateway {
			t.Fatalf("status %d", got.StatusCode)
		}
	}
	if want := `otterseam_proxy_response_excess_total{kind="head"} 2`; !strings.Contains(g.metrics(), want) {
		t.Errorf("%s is missing in\n%s", want, g.metrics())
	}
	line := log.String()
	for _, want := range []string{"code=415", "host=host-1", "kind=head", "service=hosts", "request=first"} {
		if !strings.Contains(line, want) {
			t.Errorf("%s is missing in %q", want, line)
		}
	}
	if strings.Contains(line, "request=second") {
		t.Errorf("each response is logged: %q", line)
	}
}
