package api

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
)

// The Retry-After of a command that can't be committed is the expected remaining time of the outage. It decreases during the outage, and
// the estimate adapts to the observed durations. A process without contact with the primary returns the short delay after which a client
// tries another process.
func TestRetryAfterFollowsCommitOutages(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	backend := &fakeBackend{}
	a := New(Config{Address: "10.0.0.1:7000"}, backend)
	a.commits = newCommitOutages(func() time.Time { return now })
	retryAfter := func() float64 {
		w := httptest.NewRecorder()
		a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/config/read", strings.NewReader("")))
		if w.Code == http.StatusOK {
			return 0
		}
		seconds, err := strconv.ParseFloat(w.Header().Get(retryAfterHeader), 64)
		if err != nil || w.Code != http.StatusServiceUnavailable {
			t.Fatalf("status %d, %v", w.Code, err)
		}
		return seconds
	}
	outage := func(lasts time.Duration) (first, last float64) {
		backend.err = codes.Timeout
		first = retryAfter()
		for range lasts / (100 * time.Millisecond) {
			now = now.Add(100 * time.Millisecond)
			last = retryAfter()
		}
		backend.err = nil
		retryAfter()
		now = now.Add(time.Minute)
		return first, last
	}
	assumed := assumedOutage.Seconds()
	if first, last := outage(500 * time.Millisecond); first < assumed || first > 1.3*assumed || last > 0.6*first {
		t.Errorf("Retry-After is %v at first and %v after half a second, with an assumed outage of %v", first, last, assumed)
	}
	for range 12 {
		outage(200 * time.Millisecond)
	}
	if first, _ := outage(200 * time.Millisecond); first > 0.6*assumed {
		t.Errorf("Retry-After is %v after many short outages", first)
	}
	backend.mayForward = codes.Unavailable
	if got := retryAfter(); got != 0.3 {
		t.Errorf("Retry-After is %v without contact with the primary", got)
	}
	backend.mayForward = nil
	backend.result = state.Result{Code: codes.Unavailable}
	if got := retryAfter(); got != 0.3 {
		t.Errorf("Retry-After is %v for a result that is independent of commits", got)
	}
}
