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

// A caller whose command can't be committed is told when commits are expected back: less the longer the outage has lasted, and what
// outages last is learned. A process without contact sends its callers to another at once.
func TestRetryAfterFollowsTheOutage(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	backend := &fakeBackend{}
	a := New(Config{Address: "10.0.0.1:7000"}, backend)
	a.commits = newCommitOutages(func() time.Time { return now })
	read := func() float64 {
		w := httptest.NewRecorder()
		a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/config/read", strings.NewReader("")))
		if w.Code == http.StatusOK {
			return 0
		}
		seconds, err := strconv.ParseFloat(w.Header().Get(retryAfterHeader), 64)
		if err != nil || w.Code != http.StatusServiceUnavailable {
			t.Fatalf("%d, %v", w.Code, err)
		}
		return seconds
	}
	outage := func(lasts time.Duration) (first, last float64) {
		backend.err = codes.Timeout
		first = read()
		for range lasts / (100 * time.Millisecond) {
			now = now.Add(100 * time.Millisecond)
			last = read()
		}
		backend.err = nil
		read()
		now = now.Add(time.Minute)
		return first, last
	}
	assumed := assumedOutage.Seconds()
	if first, last := outage(500 * time.Millisecond); first < assumed || first > 1.3*assumed || last > 0.6*first {
		t.Errorf("%v at first, %v after half a second; %v is assumed", first, last, assumed)
	}
	for range 12 {
		outage(200 * time.Millisecond)
	}
	if first, _ := outage(200 * time.Millisecond); first > 0.6*assumed {
		t.Errorf("%v after many short outages", first)
	}
	backend.mayForward = codes.Unavailable
	if got := read(); got != 0.3 {
		t.Errorf("%v from a process without contact", got)
	}
	backend.mayForward = nil
	backend.result = state.Result{Code: codes.Unavailable}
	if got := read(); got != 0.3 {
		t.Errorf("%v for a result that says nothing of commits", got)
	}
}
