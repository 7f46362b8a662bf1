package sockets

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"

	"otterseam/gateway/http1"
	"otterseam/sim/countermodel"
)

const (
	// counterTimeout is the time limit for a response of the counter, in seconds. Responses go out in order, so a missing one would block
	// all later ones.
	counterTimeout = 1
	// maxExpiry is the maximum lifetime of a counter, in seconds.
	maxExpiry = 60
)

// counterConn is a connection of an api gateway to the counter's stand-in. Responses are sent in the order of the calls.
type counterConn struct {
	*StandIns
	gateway int
	conn    *conn
	pending []*string // responses in the order of their calls; "": not available yet
}

// counterCall is a call that adds an amount to a counter.
type counterCall struct {
	name     uint64
	amount   float64
	lifetime float64 // seconds
}

// serveCounter serves the counter calls of an api gateway on one connection.
func (s *StandIns) serveCounter(gateway int, tcp net.Conn) {
	c := &counterConn{StandIns: s, gateway: gateway, conn: s.wrapConn(tcp)}
	readRequests(tcp, func(m *http1.Message) {
		call, ok := parseCounterCall(m)
		s.loop.Do(func() { c.handle(call, ok) })
	})
	s.loop.Do(func() { c.conn.end(false) })
}

// handle executes a call. ok reports whether the request was a valid call.
func (c *counterConn) handle(call counterCall, ok bool) {
	slot := new(string)
	c.pending = append(c.pending, slot)
	if !ok {
		c.answer(slot, "400 Bad Request", "")
		return
	}
	network := c.Network()
	zone := c.zone(c.gateway)
	if network.Partitioned(zone, 0) {
		return
	}
	c.Queue.ScheduleAfter(network.Delay(zone, 0), func() { c.add(call, slot, network.Delay) })
	c.Queue.ScheduleAfter(counterTimeout, func() {
		if *slot == "" {
			c.conn.end(true)
		}
	})
}

// add adds to the model's counter and sends the response. delay draws the network delay between two zones.
func (c *counterConn) add(call counterCall, slot *string, delay func(from, to int) float64) {
	c.CounterCalled(false)
	c.interceptor.EventSeen("called", c.gateway)
	// Every second api gateway uses the replica of a split counter, since the model has no api gateways here that would decide it.
	c.Counter.Add(c.gateway%2 == 1, call.name, call.amount, call.lifetime, func(outcome countermodel.Outcome, total float64) {
		if outcome == countermodel.Added {
			c.interceptor.EventSeen("added", c.gateway)
		}
		c.Queue.ScheduleAfter(delay(0, c.zone(c.gateway)), func() {
			switch outcome {
			case countermodel.Added:
				c.answer(slot, "200 OK", strconv.FormatFloat(total, 'f', -1, 64))
			case countermodel.Rejected:
				c.answer(slot, "503 Service Unavailable", "")
			case countermodel.ConnectionRefused:
				c.conn.end(true)
			}
		})
	})
}

// answer stores a response in its slot and writes all responses at the front of the queue that are complete.
func (c *counterConn) answer(slot *string, status, body string) {
	*slot = fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	for len(c.pending) > 0 && *c.pending[0] != "" {
		c.conn.write([]byte(*c.pending[0]))
		c.pending = c.pending[1:]
	}
}

// parseCounterCall parses POST /counters/NAME?by=AMOUNT&expire_ms=LIFETIME.
func parseCounterCall(m *http1.Message) (call counterCall, ok bool) {
	path, query, _ := strings.Cut(string(m.Target), "?")
	text, found := strings.CutPrefix(path, "/counters/")
	name, err := strconv.ParseUint(text, 10, 64)
	if !found || err != nil || string(m.Method) != http.MethodPost {
		return counterCall{}, false
	}
	call.name = name
	for pair := range strings.SplitSeq(query, "&") {
		key, value, _ := strings.Cut(pair, "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsInf(number, 0) || math.IsNaN(number) {
			return counterCall{}, false
		}
		switch key {
		case "by":
			call.amount = number
		case "expire_ms":
			call.lifetime = min(maxExpiry, number/1000)
		}
	}
	return call, call.lifetime > 0
}
