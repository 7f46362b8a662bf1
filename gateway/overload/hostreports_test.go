package overload

import (
	"fmt"
	"testing"
)

// ejectedHost simulates one host that all gateways eject, each at a different moment, and that later answers again.
type ejectedHost struct {
	now       float64
	gateways  []*Controller
	probeAt   []float64
	ejected   []bool
	alive     bool
	probes    int // after the first five seconds
	recovered int
	messages  int
}

func newEjectedHost(gateways int) *ejectedHost {
	h := &ejectedHost{now: 100, probeAt: make([]float64, gateways), ejected: make([]bool, gateways)}
	for i := range gateways {
		c := New(Config{Gateways: gateways, MessageRate: 60, Seed: uint64(i)})
		c.SetFleet(float64(gateways), 40)
		h.gateways = append(h.gateways, c)
		h.probeAt[i] = h.now + float64(i)/float64(gateways)
	}
	return h
}

func (h *ejectedHost) step() {
	for i := range h.gateways {
		h.probe(i)
	}
	for from, c := range h.gateways {
		c.Flush(h.now, func(_ int, text string) {
			h.messages++
			for to, peer := range h.gateways {
				if to != from {
					peer.Receive(h.now, from, text)
				}
			}
		}, func(string) {})
	}
}

func (h *ejectedHost) probe(i int) {
	c := h.gateways[i]
	if h.ejected[i] && c.TakeRecovery(h.now, "h") {
		h.ejected[i] = false
		h.recovered++
	}
	if h.now < h.probeAt[i] || h.alive && !h.ejected[i] {
		return
	}
	if h.ejected[i] && h.now > 105 {
		h.probes++
	}
	if h.alive {
		c.HostAnswered("h", h.now, true)
		h.ejected[i] = false
		h.recovered++
		return
	}
	c.HostEjected(h.now, "h", h.ejected[i])
	h.ejected[i] = true
	h.probeAt[i] = h.now + c.ProbeInterval(h.now, "h", 2)
}

// All gateways have ejected a dead host. The fleet must probe it about four times per second, whatever the number of gateways.
// When it answers again and one gateway detects this, all must readmit it. A single gateway with a broken link that ejects a
// host must not convince the others.
func TestFleetProbeRateOfEjectedHostIsBounded(t *testing.T) {
	for _, gateways := range []int{30, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			h := newEjectedHost(gateways)
			for ; h.now < 130; h.now += 0.05 {
				h.alive = h.now > 125
				h.step()
			}
			if limit := 20*ejectedProbeRate*2 + 20; float64(h.probes) > limit || h.probes < 20 || h.messages > 300 {
				t.Errorf("%d probes in 20 s, want at most %.0f; %d messages", h.probes, limit, h.messages)
			}
			if h.recovered != gateways {
				t.Errorf("%d of %d gateways readmitted the host", h.recovered, gateways)
			}
			if h.gateways[5].EjectionConfirmed(h.now, "h") {
				t.Error("the ejection is still confirmed after the host's recovery")
			}
			first, others := h.gateways[0], h.gateways[1:]
			first.HostEjected(h.now, "k", false)
			for _, c := range others {
				c.Receive(h.now, 0, "~-k")
				if c.EjectionConfirmed(h.now, "k") || c.TakeRecovery(h.now, "k") {
					t.Fatal("the report of a single gateway was accepted")
				}
			}
			if first.ProbeInterval(h.now, "k", 2) != 2 {
				t.Error("an unconfirmed ejection lengthened the probe interval")
			}
		})
	}
}

// A peer keeps reporting that a host answers although it does not. After the first wrong report the peer must be ignored for a
// while.
func TestWrongHostReportIsDistrusted(t *testing.T) {
	c := New(Config{Gateways: 30, MessageRate: 60})
	c.SetFleet(30, 4)
	accepted := 0
	for now := 100.0; now < 109; now += 0.1 {
		c.Receive(now, 7, "~+h")
		if c.TakeRecovery(now, "h") {
			accepted++
			c.HostEjected(now+0.05, "h", false)
		}
	}
	if accepted != 1 {
		t.Errorf("accepted %d times, want once", accepted)
	}
	for i := range 1000 {
		c.Receive(110, 7, fmt.Sprint("~-x", i))
	}
	if kept := len(c.hosts.byHost); kept > 40 {
		t.Errorf("reports about %d unknown hosts are kept", kept)
	}
}
