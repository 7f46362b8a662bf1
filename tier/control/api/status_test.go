package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
)

// An operator's call ends on a 4xx. Whatever code a process gives without a commit, the operator sees that nothing is known.
func TestOnlyACommitRefuses(t *testing.T) {
	refusals := map[codes.Code]int{
		codes.ConfigInvalid: http.StatusBadRequest,
		codes.ConfigBase:    http.StatusPreconditionFailed,
		codes.ConfigNone:    http.StatusNotFound,
		codes.RetireUnknown: http.StatusNotFound,
		codes.RetireTooFew:  http.StatusConflict,
		codes.HostStale:     http.StatusOK,
		codes.OK:            http.StatusOK,
	}
	a := New(Config{}, &fakeBackend{})
	for _, row := range codes.Table {
		want, isVerdict := refusals[row.Code]
		if !isVerdict {
			want = http.StatusServiceUnavailable
		}
		w := httptest.NewRecorder()
		if result, err := state.Settled(state.Result{Code: row.Code}, nil); a.succeeded(w, result, err) {
			w.WriteHeader(http.StatusOK)
		}
		if w.Code != want {
			t.Errorf("%s is answered with %d, not %d", row.Name, w.Code, want)
		}
	}
	for _, err := range []error{codes.Timeout, codes.NotPrimary, codes.Malformed, codes.ConfigBase} {
		w := httptest.NewRecorder()
		result, err := state.Settled(state.Result{Code: codes.ConfigBase}, err)
		if a.succeeded(w, result, err); w.Code != http.StatusServiceUnavailable {
			t.Errorf("a call that failed is answered with %d", w.Code)
		}
	}
}
