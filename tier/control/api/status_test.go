package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
)

// An operator does not repeat a change after a 4xx, so a code that a process returns without a commit must become a 503.
func TestOnlyCommittedResultIsRejection(t *testing.T) {
	committedStatuses := map[codes.Code]int{
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
		want, committed := committedStatuses[row.Code]
		if !committed {
			want = http.StatusServiceUnavailable
		}
		w := httptest.NewRecorder()
		if result, err := state.Settled(state.Result{Code: row.Code}, nil); a.succeeded(w, result, err) {
			w.WriteHeader(http.StatusOK)
		}
		if w.Code != want {
			t.Errorf("%s has status %d, not %d", row.Name, w.Code, want)
		}
	}
	for _, err := range []error{codes.Timeout, codes.NotPrimary, codes.Malformed, codes.ConfigBase} {
		w := httptest.NewRecorder()
		result, err := state.Settled(state.Result{Code: codes.ConfigBase}, err)
		if a.succeeded(w, result, err); w.Code != http.StatusServiceUnavailable {
			t.Errorf("a failed call has status %d", w.Code)
		}
	}
}
