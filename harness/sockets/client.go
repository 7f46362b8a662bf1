package sockets

// This file owns the clients: a day's customers ask api gateways on loopback, in open loop. Times count from when a try
// was to be sent, not from when it was: a slow machine or api gateway hides nothing.

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterseam/gateway/http1"
	"otterseam/sim/model"
	"otterseam/sim/simulation"
)

// Clients ask the api gateways at some addresses.
type Clients struct {
	*simulation.Simulation
	pump   *pump
	addrs  []string
	up     []bool
	mu     sync.Mutex
	idle   []map[*client]bool // by api gateway, connections at rest
	began  func(inv *model.Invocation)
	ended  func(inv *model.Invocation)
	judge  bool // the referee hears of answers
	rig    Interceptor
	flying sync.WaitGroup
}

type client struct {
	tcp  net.Conn
	used bool
}

// loopback checks that an address is on this machine: the load goes nowhere else.
func loopback(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("%s is no address such as 127.0.0.1:8443", addr)
	}
	if !a.Addr().IsLoopback() {
		return fmt.Errorf("%s is not on loopback: load goes to this machine only", addr)
	}
	return nil
}

// The crowd's door; what it does not say itself, the day's world does.

func (c *Clients) Admits(gateway int) bool { return c.up[gateway%len(c.up)] }

// Submit sends a try. It always counts as taken here; what came of it is told to the crowd later.
func (c *Clients) Submit(inv *model.Invocation) bool {
	inv.Accepted = true
	gateway := inv.Gateway % len(c.addrs)
	if c.began != nil {
		c.began(inv)
	}
	text := request(inv, c.Day.Fleet.Gateways.N())
	until := c.pump.start.Add(time.Duration((inv.GiveUpAt + 0.05) * 1e9))
	c.flying.Add(1)
	if c.rig != nil {
		c.rig.EventSeen("taken", gateway)
	}
	go func() {
		defer c.flying.Done()
		status, retryAfter, body, err := c.exchange(inv, gateway, text, until)
		c.pump.Do(func() { c.answered(inv, status, retryAfter, body, err) })
	}()
	return true
}

func request(inv *model.Invocation, gateways int) string {
	n := inv.Request
	method, body := "POST", `{"lab":true}`
	if n.Operation.Effect == "idempotent" {
		method, body = "GET", ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%d HTTP/1.1\r\nHost: lab\r\nReq-Id: %s\r\nReq-Kind: %s\r\nX-Tier: %s\r\nCookie: key=%s\r\n"+
		"Req-Deadline-Ms: %d\r\nX-Call-Terms: units=%.0f,spread=%d,first=%d\r\n", method, n.Operation.Name, inv.Number, inv.Ref, n.Operation.Name,
		n.Customer.Plan.Name, n.Customer.Key, max(1, int((inv.GiveUpAt-inv.SentAt)*1000)), n.Units, min(n.Customer.GatewayCount, gateways), n.Customer.FirstGateway%gateways)
	if inv.ClientRetry {
		b.WriteString("Req-Retry: 1\r\n")
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

var errTime = errors.New("no answer in time")

// exchange sends a request and reads its answer. A connection at rest that turns out to be closed is replaced once, as
// clients do.
func (c *Clients) exchange(inv *model.Invocation, gateway int, text string, until time.Time) (status int, retryAfter float64, body string, err error) {
	for again := range 2 { // the second time on a new one: others at rest may have been closed with the first
		var k *client
		if k, err = c.take(gateway, until, again > 0); err != nil {
			return 0, 0, "", err
		}
		k.tcp.SetDeadline(until)
		if _, err = io.WriteString(k.tcp, text); err == nil {
			last := false
			err = ReadMessages(k.tcp, true, func(m *http1.Message) bool {
				status, body = m.Status, string(m.Body)
				if more := m.Rest(); len(more) > 0 && c.judge {
					text := fmt.Sprintf("an answer of api gateway %d has %.40q behind it", gateway, more)
					c.pump.Do(func() { c.Oracle.ForeignContent("", text) })
				}
				retryAfter, _ = strconv.ParseFloat(field(m, "retry-after"), 64)
				last = strings.EqualFold(field(m, "connection"), "close")
				return false
			})
			if status > 0 {
				c.give(gateway, k, last)
				return status, retryAfter, body, nil
			}
		}
		k.tcp.Close()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return 0, 0, "", errTime
		}
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		if !k.used { // only a kept connection may have been closed under the request
			return 0, 0, "", err
		}
		c.pump.Do(func() { c.closed(inv) })
	}
	return 0, 0, "", err
}

// closed judges a kept connection that ended under a request. Such a one may have been closed before the request came, so its
// client sends it once more and sees nothing of it; but where a host has a delivery of it, it had been taken, and is owed an
// answer. Without this a process that cuts off what it owes was seen only by those whose connection was new.
func (c *Clients) closed(inv *model.Invocation) {
	if c.rig == nil || len(inv.Attempts) == 0 || c.rig.FaultSince(inv.Gateway, "", inv.SentAt) {
		return
	}
	c.Oracle.ConnectionDropped(inv)
}

func (c *Clients) take(gateway int, until time.Time, fresh bool) (*client, error) {
	c.mu.Lock()
	for k := range c.idle[gateway] {
		if fresh {
			break
		}
		delete(c.idle[gateway], k)
		c.mu.Unlock()
		return k, nil
	}
	c.mu.Unlock()
	tcp, err := (&net.Dialer{Deadline: until}).Dial("tcp", c.addrs[gateway])
	return &client{tcp: tcp}, err
}

func (c *Clients) give(gateway int, k *client, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.used = true
	if last || len(c.idle[gateway]) >= 64 {
		k.tcp.Close()
		return
	}
	c.idle[gateway][k] = true
}

func (c *Clients) answered(inv *model.Invocation, status int, retryAfter float64, body string, err error) {
	how := model.Errored
	switch {
	case errors.Is(err, errTime):
		how = model.Unanswered
	case err != nil && errors.Is(err, syscall.ECONNREFUSED):
		how = model.Unreachable
	case err != nil:
		how = model.Broken
	case status == 200:
		how = model.Served
	case status == 429 || status == 503:
		how = model.Throttled
	}
	room := false
	if c.rig != nil {
		c.Trace(inv.Gateway, inv.Ref, "its client has: "+model.OutcomeNames[how])
		switch struck := c.rig.FaultSince(inv.Gateway, "", inv.SentAt); {
		case how == model.Broken && c.rig.UnreachableSince(inv.Gateway, inv.SentAt): // its door stands, with nobody behind
			how = model.Unreachable
		case unanswered(how) && struck: // what was struck owes nothing meanwhile
			how = model.Broken
		case how == model.Broken:
			c.Oracle.ConnectionDropped(inv)
		}
	}
	if c.judge {
		if how == model.Served && !strings.HasPrefix(body, inv.Ref+" ") {
			c.Oracle.ForeignContent(inv.Ref, fmt.Sprintf("%s was served with %.40q", inv.Ref, body))
		}
		switch how {
		case model.Unreachable, model.Broken: // its api gateway was killed, or went away under it
			inv.Outcome = how
		default:
			room = c.Simulation.InvocationAnswered(inv, how)
		}
	}
	if c.ended != nil {
		c.ended(inv)
	}
	c.Workload.HandleOutcome(inv, how, retryAfter, room)
	if c.rig != nil && !unanswered(how) && how != model.Unreachable {
		c.rig.EventSeen("answered", inv.Gateway%len(c.addrs))
	}
}
