package netproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterseam/harness/leakcheck"
)

// echo is a part that says each line again. It tells how its connections ended.
func echo(t *testing.T, l *Link) (addr string, ends chan error) {
	t.Helper()
	ends = make(chan error, 64)
	addr, err := l.Inside(func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				ends <- err
				c.Close()
				return
			}
			io.WriteString(c, "again "+line)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return addr, ends
}

// ask sends a line and gives what came back within a time.
func ask(c net.Conn, line string, within time.Duration) (string, error) {
	c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	b := make([]byte, 4096)
	n, err := c.Read(b)
	return string(b[:n]), err
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Held in either direction, nothing comes back while it lasts; afterwards what was held comes, as a network sends it again.
func TestStalledLinkHoldsAndGoesOn(t *testing.T) {
	leakcheck.Check(t)
	for _, dir := range []int{There, Back} {
		l := NewLink("a", "b", 1)
		addr, _ := echo(t, l)
		c := dial(t, addr)
		if got, err := ask(c, "x", time.Second); got != "again x\n" {
			t.Fatalf("without a fault: %q %v", got, err)
		}
		f := &Fault{Hold: true}
		l.Set(dir, f)
		if got, err := ask(c, "y", 60*time.Millisecond); !timedOut(err) {
			t.Errorf("direction %d held, and %q came, %v", dir, got, err)
		}
		if got, err := ask(dial(t, addr), "z", 60*time.Millisecond); !timedOut(err) { // new ones are taken all the same
			t.Errorf("direction %d held, and %q came on a new connection, %v", dir, got, err)
		}
		l.Clear(dir, f)
		c.SetDeadline(time.Now().Add(time.Second))
		b := make([]byte, 100)
		if n, err := c.Read(b); string(b[:n]) != "again y\n" {
			t.Errorf("after it: %q %v", b[:n], err)
		}
	}
}

// Dropped, old connections are mute and new ones never come up; afterwards new ones do.
func TestDroppedLinkTakesNoConnections(t *testing.T) {
	leakcheck.Check(t)
	l := NewLink("a", "b", 1)
	addr, _ := echo(t, l)
	old := dial(t, addr)
	ask(old, "x", time.Second)
	f := &Fault{Hold: true, Closed: true}
	l.Set(There, f)
	l.Set(Back, f)
	time.Sleep(200 * time.Millisecond)
	if _, err := ask(old, "y", 60*time.Millisecond); !timedOut(err) {
		t.Errorf("an old connection: %v", err)
	}
	if c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond); !timedOut(err) {
		t.Errorf("a new connection came up: %v %v", c, err)
	}
	l.Clear(There, f)
	l.Clear(Back, f)
	for until := time.Now().Add(5 * time.Second); ; {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			got, err := ask(c, "z", time.Second)
			c.Close()
			if got == "again z\n" {
				return
			}
			t.Logf("%q %v", got, err)
		}
		if time.Now().After(until) {
			t.Fatal("no connection comes up again")
		}
	}
}

// Refused, new connections are refused at once and old ones go on; afterwards the same address takes new ones.
func TestRefusedLink(t *testing.T) {
	leakcheck.Check(t)
	l := NewLink("a", "b", 1)
	addr, _ := echo(t, l)
	old := dial(t, addr)
	ask(old, "x", time.Second)
	f := &Fault{Refuse: true}
	l.Set(There, f)
	if _, err := net.DialTimeout("tcp", addr, time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v", err)
	}
	if got, _ := ask(old, "y", time.Second); got != "again y\n" {
		t.Errorf("an old one says %q", got)
	}
	l.Clear(There, f)
	if got, err := ask(dial(t, addr), "z", time.Second); got != "again z\n" {
		t.Errorf("afterwards: %q %v", got, err)
	}
}

// Reset within a message: a part of it comes, then a reset. Without: all of it.
func TestResetInTheMiddle(t *testing.T) {
	leakcheck.Check(t)
	l := NewLink("a", "b", 1)
	addr, ends := echo(t, l)
	c := dial(t, addr)
	ask(c, "x", time.Second)
	if n := l.Reset(Back, 5); n != 1 {
		t.Errorf("%d connections were struck", n)
	}
	long := strings.Repeat("y", 100)
	got, err := ask(c, long, time.Second)
	if err != nil || !strings.HasPrefix("again "+long, got) || len(got) >= 100 {
		t.Errorf("%d bytes of the answer, %v", len(got), err)
	}
	if _, err := c.Read(make([]byte, 10)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("and then %v", err)
	}
	<-ends // the other side heard of it too
}

// Half-open: the far side hears of an end, the near one waits on, and what it sends goes nowhere.
func TestHalfOpen(t *testing.T) {
	leakcheck.Check(t)
	l := NewLink("a", "b", 1)
	addr, ends := echo(t, l)
	c := dial(t, addr)
	ask(c, "x", time.Second)
	if n := l.HalfOpen(There); n != 1 {
		t.Errorf("%d connections were struck", n)
	}
	<-ends
	if got, err := ask(c, "y", 80*time.Millisecond); !timedOut(err) {
		t.Errorf("the near side has %q, %v", got, err)
	}
	if got, _ := ask(dial(t, addr), "z", time.Second); got != "again z\n" {
		t.Errorf("a new one says %q", got)
	}
	c.Close()
	for range 100 {
		if l.Open() <= 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the half that was left is never let go")
}

// Delayed, an answer takes so much longer; slowed down, bytes take their time.
func TestDelayAndRate(t *testing.T) {
	leakcheck.Check(t)
	l := NewLink("a", "b", 1)
	addr, _ := echo(t, l)
	c := dial(t, addr)
	took := func(bytes int) float64 {
		began := time.Now()
		if got, err := ask(c, strings.Repeat("x", bytes), 5*time.Second); err != nil {
			t.Fatal(got, err)
		}
		return time.Since(began).Seconds()
	}
	delay, rate := &Fault{Delay: 0.15}, &Fault{Rate: 4000}
	l.Set(Back, delay)
	if s := took(10); s < 0.15 {
		t.Errorf("delayed by 0.15 s it took %.3f s", s)
	}
	l.Clear(Back, delay)
	l.Set(There, rate)
	if s := took(800); s < 0.19 {
		t.Errorf("800 bytes at 4,000 a second took %.3f s", s)
	}
	l.Clear(There, rate)
	fast := 9.0
	for range 20 { // a busy machine is slow now and then, not each time
		fast = min(fast, took(800))
	}
	if fast > 0.1 {
		t.Errorf("without a fault it takes %.3f s at best", fast)
	}
}

// Datagrams: lost, doubled, out of order and held back, each seen to strike and gone with the fault; the sender that is
// seen is the one that is known.
func TestMail(t *testing.T) {
	leakcheck.Check(t)
	var socks []*net.UDPConn
	var own []string
	for range 2 {
		s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		socks, own = append(socks, s), append(own, s.LocalAddr().String())
	}
	l := NewLink("edge 0", "edge 1", 7)
	var seen atomic.Int64
	m, err := NewMail(own, func(from, to int) *Link { return l }, func(from, to int) { seen.Add(1) })
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	to, _ := net.ResolveUDPAddr("udp", m.Addrs()[1])
	send := func(texts ...string) (got []string) {
		for _, x := range texts {
			socks[0].WriteToUDP([]byte(x), to)
			time.Sleep(time.Millisecond)
		}
		for {
			socks[1].SetReadDeadline(time.Now().Add(150 * time.Millisecond))
			b := make([]byte, 100)
			n, from, err := socks[1].ReadFromUDP(b)
			if err != nil {
				return got
			}
			if from.String() != m.Addrs()[0] {
				t.Errorf("it comes from %v, known is %s", from, m.Addrs()[0])
			}
			got = append(got, string(b[:n]))
		}
	}
	if got := send("a", "b"); strings.Join(got, "") != "ab" {
		t.Errorf("without a fault: %q", got)
	}
	for _, x := range []struct {
		fault Fault
		want  string
	}{{Fault{Lose: 1}, ""}, {Fault{Hold: true}, ""}, {Fault{Double: 1}, "aabb"}, {Fault{Delay: 0.05}, "ab"}} {
		l.Set(There, &x.fault)
		if got := send("a", "b"); strings.Join(got, "") != x.want {
			t.Errorf("%+v: %q", x.fault, got)
		}
		l.Clear(There, &x.fault)
	}
	late := &Fault{Late: 0.5, Delay: 0.03}
	l.Set(There, late)
	if got := strings.Join(send("a", "b", "c", "d", "e", "f", "g", "h"), ""); len(got) != 8 || got == "abcdefgh" {
		t.Errorf("out of order: %q", got)
	}
	l.Clear(There, late)
	if got := send("a", "b"); strings.Join(got, "") != "ab" {
		t.Errorf("afterwards: %q", got)
	}
	if seen.Load() != 20 {
		t.Errorf("%d datagrams were seen", seen.Load())
	}
}
