package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// script is a host that answers connections one after the other as told, and says when each has ended.
func script(t *testing.T, answers ...func(net.Conn, *bufio.Reader)) (string, chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	ended := make(chan int, len(answers))
	go func() {
		for i, answer := range answers {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				answer(conn, bufio.NewReader(conn))
				conn.Close()
				ended <- i
			}()
		}
	}()
	return listener.Addr().String(), ended
}

// respond reads a request and writes bytes.
func respond(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		if request, err := http.ReadRequest(reader); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
	}
}

// then does one thing after the other on a connection.
func then(steps ...func(net.Conn, *bufio.Reader)) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		for _, step := range steps {
			step(conn, reader)
		}
	}
}

const (
	request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	short   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

func exchangeOn(t *testing.T, p *Pool) (*Conn, *http.Response, string) {
	t.Helper()
	conn, err := p.Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Send([]byte(request), time.Now().Add(10*time.Second)); err != nil {
		t.Fatal(err)
	}
	response, err := conn.Receive(http.MethodGet)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return conn, response, string(body)
}

func TestAConnectionIsUsedAgain(t *testing.T) {
	address, _ := script(t, then(respond(short), respond(short)))
	p := NewPool(address)
	defer p.Close()
	first, response, _ := exchangeOn(t, p)
	p.Put(first, response.Header, response.Close)
	second, _, body := exchangeOn(t, p)
	if first != second || body != "ok" {
		t.Fatalf("a connection of its own for %q", body)
	}
}

// The deadline of a request does not end the connection that carried it.
func TestAnIdleConnectionOutlivesTheDeadlineOfItsRequest(t *testing.T) {
	address, _ := script(t, then(respond(short), respond(short)))
	p := NewPool(address)
	defer p.Close()
	first, response, _ := exchangeOn(t, p)
	if err := first.socket.SetDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	p.Put(first, response.Header, response.Close)
	if second, _, _ := exchangeOn(t, p); first != second {
		t.Fatal("the connection was not used again")
	}
}

func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	address, _ := script(t, respond(short+short), respond(short))
	p := NewPool(address)
	defer p.Close()
	first, response, _ := exchangeOn(t, p)
	p.Put(first, response.Header, response.Close)
	if second, _, _ := exchangeOn(t, p); first == second {
		t.Fatal("a surplus answer stands before the next one")
	}
}

func TestAConnectionThatEndedWhileIdleIsNotUsed(t *testing.T) {
	address, ended := script(t, respond(short), respond(short))
	p := NewPool(address)
	defer p.Close()
	first, response, _ := exchangeOn(t, p)
	<-ended
	p.Put(first, response.Header, response.Close)
	if second, _, _ := exchangeOn(t, p); first == second {
		t.Fatal("a closed connection was used")
	}
}

func TestCloseAndKeepAliveAreHeeded(t *testing.T) {
	for _, head := range []string{"Connection: close\r\n", "Keep-Alive: timeout=0\r\n"} {
		address, _ := script(t, respond(strings.Replace(short, "\r\n\r\n", "\r\n"+head+"\r\n", 1)), respond(short))
		p := NewPool(address)
		first, response, _ := exchangeOn(t, p)
		p.Put(first, response.Header, response.Close)
		if second, _, _ := exchangeOn(t, p); first == second {
			t.Errorf("%q: the connection was used again", head)
		}
		p.Close()
	}
	if got := idleTime(http.Header{"Keep-Alive": {"max=5, timeout=3"}}); got != 3*time.Second-idleMargin {
		t.Fatal(got)
	}
}

func TestARequestThatDidNotLeaveSaysSo(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	if _, err := NewPool(address).Get(context.Background()); !errors.Is(err, ErrNotSent) {
		t.Fatal(err)
	}
}

func TestALostAnswerIsNotAskedForAgain(t *testing.T) {
	read := make(chan struct{}, 2)
	lose := func(_ net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			read <- struct{}{}
		}
	}
	address, _ := script(t, then(respond(short), lose), lose)
	p := NewPool(address)
	defer p.Close()
	conn, response, _ := exchangeOn(t, p)
	p.Put(conn, response.Header, response.Close)
	conn, err := p.Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Send([]byte(request), time.Now().Add(10*time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Receive(http.MethodGet); err == nil {
		t.Fatal("an answer came from nowhere")
	}
	if len(read) != 1 {
		t.Fatalf("the host read the request %d times", len(read))
	}
}
