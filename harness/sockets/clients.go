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
	// maxIdleConns is the maximum number of idle connections that clients keep open to one api gateway.
	maxIdleConns = 64
	// readMargin is the time after the client's deadline during which a response is still read, in seconds.
	readMargin = 0.05
)

// Clients sends the requests of a scenario's customers to api gateways on loopback, in an open loop. Latencies are measured from the
// intended send time of a request, not from the actual one, so that delays of a slow machine or api gateway are included.
type Clients struct {
	*simulation.Simulation
	loop           *eventLoop
	interceptor    Interceptor // nil: none
	addresses      []string    // by api gateway
	up             []bool      // by api gateway: the front routes clients to it
	reportToOracle bool        // responses are reported to the oracle
	onSend         func(inv *model.Invocation)
	onEnd          func(inv *model.Invocation)
	inFlight       sync.WaitGroup

	mu   sync.Mutex                 // guards idle
	idle []map[*clientConn]struct{} // by api gateway
}

// clientConn is a connection of clients to an api gateway.
type clientConn struct {
	tcp    net.Conn
	reused bool // a response was received on it before
}

// AddressError reports an address that clients may not send to. Load is sent to this machine only.
type AddressError struct {
	Address string
	Reason  string
}

// Error returns the address and the reason why it is rejected.
func (e *AddressError) Error() string { return e.Address + " is " + e.Reason }

// checkLoopback returns an *AddressError unless address is a loopback address with a port.
func checkLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return &AddressError{Address: address, Reason: "not an IP address with a port, such as 127.0.0.1:8443"}
	}
	if !parsed.Addr().IsLoopback() {
		return &AddressError{Address: address, Reason: "not on loopback: load is sent to this machine only"}
	}
	return nil
}

// attach connects the clients to the simulation whose requests they send.
func (c *Clients) attach(w *simulation.Simulation) {
	c.Simulation = w
	c.loop = newEventLoop(w.Queue)
	for range c.addresses {
		c.up = append(c.up, true)
		c.idle = append(c.idle, map[*clientConn]struct{}{})
	}
}

// waitForAnswers waits until the requests in flight have ended and closes the idle connections. All deadlines have passed when it is called.
func (c *Clients) waitForAnswers() {
	done := make(chan struct{})
	go func() {
		c.inFlight.Wait()
		close(done)
	}()
	for {
		select {
		case <-c.loop.calls: // dropped, so that no goroutine blocks in Do
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

// Admits reports whether the front routes clients to an api gateway.
func (c *Clients) Admits(gateway int) bool { return c.up[gateway%len(c.up)] }

// Submit sends an invocation. The invocation always counts as accepted, and its outcome is reported to the workload later.
func (c *Clients) Submit(inv *model.Invocation) bool {
	inv.Accepted = true
	gateway := inv.Gateway % len(c.addresses)
	if c.onSend != nil {
		c.onSend(inv)
	}
	text := formatRequest(inv, c.Day.Fleet.Gateways.Int())
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

// formatRequest returns the HTTP request of an invocation.
func formatRequest(inv *model.Invocation, gateways int) string {
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

// answer is the response to a request.
type answer struct {
	status     int // 0: no response
	retryAfter float64
	body       string
	closing    bool // the api gateway closes the connection after it
}

var errTimeout = errors.New("no response before the deadline")

// exchange sends a request and reads its response. If a reused connection turns out to be closed, the request is sent once more, on a new
// connection, because other idle connections may have been closed at the same time.
func (c *Clients) exchange(inv *model.Invocation, gateway int, text string, deadline time.Time) (answer, error) {
	got, reused, err := c.exchangeOnce(gateway, text, deadline, false)
	if err == nil || !reused || errors.Is(err, errTimeout) {
		return got, err
	}
	c.loop.Do(func() { c.handleReusedConnClosed(inv) })
	got, _, err = c.exchangeOnce(gateway, text, deadline, true)
	return got, err
}

// exchangeOnce sends a request on an idle connection or, if fresh is set, on a new one. The result reused reports whether an earlier response
// was received on a connection that failed.
func (c *Clients) exchangeOnce(gateway int, text string, deadline time.Time, fresh bool) (got answer, reused bool, err error) {
	conn, err := c.acquireConn(gateway, deadline, fresh)
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
			c.releaseConn(gateway, conn, got.closing)
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

// readAnswer converts a response message. Bytes that follow the message are reported to the oracle.
func (c *Clients) readAnswer(gateway int, m *http1.Message) answer {
	if more := m.Rest(); len(more) > 0 && c.reportToOracle {
		text := fmt.Sprintf("an answer of api gateway %d has %.40q behind it", gateway, more)
		c.loop.Do(func() { c.Oracle.ForeignContent("", text) })
	}
	retryAfter, _ := strconv.ParseFloat(field(m, "retry-after"), 64) // 0 if it is absent or not a number
	return answer{
		status:     m.Status,
		retryAfter: retryAfter,
		body:       string(m.Body),
		closing:    strings.EqualFold(field(m, "connection"), "close"),
	}
}

// handleReusedConnClosed handles a reused connection that was closed during a request. The api gateway may have closed it before the request
// arrived, in which case sending the request again is correct. If a host has already received an attempt, the api gateway had accepted the
// request and must answer it, and the dropped connection is reported to the oracle. Without this check, an api gateway that drops accepted
// requests was detected only on new connections.
func (c *Clients) handleReusedConnClosed(inv *model.Invocation) {
	if c.interceptor == nil || len(inv.Attempts) == 0 || c.interceptor.FaultSince(inv.Gateway, "", inv.SentAt) {
		return
	}
	c.Oracle.ConnectionDropped(inv)
}

// acquireConn returns an idle connection to an api gateway or dials a new one.
func (c *Clients) acquireConn(gateway int, deadline time.Time, fresh bool) (*clientConn, error) {
	if !fresh {
		if kept := c.popIdle(gateway); kept != nil {
			return kept, nil
		}
	}
	tcp, err := (&net.Dialer{Deadline: deadline}).Dial("tcp", c.addresses[gateway])
	if err != nil {
		return nil, err
	}
	return &clientConn{tcp: tcp}, nil
}

func (c *Clients) popIdle(gateway int) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle[gateway] {
		delete(c.idle[gateway], conn)
		return conn
	}
	return nil
}

// releaseConn returns a connection to the idle set. It closes the connection instead if closing is set or the set is full.
func (c *Clients) releaseConn(gateway int, conn *clientConn, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.reused = true
	if closing || len(c.idle[gateway]) >= maxIdleConns {
		conn.tcp.Close()
		return
	}
	c.idle[gateway][conn] = struct{}{}
}

// handleAnswer reports the outcome of an invocation to the oracle and the workload.
func (c *Clients) handleAnswer(inv *model.Invocation, got answer, err error) {
	outcome := outcomeOf(got.status, err)
	if c.interceptor != nil {
		c.Trace(inv.Gateway, inv.Ref, "outcome at the client: "+model.OutcomeNames[outcome])
		outcome = c.adjustForFaults(inv, outcome)
	}
	hadRoom := false
	if c.reportToOracle {
		hadRoom = c.reportAnswer(inv, outcome, got.body)
	}
	if c.onEnd != nil {
		c.onEnd(inv)
	}
	c.Workload.HandleOutcome(inv, outcome, got.retryAfter, hadRoom)
	if c.interceptor != nil && !isUnanswered(outcome) && outcome != model.Unreachable {
		c.interceptor.EventSeen("answered", inv.Gateway%len(c.addresses))
	}
}

// outcomeOf maps a status code or an error to the outcome that the client sees.
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

// isUnanswered reports whether the client received no response.
func isUnanswered(outcome model.Outcome) bool {
	return outcome == model.Unanswered || outcome == model.Broken
}

// adjustForFaults adjusts an outcome for the faults in force, during which an api gateway need not answer.
func (c *Clients) adjustForFaults(inv *model.Invocation, outcome model.Outcome) model.Outcome {
	faulty := c.interceptor.FaultSince(inv.Gateway, "", inv.SentAt)
	switch {
	case outcome == model.Broken && c.interceptor.UnreachableSince(inv.Gateway, inv.SentAt): // the proxy accepts connections, but no api gateway listens behind it
		return model.Unreachable
	case isUnanswered(outcome) && faulty:
		return model.Broken
	case outcome == model.Broken:
		c.Oracle.ConnectionDropped(inv)
	}
	return outcome
}

// reportAnswer reports a response to the oracle. It returns whether the invocation was throttled although the
// quota had room.
func (c *Clients) reportAnswer(inv *model.Invocation, outcome model.Outcome, body string) bool {
	if outcome == model.Served && !strings.HasPrefix(body, inv.Ref+" ") {
		c.Oracle.ForeignContent(inv.Ref, fmt.Sprintf("%s was served with %.40q", inv.Ref, body))
	}
	if outcome == model.Unreachable || outcome == model.Broken { // its api gateway was killed or exited during the request
		inv.Outcome = outcome
		return false
	}
	return c.InvocationAnswered(inv, outcome)
}
