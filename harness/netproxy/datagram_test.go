package netproxy

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/harness/leakcheck"
)

// datagramTest contains two sockets, which stand for processes, behind a DatagramProxy.
type datagramTest struct {
	*testing.T
	sockets  []*net.UDPConn
	link     *Link
	proxy    *DatagramProxy
	observed atomic.Int64
}

func newDatagramTest(t *testing.T) *datagramTest {
	t.Helper()
	d := &datagramTest{T: t, link: NewLink("edge 0", "edge 1", 7)}
	var processes []string
	for range 2 {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { socket.Close() })
		d.sockets = append(d.sockets, socket)
		processes = append(processes, socket.LocalAddr().String())
	}
	proxy, err := NewDatagramProxy(processes, func(_, _ int) *Link { return d.link }, func(_, _ int) { d.observed.Add(1) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	d.proxy = proxy
	return d
}

// send sends datagrams from the first process to the second and returns the concatenation of those that arrive. Their sender has to be
// the proxy's address for the first process.
func (d *datagramTest) send(texts ...string) string {
	d.Helper()
	addresses := d.proxy.Addresses()
	to, err := net.ResolveUDPAddr("udp", addresses[1])
	if err != nil {
		d.Fatal(err)
	}
	for _, text := range texts {
		if _, err := d.sockets[0].WriteToUDP([]byte(text), to); err != nil {
			d.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	var all strings.Builder
	for {
		if err := d.sockets[1].SetReadDeadline(time.Now().Add(150 * time.Millisecond)); err != nil {
			d.Fatal(err)
		}
		buffer := make([]byte, 100)
		n, from, err := d.sockets[1].ReadFromUDP(buffer)
		if err != nil {
			return all.String()
		}
		if from.String() != addresses[0] {
			d.Errorf("sender is %v, want %s", from, addresses[0])
		}
		all.Write(buffer[:n])
	}
}

// Checks that each datagram fault is in force while it is set, and no longer.
func TestDatagramsAreLostDuplicatedReorderedAndDelayed(t *testing.T) {
	leakcheck.Check(t)
	d := newDatagramTest(t)
	if got := d.send("a", "b"); got != "ab" {
		t.Errorf("without a fault: %q", got)
	}
	tests := []struct {
		fault Fault
		want  string
	}{
		{Fault{LossProbability: 1}, ""},
		{Fault{Stall: true}, ""},
		{Fault{DuplicateProbability: 1}, "aabb"},
		{Fault{Delay: 0.05}, "ab"},
	}
	for _, test := range tests {
		d.link.AddFault(Forward, &test.fault)
		if got := d.send("a", "b"); got != test.want {
			t.Errorf("%+v: %q", test.fault, got)
		}
		d.link.RemoveFault(Forward, &test.fault)
	}
	reorder := &Fault{ReorderProbability: 0.5, Delay: 0.03}
	d.link.AddFault(Forward, reorder)
	if got := d.send("a", "b", "c", "d", "e", "f", "g", "h"); len(got) != 8 || got == "abcdefgh" {
		t.Errorf("with reordering: %q", got)
	}
	d.link.RemoveFault(Forward, reorder)
	if got := d.send("a", "b"); got != "ab" {
		t.Errorf("afterwards: %q", got)
	}
	if d.observed.Load() != 20 {
		t.Errorf("%d datagrams were observed", d.observed.Load())
	}
}
