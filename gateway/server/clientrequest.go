package server

import (
	"errors"

	"otterseam/gateway/http1"
)

// classify validates a request. It returns the details of an invocation, or a status with which to respond at once.
func (c *clientConn) classify(request *Buffer, malformed error) (status int, details http1.Invocation) {
	if malformed != nil {
		status = malformedStatus(malformed)
		c.logRejected(status, malformed.Error())
		return status, details
	}
	if string(request.Target) == http1.HealthPath {
		return c.healthStatus(), details
	}
	details, ok := http1.ParseInvocation(&request.Message)
	if !ok || string(request.Method) == "GET" && len(request.Body) > 0 {
		c.logRejected(400, "missing, malformed or duplicate field, or a body that is not allowed")
		return 400, details
	}
	// Values that are not in the settings count as malformed: if they were counted or sent on, they would become
	// load of one customer.
	limit, ok := c.listener.operationLimit(details.Operation, string(request.Method), details.Plan, details.Units, details.GatewayCount, details.FirstGateway)
	if !ok {
		c.logRejected(400, "operation, method, plan, units or gateway set not allowed by the settings")
		return 400, details
	}
	if limit > 0 {
		details.Timeout = min(details.Timeout, limit)
	}
	return 0, details
}

func malformedStatus(malformed error) int {
	switch {
	case errors.Is(malformed, errNoBuffer):
		return 503
	case errors.Is(malformed, http1.ErrHeadTooLong):
		return 431
	case errors.Is(malformed, http1.ErrBodyTooLong):
		return 413
	}
	return 400
}

func (c *clientConn) healthStatus() int {
	if c.listener.ready() && !c.listener.shuttingDown.Load() {
		return 200
	}
	return 503
}

func (c *clientConn) logRejected(status int, reason string) {
	c.listener.loop.protocolErrorLog.Warn().Stringer("client", c.tcp.RemoteAddr()).Int("status", status).Str("why", reason).Msg("request refused")
}
