package api

import (
	"encoding/json"
	"net/http"
	"strconv"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
)

const retryAfterHeader = "Retry-After"

// callElsewhereAfter is the Retry-After, in seconds, of a process that has no contact with the primary: another one may have it.
const callElsewhereAfter = "0.3"

// statuses is the HTTP status of each result code that tells something of the call. A code that isn't here is a 503: nothing is known.
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

// statusOf is the HTTP status for a result.
func statusOf(code codes.Code) int {
	if status, listed := statuses[code]; listed {
		return status
	}
	return http.StatusServiceUnavailable
}

// problem is the body of an answer that is not a success.
type problem struct {
	Code  uint16 `json:"code"`
	Error string `json:"error"`
}

func writeProblem(w http.ResponseWriter, code codes.Code, text string) {
	status := statusOf(code)
	if status == http.StatusServiceUnavailable && w.Header().Get(retryAfterHeader) == "" {
		w.Header().Set(retryAfterHeader, callElsewhereAfter)
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
	_, _ = w.Write(body) // a caller that has left needs no answer
}

// succeeded tells whether a command was carried out, and else writes what became of it. A caller whose command could not be committed is
// told when the primary is expected to commit again.
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
