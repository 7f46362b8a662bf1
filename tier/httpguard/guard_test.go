package httpguard

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serve runs a guarded server that responds with 400 if the length is ambiguous, and with the request's body otherwise.
func serve(t *testing.T, headTimeout time.Duration) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guard := &Guard{}
	guard.SetHeadTimeout(headTimeout)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if HasAmbiguousLength(r) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.Copy(w, r.Body)
	})}
	guard.Install(server)
	go func() { _ = server.Serve(guard.Listen(inner)) }()
	t.Cleanup(func() { server.Close() })
	return inner.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func roundTrip(t *testing.T, conn net.Conn, reader *bufio.Reader, text string) (int, string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

const head = "POST / HTTP/1.1\r\nHost: h\r\n"

func TestAmbiguousLengthsAreDetected(t *testing.T) {
	address := serve(t, 0)
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"one length":            {head + "Content-Length: 2\r\n\r\nok", http.StatusOK},
		"chunks":                {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", http.StatusOK},
		"length and chunks":     {head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", http.StatusBadRequest},
		"the same length twice": {head + "Content-Length: 2\r\ncontent-length: 2\r\n\r\nok", http.StatusBadRequest},
		"two lengths":           {head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			conn, reader := dial(t, address)
			if got, _ := roundTrip(t, conn, reader, test.text); got != test.want {
				t.Errorf("status %d, not %d", got, test.want)
			}
		})
	}
}

// A body that looks like a head must not be counted as one, also on a connection that carries several requests.
func TestBodyIsNotParsedAsHead(t *testing.T) {
	conn, reader := dial(t, serve(t, 0))
	body := "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n"
	text := head + "Content-Length: 49\r\n\r\n" + body
	for range 3 {
		if got, echoed := roundTrip(t, conn, reader, text); got != http.StatusOK || echoed != body {
			t.Fatalf("%d %q", got, echoed)
		}
	}
	if got, _ := roundTrip(t, conn, reader, head+"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"); got != http.StatusBadRequest {
		t.Fatalf("after other requests: %d", got)
	}
}

func TestSlowHeadGets408(t *testing.T) {
	conn, reader := dial(t, serve(t, 30*time.Millisecond))
	if got, _ := roundTrip(t, conn, reader, "POST / HTTP/1.1\r\nHost: "); got != http.StatusRequestTimeout {
		t.Fatalf("%d", got)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Fatalf("the connection is still open: %v", err)
	}
}

// recordingConn returns given bytes from Read and records the read deadline set on it.
type recordingConn struct {
	net.Conn
	bytes    []byte
	deadline time.Time
}

func (c *recordingConn) Read(p []byte) (int, error) {
	n := copy(p, c.bytes)
	c.bytes = c.bytes[n:]
	return n, nil
}

func (c *recordingConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// The head timeout limits only heads. It must not limit a body or the idle time between requests.
func TestHeadTimeoutAppliesToHeadsOnly(t *testing.T) {
	guard := &Guard{}
	guard.SetHeadTimeout(time.Second)
	inner := &recordingConn{}
	conn := &guardedConn{Conn: inner, guard: guard, readingHead: true}
	later := time.Now().Add(time.Hour)
	read := func(text string) {
		inner.bytes = []byte(text)
		if _, err := conn.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	setDeadline := func() time.Time {
		if err := conn.SetReadDeadline(later); err != nil {
			t.Fatal(err)
		}
		return inner.deadline
	}
	for range 2 {
		if got := setDeadline(); !got.Equal(later) {
			t.Fatalf("while the connection is idle: %v", got)
		}
		read("POST / HTTP/1.1\r\n")
		if got := setDeadline(); !got.Before(later) {
			t.Fatal("a head that is being read has no deadline")
		}
		read("Content-Length: 2\r\n\r\no")
		if got := setDeadline(); !got.Equal(later) {
			t.Fatalf("in the body: %v", got)
		}
		conn.expectHead()
	}
}

// The close of a client that has sent the first byte of another request is detected. The context of a client that stays is not
// canceled.
func TestCloseAfterStartOfNextRequestIsDetected(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guard := &Guard{}
	started := make(chan struct{}, 2)
	handlerDone := make(chan error, 2)
	proceed := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		HasAmbiguousLength(r)
		started <- struct{}{}
		select {
		case <-r.Context().Done():
		case <-proceed:
		}
		handlerDone <- r.Context().Err()
	})}
	guard.Install(server)
	go func() { _ = server.Serve(guard.Listen(inner)) }()
	t.Cleanup(func() { server.Close() })
	conn, reader := dial(t, inner.Addr().String())
	pipelined := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	if _, err := io.WriteString(conn, pipelined+pipelined); err != nil {
		t.Fatal(err)
	}
	<-started
	proceed <- struct{}{}
	if err := <-handlerDone; err != nil {
		t.Fatalf("the request of a connected client was canceled: %v", err)
	}
	if _, err := http.ReadResponse(reader, nil); err != nil {
		t.Fatal(err)
	}
	<-started
	if _, err := io.WriteString(conn, "G"); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	if err := <-handlerDone; err == nil {
		t.Fatal("the close of the client was not detected")
	}
}

// The context of a connection is canceled when the connection closes, so that the server's context does not accumulate children.
func TestConnectionContextEndsWithTheConnection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guard := &Guard{}
	conns := make(chan *guardedConn, 1)
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	guard.Install(server)
	install := server.ConnContext
	contexts := make(chan context.Context, 1)
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		conns <- conn.(*guardedConn)
		ctx = install(ctx, conn)
		contexts <- ctx
		return ctx
	}
	go func() { _ = server.Serve(guard.Listen(inner)) }()
	t.Cleanup(func() { server.Close() })
	conn, _ := dial(t, inner.Addr().String())
	ctx := <-contexts
	if (<-conns).cancelRequests == nil || ctx.Err() != nil {
		t.Fatal("the context was canceled before the connection closed")
	}
	_ = conn.Close()
	<-ctx.Done()
}
