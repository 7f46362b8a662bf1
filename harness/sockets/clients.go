package sockets

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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

const (
	// maxIdleConns is how many connections to an api gateway clients keep.
	maxIdleConns = 64
	// readMargin is how long after its client gives up an answer is still read, in seconds.
	readMargin = 0.05
)

// Clients send the requests of a scenario's customers to api gateways on loopback, in an open loop. Times count from when a request was to
// be sent, not from when it was: a slow machine or api gateway hides nothing.
type Clients struct {
	*simulation.Simulation
	loop        *eventLoop
	interceptor Interceptor // nil: none
	addresses   []string    // by api gateway
	up          []bool      // by api gateway: the front sends clients there
	judge       bool        // the oracle is told of answers
	onSend      func(inv *model.Invocation)
	onEnd       func(inv *model.Invocation)
	inFlight    sync.WaitGroup

	mu   sync.Mutex                 // guards idle
	idle []map[*clientConn]struct{} // by api gateway
}

// clientConn is a connection of clients to an api gateway.
type clientConn struct {
	tcp    net.Conn
	reused bool // an answer has come on it before
}

// AddressError is an address that clients may not send to: load goes to this machine only.
type AddressError struct {
	Address string
	Reason  string
}

// Error names the address and what is wrong with it.
func (e *AddressError) Error() string { return e.Address + " is " + e.Reason }

// checkLoopback returns an *AddressError unless an address is on this machine.
func checkLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return &AddressError{Address: address, Reason: "no address such as 127.0.0.1:8443"}
	}
	if !parsed.Addr().IsLoopback() {
		return &AddressError{Address: address, Reason: "not on loopback: load goes to this machine only"}
	}
	return nil
}

// attach has the clients play a simulation.
func (c *Clients) attach(w *simulation.Simulation) {
	c.Simulation = w
	c.loop = newEventLoop(w.Queue)
	for range c.addresses {
		c.up = append(c.up, true)
		c.idle = append(c.idle, map[*clientConn]struct{}{})
	}
}

// waitForAnswers waits for what is still in flight, whose time is over, and closes the connections.
func (c *Clients) waitForAnswers() {
	done := make(chan struct{})
	go func() {
		c.inFlight.Wait()
		close(done)
	}()
	for {
		select {
		case <-c.loop.calls: // dropped, so that nobody waits in Do
		case <-done:
			c.closeIdle()
			return
		}
	}
}

func (c *Clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		for conn := range idle {
			conn.tcp.Close()
		}
	}
}

// Admits says whether the front sends clients to an api gateway.
func (c *Clients) Admits(gateway int) bool { return c.up[gateway%len(c.up)] }

// Submit sends an invocation. It always counts as accepted here; the workload is told its outcome later.
func (c *Clients) Submit(inv *model.Invocation) bool {
	inv.Accepted = true
	gateway := inv.Gateway % len(c.addresses)
	if c.onSend != nil {
		c.onSend(inv)
	}
	text := requestText(inv, c.Day.Fleet.Gateways.Int())
	deadline := c.loop.start.Add(seconds(inv.GiveUpAt + readMargin))
	c.inFlight.Add(1)
	if c.interceptor != nil {
		c.interceptor.EventSeen("taken", gateway)
	}
	go func() {
		defer c.inFlight.Done()
		got, err := c.exchange(inv, gateway, text, deadline)
		c.loop.Do(func() { c.handleAnswer(inv, got, err) })
	}()
	return true
}

// requestText is the request of an invocation as it goes out.
func requestText(inv *model.Invocation, gateways int) string {
	request := inv.Request
	operation := request.Operation
	customer := request.Customer
	method := http.MethodPost
	body := `{"lab":true}`
	if operation.Effect == "idempotent" {
		method = http.MethodGet
		body = ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%d HTTP/1.1\r\nHost: lab\r\n", method, operation.Name, inv.Number)
	fmt.Fprintf(&b, "Req-Id: %s\r\nReq-Kind: %s\r\n", inv.Ref, operation.Name)
	fmt.Fprintf(&b, "X-Tier: %s\r\nCookie: key=%s\r\n", customer.Plan.Name, customer.Key)
	fmt.Fprintf(&b, "Req-Deadline-Ms: %d\r\n", max(1, int((inv.GiveUpAt-inv.SentAt)*1000)))
	fmt.Fprintf(&b, "X-Call-Terms: units=%.0f,spread=%d,first=%d\r\n",
		request.Units, min(customer.GatewayCount, gateways), customer.FirstGateway%gateways)
	if inv.ClientRetry {
		b.WriteString("Req-Retry: 1\r\n")
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// answer is what came back for a request.
type answer struct {
	status     int // 0: nothing
	retryAfter float64
	body       string
	last       bool // the api gateway closes the connection behind it
}

var errTimeout = errors.New("no answer in time")

// exchange sends a request and reads its answer. A kept connection that turns out to be closed is replaced once, by a new one, since
// other kept ones may have been closed with it.
func (c *Clients) exchange(inv *model.Invocation, gateway int, text string, deadline time.Time) (answer, error) {
	got, reused, err := c.exchangeOnce(gateway, text, deadline, false)
	if err == nil || !reused || errors.Is(err, errTimeout) {
		return got, err
	}
	c.loop.Do(func() { c.keptConnectionClosed(inv) })
	got, _, err = c.exchangeOnce(gateway, text, deadline, true)
	return got, err
}

// exchangeOnce sends a request on a kept or a new connection. reused tells whether an answer had come on the connection before.
func (c *Clients) exchangeOnce(gateway int, text string, deadline time.Time, fresh bool) (got answer, reused bool, err error) {
	conn, err := c.takeConn(gateway, deadline, fresh)
	if err != nil {
		return answer{}, false, err
	}
	if err = conn.tcp.SetDeadline(deadline); err == nil {
		_, err = io.WriteString(conn.tcp, text)
	}
	if err == nil {
		err = ReadMessages(conn.tcp, true, func(m *http1.Message) bool {
			got = c.readAnswer(gateway, m)
			return false
		})
		if got.status > 0 {
			c.giveBack(gateway, conn, got.last)
			return got, false, nil
		}
	}
	conn.tcp.Close()
	switch {
	case err == nil:
		err = io.ErrUnexpectedEOF
	case isTimeout(err):
		err = errTimeout
	}
	return answer{}, conn.reused, err
}

// readAnswer reads an answer, and reports bytes behind it.
func (c *Clients) readAnswer(gateway int, m *http1.Message) answer {
	if more := m.Rest(); len(more) > 0 && c.judge {
		text := fmt.Sprintf("an answer of api gateway %d has %.40q behind it", gateway, more)
		c.loop.Do(func() { c.Oracle.ForeignContent("", text) })
	}
	retryAfter, _ := strconv.ParseFloat(field(m, "retry-after"), 64) // no number is none
	return answer{
		status:     m.Status,
		retryAfter: retryAfter,
		body:       string(m.Body),
		last:       strings.EqualFold(field(m, "connection"), "close"),
	}
}

// keptConnectionClosed judges a kept connection that ended under a request. It may have been closed before the request came, so its client
// sends the request once more and sees nothing of it; but where a host has an attempt of it, the request had been taken, and is owed an
// answer. Without this a process that cuts off what it owes was seen only by those whose connection was new.
func (c *Clients) keptConnectionClosed(inv *model.Invocation) {
	if c.interceptor == nil || len(inv.Attempts) == 0 || c.interceptor.FaultSince(inv.Gateway, "", inv.SentAt) {
		return
	}
	c.Oracle.ConnectionDropped(inv)
}

// takeConn gives a kept connection, or a new one.
func (c *Clients) takeConn(gateway int, deadline time.Time, fresh bool) (*clientConn, error) {
	if !fresh {
		if kept := c.takeIdle(gateway); kept != nil {
			return kept, nil
		}
	}
	tcp, err := (&net.Dialer{Deadline: deadline}).Dial("tcp", c.addresses[gateway])
	if err != nil {
		return nil, err
	}
	return &clientConn{tcp: tcp}, nil
}

func (c *Clients) takeIdle(gateway int) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle[gateway] {
		delete(c.idle[gateway], conn)
		return conn
	}
	return nil
}

// giveBack keeps a connection for further requests, unless last says that it ends.
func (c *Clients) giveBack(gateway int, conn *clientConn, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.reused = true
	if last || len(c.idle[gateway]) >= maxIdleConns {
		conn.tcp.Close()
		return
	}
	c.idle[gateway][conn] = struct{}{}
}

// handleAnswer tells oracle and workload what became of an invocation.
func (c *Clients) handleAnswer(inv *model.Invocation, got answer, err error) {
	outcome := outcomeOf(got.status, err)
	if c.interceptor != nil {
		c.Trace(inv.Gateway, inv.Ref, "its client has: "+model.OutcomeNames[outcome])
		outcome = c.excuseFaults(inv, outcome)
	}
	hadRoom := false
	if c.judge {
		hadRoom = c.judgeAnswer(inv, outcome, got.body)
	}
	if c.onEnd != nil {
		c.onEnd(inv)
	}
	c.Workload.HandleOutcome(inv, outcome, got.retryAfter, hadRoom)
	if c.interceptor != nil && !isUnanswered(outcome) && outcome != model.Unreachable {
		c.interceptor.EventSeen("answered", inv.Gateway%len(c.addresses))
	}
}

// outcomeOf is what a status or an error means to the client.
func outcomeOf(status int, err error) model.Outcome {
	switch {
	case errors.Is(err, errTimeout):
		return model.Unanswered
	case errors.Is(err, syscall.ECONNREFUSED):
		return model.Unreachable
	case err != nil:
		return model.Broken
	case status == http.StatusOK:
		return model.Served
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return model.Throttled
	}
	return model.Errored
}

// isUnanswered says that the client got nothing.
func isUnanswered(outcome model.Outcome) bool {
	return outcome == model.Unanswered || outcome == model.Broken
}

// excuseFaults corrects an outcome by the faults in force: under one, an api gateway owes nothing.
func (c *Clients) excuseFaults(inv *model.Invocation, outcome model.Outcome) model.Outcome {
	faulty := c.interceptor.FaultSince(inv.Gateway, "", inv.SentAt)
	switch {
	case outcome == model.Broken && c.interceptor.UnreachableSince(inv.Gateway, inv.SentAt): // the proxy answers, with nobody behind
		return model.Unreachable
	case isUnanswered(outcome) && faulty:
		return model.Broken
	case outcome == model.Broken:
		c.Oracle.ConnectionDropped(inv)
	}
	return outcome
}

// judgeAnswer tells the oracle of an answer. It returns whether the invocation was inside its quota.
func (c *Clients) judgeAnswer(inv *model.Invocation, outcome model.Outcome, body string) bool {
	if outcome == model.Served && !strings.HasPrefix(body, inv.Ref+" ") {
		c.Oracle.ForeignContent(inv.Ref, fmt.Sprintf("%s was served with %.40q", inv.Ref, body))
	}
	if outcome == model.Unreachable || outcome == model.Broken { // its api gateway was killed, or went away under it
		inv.Outcome = outcome
		return false
	}
	return c.InvocationAnswered(inv, outcome)
}
