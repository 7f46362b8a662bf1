package server

import (
	"errors"

	"otterseam/gateway/http1"
)

// classify says what a request asks for: the details of an invocation, or a status to answer at once.
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
		c.logRejected(400, "a field is missing, malformed or given twice, or a body where none may be")
		return 400, details
	}
	// What the settings do not know is malformed too: counted or sent, it would be load on one customer's name.
	limit, ok := c.listener.operationLimit(details.Operation, string(request.Method), details.Plan, details.Units, details.GatewayCount, details.FirstGateway)
	if !ok {
		c.logRejected(400, "an operation, method, plan, units or set that the settings do not know")
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
	c.listener.loop.peerErrors.Warn().Stringer("client", c.tcp.RemoteAddr()).Int("status", status).Str("why", reason).Msg("request refused")
}
