package httpguard

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterseam/tier/memorybudget"
)

const testCopies = 2

// serveLimited runs a server with a guard whose handler reads bodies within the guard's memory and answers with their length.
func serveLimited(t *testing.T, guard *Guard) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guard.HeadTooLarge = Response(http.StatusRequestHeaderFieldsTooLarge, "", nil)
	guard.Overloaded = Response(http.StatusServiceUnavailable, "1", nil)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, BodyLimits{MaxBytes: 1 << 20, Deadline: time.Now().Add(20 * time.Second), Copies: testCopies})
		var tooLarge *http.MaxBytesError
		switch {
		case errors.Is(err, ErrOverloaded):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err == nil:
			_, _ = w.Write(body)
		}
	})}
	guard.Install(server)
	go func() { _ = server.Serve(guard.Listen(inner)) }()
	t.Cleanup(func() { server.Close() })
	return inner.Addr().String()
}

func post(length string, body string) string {
	return head + "Content-Length: " + length + "\r\n\r\n" + body
}

func receive(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode
}

func TestHeadOverTheLimitGets431(t *testing.T) {
	guard := &Guard{}
	guard.SetMaxHeadBytes(1000)
	conn, reader := dial(t, serveLimited(t, guard))
	if got, _ := roundTrip(t, conn, reader, post("2", "ok")); got != http.StatusOK {
		t.Fatalf("a head within the limit: %d", got)
	}
	if got, _ := roundTrip(t, conn, reader, head+"A: "+strings.Repeat("a", 2000)); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("a head over the limit that goes on: %d", got)
	}
}

func TestBodiesOfAllKindsAreReadWhole(t *testing.T) {
	conn, reader := dial(t, serveLimited(t, &Guard{Memory: memorybudget.NewBudget(8 << 20)}))
	long := strings.Repeat("0123456789abcdef", 40_000)
	for name, test := range map[string]struct{ text, want string }{
		"none":           {head + "\r\n", ""},
		"short":          {post("2", "ok"), "ok"},
		"long":           {post("640000", long), long},
		"chunks":         {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n1\r\n!\r\n0\r\n\r\n", "ok!"},
		"one long chunk": {head + "Transfer-Encoding: chunked\r\n\r\n9c400\r\n" + long + "\r\n0\r\n\r\n", long},
	} {
		if got, body := roundTrip(t, conn, reader, test.text); got != http.StatusOK || body != test.want {
			t.Errorf("%s: %d, %d bytes", name, got, len(body))
		}
	}
	if got, _ := roundTrip(t, conn, reader, post("1048577", "")); got != http.StatusRequestEntityTooLarge {
		t.Errorf("over the limit: %d", got)
	}
}

// A request that stops short of its end yields to another one, and is told that it has not run. All memory is given back in the end.
func TestStalledBodyYields(t *testing.T) {
	budget := memorybudget.NewBudget(400 << 10)
	address := serveLimited(t, &Guard{Memory: budget})
	stalled, stalledReader := dial(t, address)
	if _, err := io.WriteString(stalled, post("200000", strings.Repeat("x", 199_999))); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond) // a new request doesn't yield
	other, otherReader := dial(t, address)
	if got, _ := roundTrip(t, other, otherReader, post("100000", strings.Repeat("x", 100_000))); got != http.StatusOK {
		t.Fatalf("the complete request: %d", got)
	}
	if got := receive(t, stalledReader); got != http.StatusServiceUnavailable {
		t.Fatalf("the stalled request: %d", got)
	}
	_ = stalled.Close()
	_ = other.Close()
	for budget.Used() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// A request whose copies don't fit is rejected although its body does.
func TestCopiesCount(t *testing.T) {
	conn, reader := dial(t, serveLimited(t, &Guard{Memory: memorybudget.NewBudget(200 << 10)}))
	if got, _ := roundTrip(t, conn, reader, post("100000", strings.Repeat("x", 100_000))); got != http.StatusServiceUnavailable {
		t.Fatalf("%d", got)
	}
}

// Heads of many lines are rejected before the server parses them.
func TestHeadWithoutMemoryIsRejected(t *testing.T) {
	conn, reader := dial(t, serveLimited(t, &Guard{Memory: memorybudget.NewBudget(100 << 10)}))
	if got, _ := roundTrip(t, conn, reader, head+strings.Repeat("a:\r\n", 2000)); got != http.StatusServiceUnavailable {
		t.Fatalf("%d", got)
	}
}

// At the limit, the connection that has waited longest is closed, and the others still work. Without an idle one, the new connection is
// closed.
func TestIdleConnectionsYield(t *testing.T) {
	address := serveLimited(t, &Guard{MaxConnections: 2})
	oldest, oldestReader := dial(t, address)
	if got, _ := roundTrip(t, oldest, oldestReader, post("1", "a")); got != http.StatusOK {
		t.Fatal(got)
	}
	busy, busyReader := dial(t, address)
	if _, err := io.WriteString(busy, post("2", "a")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * minIdleTime)
	newest, newestReader := dial(t, address)
	if got, _ := roundTrip(t, newest, newestReader, post("1", "a")); got != http.StatusOK {
		t.Fatalf("the newest connection: %d", got)
	}
	if _, err := oldestReader.ReadByte(); err == nil {
		t.Fatal("the oldest connection is still open")
	}
	if _, err := io.WriteString(newest, post("2", "a")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * minIdleTime)
	_, refused := dial(t, address)
	if _, err := refused.ReadByte(); err == nil {
		t.Fatal("a connection was accepted while all others were busy")
	}
	if got, _ := roundTrip(t, busy, busyReader, "b"); got != http.StatusOK {
		t.Fatalf("the busy connection: %d", got)
	}
}
