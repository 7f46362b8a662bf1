package api

import (
	"encoding/json"
	"net/http"
	"strconv"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
)

const retryAfterHeader = "Retry-After"

// retryElsewhereAfter is the Retry-After, in seconds, of a process without contact with the primary. The delay is short because another
// process may have contact.
const retryElsewhereAfter = "0.3"

// statuses maps each result code with a known outcome to its HTTP status. The status of any other code is 503, for an unknown outcome.
var statuses = map[codes.Code]int{
	codes.OK:            http.StatusOK,
	codes.HostStale:     http.StatusOK,
	codes.ConfigInvalid: http.StatusBadRequest,
	codes.Malformed:     http.StatusBadRequest,
	codes.ConfigBase:    http.StatusPreconditionFailed,
	codes.ConfigNone:    http.StatusNotFound,
	codes.RetireUnknown: http.StatusNotFound,
	codes.RetireTooFew:  http.StatusConflict,
	codes.BodyTooLarge:  http.StatusRequestEntityTooLarge,
}

// statusOf returns the HTTP status of a result code.
func statusOf(code codes.Code) int {
	if status, listed := statuses[code]; listed {
		return status
	}
	return http.StatusServiceUnavailable
}

// problem is the body of an error response.
type problem struct {
	Code  uint16 `json:"code"`
	Error string `json:"error"`
}

func writeProblem(w http.ResponseWriter, code codes.Code, text string) {
	status := statusOf(code)
	if status == http.StatusServiceUnavailable && w.Header().Get(retryAfterHeader) == "" {
		w.Header().Set(retryAfterHeader, retryElsewhereAfter)
	}
	writeJSON(w, status, problem{Code: uint16(code), Error: text})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
	}
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that has disconnected needs no response
}

// succeeded reports whether a command was executed. Otherwise it writes an error response. If the command could not be committed, the
// Retry-After header says when the primary is expected to commit again.
func (a *API) succeeded(w http.ResponseWriter, result state.Result, err error) bool {
	a.commits.record(err == nil)
	if err != nil {
		w.Header().Set(retryAfterHeader, a.commits.retryAfter())
		writeProblem(w, codes.Unavailable, err.Error())
		return false
	}
	if statusOf(result.Code) != http.StatusOK {
		writeProblem(w, result.Code, result.Code.Error())
		return false
	}
	return true
}
