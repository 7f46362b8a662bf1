package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/retryafter"
)

// problem is the body of an error response that the proxy generates.
type problem struct {
	Code  uint16 `json:"code"`
	Error string `json:"error"`
}

// problemBody returns the body of an error response with a code and a text.
func problemBody(code codes.Code, text string) []byte {
	body, _ := json.Marshal(problem{Code: uint16(code), Error: text})
	return body
}

// failText writes an error response with the given status, code and text.
func (p *Proxy) failText(w http.ResponseWriter, status int, code codes.Code, text string) {
	body := problemBody(code, text)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// fail writes an error response with the given status and code, and the text of the code.
func (p *Proxy) fail(w http.ResponseWriter, status int, code codes.Code) {
	p.failText(w, status, code, code.Error())
}

// reject writes a 503 response, which promises that the request has not run and never will. Its Retry-After header is computed from
// remaining, the time until the client's deadline, and expected, the time until the failed dependency is expected to work again.
func (p *Proxy) reject(w http.ResponseWriter, code codes.Code, remaining, expected time.Duration) {
	delay := retryafter.Delay(remaining, expected, rand.Float64())
	w.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
	p.fail(w, http.StatusServiceUnavailable, code)
}

// failCancelled ends a request that a host may still be running, after its deadline has passed, the shutdown has cancelled it or its
// client has disconnected.
func (p *Proxy) failCancelled(ctx context.Context, w http.ResponseWriter) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		p.fail(w, http.StatusGatewayTimeout, codes.DeadlineReached)
	case errors.Is(context.Cause(ctx), errStopping):
		p.fail(w, http.StatusBadGateway, codes.Stopping)
	default:
		panic(http.ErrAbortHandler)
	}
}
