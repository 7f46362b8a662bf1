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

// listenEcho starts a stand-in behind a link that returns each line with the prefix "again ". ended receives the error that ended each
// connection.
func listenEcho(t *testing.T, link *Link) (address string, ended chan error) {
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

// exchange sends a line and returns the response that arrives within a time.
func exchange(conn net.Conn, line string, within time.Duration) (string, error) {
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

// checkEcho sends a line and checks that the echo comes back.
func checkEcho(t *testing.T, conn net.Conn, line string) {
	t.Helper()
	if got, err := exchange(conn, line, time.Second); got != "again "+line+"\n" {
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

// Checks that a stall in either direction holds back all data, and that the data arrives after the stall, as retransmitted data does on a
// network.
func TestStalledLinkForwardsDataAfterTheStall(t *testing.T) {
	leakcheck.Check(t)
	for _, direction := range []Direction{Forward, Backward} {
		link := NewLink("a", "b", 1)
		address, _ := listenEcho(t, link)
		conn := dial(t, address)
		checkEcho(t, conn, "x")
		fault := &Fault{Stall: true}
		link.AddFault(direction, fault)
		if got, err := exchange(conn, "y", 60*time.Millisecond); !isTimeout(err) {
			t.Errorf("direction %d is stalled, but %q arrived, %v", direction, got, err)
		}
		if got, err := exchange(dial(t, address), "z", 60*time.Millisecond); !isTimeout(err) { // new connections are still accepted
			t.Errorf("direction %d is stalled, but %q arrived on a new connection, %v", direction, got, err)
		}
		link.RemoveFault(direction, fault)
		if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 100)
		if n, err := conn.Read(buffer); string(buffer[:n]) != "again y\n" {
			t.Errorf("after the stall: %q %v", buffer[:n], err)
		}
	}
}

// Checks that a blocked link carries no data on old connections and establishes no new ones, and that it establishes new ones afterwards.
func TestBlockedLinkEstablishesNoConnections(t *testing.T) {
	leakcheck.Check(t)
	link := NewLink("a", "b", 1)
	address, _ := listenEcho(t, link)
	old := dial(t, address)
	checkEcho(t, old, "x")
	fault := &Fault{Stall: true, BlockConnects: true}
	link.AddFault(Forward, fault)
	link.AddFault(Backward, fault)
	time.Sleep(200 * time.Millisecond)
	if _, err := exchange(old, "y", 60*time.Millisecond); !isTimeout(err) {
		t.Errorf("old connection: %v", err)
	}
	if conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond); !isTimeout(err) {
		t.Errorf("new connection was established: %v %v", conn, err)
	}
	link.RemoveFault(Forward, fault)
	link.RemoveFault(Backward, fault)
	for deadline := time.Now().Add(5 * time.Second); ; {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			got, err := exchange(conn, "z", time.Second)
			conn.Close()
			if got == "again z\n" {
				return
			}
			t.Logf("%q %v", got, err)
		}
		if time.Now().After(deadline) {
			t.Fatal("no connection is established after the fault")
		}
	}
}

// Checks that a refusing link refuses new connections immediately and keeps old ones, and that the same address accepts new ones
// afterwards.
func TestRefusingLinkKeepsOldConnections(t *testing.T) {
	leakcheck.Check(t)
	link := NewLink("a", "b", 1)
	address, _ := listenEcho(t, link)
	old := dial(t, address)
	checkEcho(t, old, "x")
	fault := &Fault{RefuseConnects: true}
	link.AddFault(Forward, fault)
	if _, err := net.DialTimeout("tcp", address, time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("new connection: %v", err)
	}
	checkEcho(t, old, "y")
	link.RemoveFault(Forward, fault)
	checkEcho(t, dial(t, address), "z")
}

func TestResetInTheMiddleOfAMessage(t *testing.T) {
	leakcheck.Check(t)
	link := NewLink("a", "b", 1)
	address, ended := listenEcho(t, link)
	conn := dial(t, address)
	checkEcho(t, conn, "x")
	if n := link.ResetConnections(Backward, 5); n != 1 {
		t.Errorf("%d connections were reset", n)
	}
	long := strings.Repeat("y", 100)
	got, err := exchange(conn, long, time.Second)
	if err != nil || !strings.HasPrefix("again "+long, got) || len(got) >= 100 {
		t.Errorf("%d bytes of the response, %v", len(got), err)
	}
	if _, err := conn.Read(make([]byte, 10)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after the reset: %v", err)
	}
	if err := <-ended; err == nil { // the other side is reset too
		t.Error("the other side has no error")
	}
}

// Checks that a half-open connection ends for the accepting side only: the connecting side gets no error, and the data that it sends is
// dropped.
func TestHalfOpenConnectionEndsForOneSideOnly(t *testing.T) {
	leakcheck.Check(t)
	link := NewLink("a", "b", 1)
	address, ended := listenEcho(t, link)
	conn := dial(t, address)
	checkEcho(t, conn, "x")
	if n := link.HalfOpenConnections(Forward); n != 1 {
		t.Errorf("%d connections are half-open", n)
	}
	if err := <-ended; err == nil {
		t.Error("the accepting side has no error")
	}
	if got, err := exchange(conn, "y", 80*time.Millisecond); !isTimeout(err) {
		t.Errorf("the connecting side has %q, %v", got, err)
	}
	checkEcho(t, dial(t, address), "z")
	conn.Close()
	for range 100 {
		if link.Connections() <= 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the half-open connection is never removed")
}

func TestDelayAndRateSlowALinkDownWhileTheyAreSet(t *testing.T) {
	leakcheck.Check(t)
	link := NewLink("a", "b", 1)
	address, _ := listenEcho(t, link)
	conn := dial(t, address)
	secondsFor := func(bytes int) float64 {
		began := time.Now()
		if got, err := exchange(conn, strings.Repeat("x", bytes), 5*time.Second); err != nil {
			t.Fatal(got, err)
		}
		return time.Since(began).Seconds()
	}
	delay := &Fault{Delay: 0.15}
	link.AddFault(Backward, delay)
	if took := secondsFor(10); took < 0.15 {
		t.Errorf("with a delay of 0.15 s it took %.3f s", took)
	}
	link.RemoveFault(Backward, delay)
	rate := &Fault{Rate: 4000}
	link.AddFault(Forward, rate)
	if took := secondsFor(800); took < 0.19 {
		t.Errorf("800 bytes at 4,000 bytes per second took %.3f s", took)
	}
	link.RemoveFault(Forward, rate)
	shortest := 9.0
	for range 20 { // a busy machine is slow in some rounds, not in all
		shortest = min(shortest, secondsFor(800))
	}
	if shortest > 0.1 {
		t.Errorf("without a fault the shortest time is %.3f s", shortest)
	}
}
