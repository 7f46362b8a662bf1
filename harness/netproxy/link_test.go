package netproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterseam/harness/leakcheck"
)

// echoBehind starts a stand-in behind a link that says each line again. ended gets how its connections ended.
func echoBehind(t *testing.T, link *Link) (address string, ended chan error) {
	t.Helper()
	ended = make(chan error, 64)
	address, err := link.ListenInProcess(func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			line, err := reader.ReadString('\n')
			if err == nil {
				_, err = io.WriteString(conn, "again "+line)
			}
			if err != nil {
				ended <- err
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return address, ended
}

// ask sends a line and returns what comes back within a time.
func ask(conn net.Conn, line string, within time.Duration) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(within)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	buffer := make([]byte, 4096)
	n, err := conn.Read(buffer)
	return string(buffer[:n]), err
}

// mustAsk asks and wants the echo.
func mustAsk(t *testing.T, conn net.Conn, line string) {
	t.Helper()
	if got, err := ask(conn, line, time.Second); got != "again "+line+"\n" {
		t.Fatalf("asked %q: %q, %v", line, got, err)
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// Stalled in either direction, nothing comes back while it lasts; afterwards what was held comes, as a network sends it again.
func TestStalledLinkHoldsAndGoesOn(t *testing.T) {
	leakcheck.Check(t)
	for _, direction := range []Direction{Forward, Backward} {
		link := NewLink("a", "b", 1)
		address, _ := echoBehind(t, link)
		conn := dial(t, address)
		mustAsk(t, conn, "x")
		fault := &Fault{Stall: true}
		link.AddFault(direction, fault)
		if got, err := ask(conn, "y", 60*time.Millisecond); !isTimeout(err) {
			t.Errorf("direction %d stalled, and %q came, %v", direction, got, err)
		}
		if got, err := ask(dial(t, address), "z", 60*time.Millisecond); !isTimeout(err) { // new ones are taken all the same
			t.Errorf("direction %d stalled, and %q came on a new connection, %v", direction, got, err)
		}
		link.RemoveFault(direction, fault)
		if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 100)
		if n, err := conn.Read(buffer); string(buffer[:n]) != "again y\n" {
			t.Errorf("after it: %q %v", buffer[:n], err)
		}
	}
}

// Blocked, old connections are silent and new ones are never established; afterwards new ones are.
func TestBlockedLinkTakesNoConnections(t *testing.T) {
	leakcheck.Check(t)
	link := NewLink("a", "b", 1)
	address, _ := echoBehind(t, link)
	old := dial(t, address)
	mustAsk(t, old, "x")
	fault := &Fault{Stall: true, BlockConnects: true}
	link.AddFault(Forward, fault)
	link.AddFault(Backward, fault)
	time.Sleep(200 * time.Millisecond)
	if _, err := ask(old, "y", 60*time.Millisecond); !isTimeout(err) {
		t.Errorf("an old connection: %v", err)
	}
	if conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond); !isTimeout(err) {
		t.Errorf("a new connection came up: %v %v", conn, err)
	}
	link.RemoveFault(Forward, fault)
	link.RemoveFault(Backward, fault)
	for deadline := time.Now().Add(5 * time.Second); ; {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			got, err := ask(conn, "z", time.Second)
			conn.Close()
			if got == "again z\n" {
				return
			}
			t.Logf("%q %v", got, err)
		}
		if time.Now().After(deadline) {
			t.Fatal("no connection comes up again")
		}
	}
}

// Refused, new connections are refused at once and old ones go on; afterwards the same address takes new ones.
func TestRefusingLinkKeepsOldConnections(t *testing.T) {
	leakcheck.Check(t)
	link := NewLink("a", "b", 1)
	address, _ := echoBehind(t, link)
	old := dial(t, address)
	mustAsk(t, old, "x")
	fault := &Fault{RefuseConnects: true}
	link.AddFault(Forward, fault)
	if _, err := net.DialTimeout("tcp", address, time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v", err)
	}
	mustAsk(t, old, "y")
	link.RemoveFault(Forward, fault)
	mustAsk(t, dial(t, address), "z")
}

func TestResetComesInTheMiddleOfAMessage(t *testing.T) {
	leakcheck.Check(t)
	link := NewLink("a", "b", 1)
	address, ended := echoBehind(t, link)
	conn := dial(t, address)
	mustAsk(t, conn, "x")
	if n := link.ResetConnections(Backward, 5); n != 1 {
		t.Errorf("%d connections were reset", n)
	}
	long := strings.Repeat("y", 100)
	got, err := ask(conn, long, time.Second)
	if err != nil || !strings.HasPrefix("again "+long, got) || len(got) >= 100 {
		t.Errorf("%d bytes of the answer, %v", len(got), err)
	}
	if _, err := conn.Read(make([]byte, 10)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("and then %v", err)
	}
	if err := <-ended; err == nil { // the other side heard of it too
		t.Error("the other side has no error")
	}
}

// Half-open: the far side hears of an end, the near one waits on, and what it sends goes nowhere.
func TestHalfOpenConnectionIsSilentToOneSide(t *testing.T) {
	leakcheck.Check(t)
	link := NewLink("a", "b", 1)
	address, ended := echoBehind(t, link)
	conn := dial(t, address)
	mustAsk(t, conn, "x")
	if n := link.HalfOpenConnections(Forward); n != 1 {
		t.Errorf("%d connections were half closed", n)
	}
	if err := <-ended; err == nil {
		t.Error("the far side has no error")
	}
	if got, err := ask(conn, "y", 80*time.Millisecond); !isTimeout(err) {
		t.Errorf("the near side has %q, %v", got, err)
	}
	mustAsk(t, dial(t, address), "z")
	conn.Close()
	for range 100 {
		if link.Connections() <= 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the half that was left is never let go")
}

func TestDelayAndRateSlowALinkDownWhileTheyAreSet(t *testing.T) {
	leakcheck.Check(t)
	link := NewLink("a", "b", 1)
	address, _ := echoBehind(t, link)
	conn := dial(t, address)
	secondsFor := func(bytes int) float64 {
		began := time.Now()
		if got, err := ask(conn, strings.Repeat("x", bytes), 5*time.Second); err != nil {
			t.Fatal(got, err)
		}
		return time.Since(began).Seconds()
	}
	delay := &Fault{Delay: 0.15}
	link.AddFault(Backward, delay)
	if took := secondsFor(10); took < 0.15 {
		t.Errorf("delayed by 0.15 s it took %.3f s", took)
	}
	link.RemoveFault(Backward, delay)
	rate := &Fault{Rate: 4000}
	link.AddFault(Forward, rate)
	if took := secondsFor(800); took < 0.19 {
		t.Errorf("800 bytes at 4,000 a second took %.3f s", took)
	}
	link.RemoveFault(Forward, rate)
	shortest := 9.0
	for range 20 { // a busy machine is slow now and then, not each time
		shortest = min(shortest, secondsFor(800))
	}
	if shortest > 0.1 {
		t.Errorf("without a fault it takes %.3f s at best", shortest)
	}
}
