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

// problem is the body of a response of the proxy's own.
type problem struct {
	Code  uint16 `json:"code"`
	Error string `json:"error"`
}

// failText answers with a status and a problem of the given text.
func (p *Proxy) failText(w http.ResponseWriter, status int, code codes.Code, text string) {
	body, _ := json.Marshal(problem{Code: uint16(code), Error: text})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// fail answers with a status and the problem of a code.
func (p *Proxy) fail(w http.ResponseWriter, status int, code codes.Code) {
	p.failText(w, status, code, code.Error())
}

// reject promises that the request has not run and never will, and says when to retry: when what it needs is expected to be there.
// Left is what remains of the client's time.
func (p *Proxy) reject(w http.ResponseWriter, code codes.Code, left, expected time.Duration) {
	delay := retryafter.Delay(left, expected, rand.Float64())
	w.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
	p.fail(w, http.StatusServiceUnavailable, code)
}

// failCancelled ends a request whose deadline has passed, that the shutdown cancelled, or whose client has disconnected, while a
// host may still be at work on it.
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
