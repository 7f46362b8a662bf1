package netproxy

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/harness/leakcheck"
)

// datagramWorld is two processes behind a DatagramProxy.
type datagramWorld struct {
	*testing.T
	sockets  []*net.UDPConn
	link     *Link
	proxy    *DatagramProxy
	observed atomic.Int64
}

func newDatagramWorld(t *testing.T) *datagramWorld {
	t.Helper()
	w := &datagramWorld{T: t, link: NewLink("edge 0", "edge 1", 7)}
	var processes []string
	for range 2 {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { socket.Close() })
		w.sockets = append(w.sockets, socket)
		processes = append(processes, socket.LocalAddr().String())
	}
	proxy, err := NewDatagramProxy(processes, func(_, _ int) *Link { return w.link }, func(_, _ int) { w.observed.Add(1) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	w.proxy = proxy
	return w
}

// send sends datagrams from the first process to the second, and returns all that arrive, joined. They have to come from the address by
// which the first is known.
func (w *datagramWorld) send(texts ...string) string {
	w.Helper()
	known := w.proxy.Addresses()
	to, err := net.ResolveUDPAddr("udp", known[1])
	if err != nil {
		w.Fatal(err)
	}
	for _, text := range texts {
		if _, err := w.sockets[0].WriteToUDP([]byte(text), to); err != nil {
			w.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	var all strings.Builder
	for {
		if err := w.sockets[1].SetReadDeadline(time.Now().Add(150 * time.Millisecond)); err != nil {
			w.Fatal(err)
		}
		buffer := make([]byte, 100)
		n, from, err := w.sockets[1].ReadFromUDP(buffer)
		if err != nil {
			return all.String()
		}
		if from.String() != known[0] {
			w.Errorf("it comes from %v, known is %s", from, known[0])
		}
		all.Write(buffer[:n])
	}
}

// Each fault of datagrams is in force while it is set, and no longer.
func TestDatagramsAreLostDoubledReorderedAndDelayed(t *testing.T) {
	leakcheck.Check(t)
	w := newDatagramWorld(t)
	if got := w.send("a", "b"); got != "ab" {
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
		w.link.AddFault(Forward, &test.fault)
		if got := w.send("a", "b"); got != test.want {
			t.Errorf("%+v: %q", test.fault, got)
		}
		w.link.RemoveFault(Forward, &test.fault)
	}
	reorder := &Fault{ReorderProbability: 0.5, Delay: 0.03}
	w.link.AddFault(Forward, reorder)
	if got := w.send("a", "b", "c", "d", "e", "f", "g", "h"); len(got) != 8 || got == "abcdefgh" {
		t.Errorf("out of order: %q", got)
	}
	w.link.RemoveFault(Forward, reorder)
	if got := w.send("a", "b"); got != "ab" {
		t.Errorf("afterwards: %q", got)
	}
	if w.observed.Load() != 20 {
		t.Errorf("%d datagrams were observed", w.observed.Load())
	}
}
