package sockets

import (
	"fmt"
	"net"

	"otterseam/gateway/http1"
	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
)

const (
	// externalInvocationTTL is the time after its deadline for which an invocation of an external client is kept, in seconds.
	externalInvocationTTL = 10
	// concurrencyMargin is the tolerance for the end of an attempt to be observed after the next attempt has arrived, in seconds.
	concurrencyMargin = 0.05
)

// hostConn is a connection of an api gateway to a host's stand-in.
type hostConn struct {
	*StandIns
	host        *hostmodel.Host
	gateway     int
	conn        *conn
	incarnation int            // of the host when the connection was accepted
	attempt     *model.Attempt // the latest one on this connection
	job         *hostmodel.Job // job of the attempt; nil: none yet
}

// serveHost serves the attempts on a connection of an api gateway to a host.
func (s *StandIns) serveHost(host *hostmodel.Host, gateway int, tcp net.Conn) {
	c := &hostConn{StandIns: s, host: host, gateway: gateway, conn: s.wrapConn(tcp)}
	accepted := make(chan bool, 1)
	s.loop.Do(func() { accepted <- c.open() })
	select {
	case ok := <-accepted:
		if !ok {
			c.conn.end(true)
			return
		}
	case <-s.loop.ended:
		c.conn.end(false)
		return
	}
	fresh := true
	readRequests(tcp, func(m *http1.Message) {
		first := fresh
		fresh = false
		ref := field(m, "req-id")
		call, complete := http1.ParseInvocation(m) // m is valid only until this function returns
		s.loop.Do(func() { c.startAttempt(ref, call, complete, first) })
	})
	s.loop.Do(c.close)
}

// open reports whether the host accepts the connection. A silent host accepts it but never responds.
func (c *hostConn) open() bool {
	c.incarnation = c.host.Incarnation
	ok := c.host.IsSilent() || c.host.OpenConnection()
	c.ConnectionDialled()
	return ok
}

// startAttempt starts an attempt that was received. first reports whether it is the first one on the connection.
func (c *hostConn) startAttempt(ref string, call http1.Invocation, complete, first bool) {
	inv := c.findInvocation(ref, call, complete)
	if inv == nil {
		c.conn.write([]byte(notFound))
		return
	}
	c.attempt = &model.Attempt{Invocation: inv, Number: len(inv.Attempts), Host: c.host.Number, SentAt: c.Queue.Now(), Written: true}
	inv.Gateway = c.gateway
	inv.Attempts = append(inv.Attempts, c.attempt)
	c.job = c.submit(c.attempt, first)
}

// close cleans up after the api gateway or the stand-in has closed the connection. An unfinished attempt is cancelled.
func (c *hostConn) close() {
	c.conn.end(false)
	if c.incarnation == c.host.Incarnation && !c.host.IsSilent() {
		c.host.Connections--
	}
	if c.attempt == nil || c.attempt.Ended {
		return
	}
	c.attempt.Ended = true
	if c.job != nil {
		c.host.Cancel(c.job)
	}
	c.AttemptReleased(c.attempt)
}

// submit schedules the delivery of an attempt to the host after the delay of the model's network. A partition or a silent host drops it.
func (c *hostConn) submit(attempt *model.Attempt, first bool) *hostmodel.Job {
	network := c.Network()
	zone := c.zone(c.gateway)
	request := attempt.Invocation.Request
	wasPending := attempt.Invocation.Outcome == model.Pending
	job := &hostmodel.Job{Operation: request.Operation.Number, Work: request.Work, Gateway: c.gateway}
	job.OnStart = func() {
		c.interceptor.EventSeen("ran", c.gateway)
		c.AttemptStarted(attempt)
	}
	if first {
		job.Work += c.host.ConnectWork
	}
	reset, resetBefore := network.DrawReset()
	job.OnAnswer = func(answer hostmodel.Answer) { c.answer(attempt, answer, reset) }
	if network.Partitioned(zone, c.host.Zone) || c.host.IsSilent() {
		c.CountAttempt()
		return job
	}
	c.Queue.ScheduleAfter(network.Delay(zone, c.host.Zone), func() {
		if c.incarnation != c.host.Incarnation || reset && resetBefore {
			attempt.Ended = true
			c.conn.end(true)
			return
		}
		c.deliver(attempt, job, wasPending)
	})
	return job
}

// deliver delivers an attempt to the oracle and the host. wasPending reports whether its invocation had no outcome when the attempt was
// received.
func (c *hostConn) deliver(attempt *model.Attempt, job *hostmodel.Job, wasPending bool) {
	inv := attempt.Invocation
	c.interceptor.EventSeen("delivery", c.gateway)
	// The send time of an attempt that a fault delayed is unknown, so its arrival time must not be judged. The same holds for an attempt
	// whose invocation got its final response during the delivery, because the api gateway had cancelled it by then.
	if c.interceptor.FaultSince(c.gateway, hostName(c.host), inv.SentAt) || wasPending && inv.Outcome != model.Pending {
		c.AttemptSentLate(attempt)
	} else {
		c.AttemptSent(attempt)
		c.checkConcurrency(attempt)
	}
	c.AttemptReached(attempt)
	c.host.Submit(job)
	if attempt.Ended {
		c.host.Cancel(job)
		c.AttemptReleased(attempt)
	}
}

// checkConcurrency reports concurrent attempts of an invocation to the oracle if an earlier attempt is still in progress after
// concurrencyMargin. The check is delayed because the close of the earlier connection may be observed after the next attempt has arrived.
func (c *hostConn) checkConcurrency(attempt *model.Attempt) {
	for _, earlier := range attempt.Invocation.Attempts {
		if earlier == attempt || earlier.Ended {
			continue
		}
		c.Queue.ScheduleAfter(concurrencyMargin, func() {
			if !earlier.Ended { // an attempt that ended before the next one was sent has Ended set by now
				c.Oracle.ConcurrentAttempts(attempt.Invocation)
			}
		})
	}
}

// answer sends the host's answer after the delay of the model's network. reset reports whether the network resets the connection instead.
func (c *hostConn) answer(attempt *model.Attempt, answer hostmodel.Answer, reset bool) {
	if attempt.Ended {
		return
	}
	network := c.Network()
	zone := c.zone(c.gateway)
	c.interceptor.EventSeen("answering", c.gateway)
	c.Trace(c.gateway, attempt.Invocation.Ref, fmt.Sprintf("host %d completes attempt %d: %s", c.host.Number, attempt.Number, answer))
	attempt.ProvenNotRun = answer == hostmodel.Rejected
	if answer == hostmodel.Succeeded && network.DrawLostAnswer() || network.Partitioned(zone, c.host.Zone) {
		return
	}
	c.Queue.ScheduleAfter(network.Delay(c.host.Zone, zone), func() {
		if attempt.Ended {
			return
		}
		attempt.Ended = true
		c.AttemptReleased(attempt)
		if reset || answer == hostmodel.Reset {
			c.conn.end(true)
			return
		}
		c.conn.write(hostResponse(answer, attempt.Invocation.Ref, c.host.Number))
	})
}

// hostResponse returns the HTTP response for a host's answer.
func hostResponse(answer hostmodel.Answer, ref string, host int) []byte {
	switch answer {
	case hostmodel.Rejected:
		return []byte("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
	case hostmodel.Failed:
		return []byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case hostmodel.Corrupted:
		return []byte("HTTP/1.1 2\x00\x01 noise that is no answer\r\n\r\n")
	}
	body := fmt.Sprintf("%s by host %d\n", ref, host)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// findInvocation returns the invocation for a ref. A ref that no client of this process has sent is passed to onUnknownRef if that is set.
// Otherwise an invocation is created from the fields of the request. The result is nil if onUnknownRef was called or the request is invalid.
func (s *StandIns) findInvocation(ref string, call http1.Invocation, complete bool) *model.Invocation {
	if inv := s.invocations[ref]; inv != nil {
		return inv
	}
	if s.onUnknownRef != nil {
		s.onUnknownRef(ref)
		return nil
	}
	if !complete {
		return nil
	}
	if inv := s.external[ref]; inv != nil {
		return inv
	}
	request := s.externalRequest(call)
	if request == nil {
		return nil
	}
	inv := &model.Invocation{Ref: ref, Request: request, GiveUpAt: request.Deadline, Accepted: true}
	s.external[ref] = inv
	s.Queue.ScheduleAfter(call.Timeout+externalInvocationTTL, func() { delete(s.external, ref) })
	return inv
}

// externalRequest creates the request of an external client. It returns nil if the scenario doesn't define the operation or the plan.
func (s *StandIns) externalRequest(call http1.Invocation) *model.Request {
	customer := s.externalCustomer(call)
	now := s.Queue.Now()
	for i := range s.Day.Operations {
		operation := &s.Day.Operations[i]
		if operation.Name != call.Operation || customer == nil {
			continue
		}
		return &model.Request{
			Units:       call.Units,
			ActualUnits: call.Units,
			CreatedAt:   now,
			Deadline:    now + call.Timeout,
			Operation:   model.Operation{Operation: operation, Number: i},
			Work:        operation.Work.Float(),
			Customer:    customer,
		}
	}
	return nil
}

// externalCustomer returns the customer of a call and creates it at the first call. It returns nil if the scenario doesn't define the plan.
func (s *StandIns) externalCustomer(call http1.Invocation) *model.Customer {
	if customer := s.customers[call.Customer]; customer != nil {
		return customer
	}
	for i := range s.Day.Plans {
		plan := &s.Day.Plans[i]
		if plan.Name == call.Plan {
			customer := &model.Customer{Key: call.Customer, Plan: plan, PlanNumber: i}
			s.customers[call.Customer] = customer
			return customer
		}
	}
	return nil
}
