package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
)

// fakeBackend returns preset results and records calls.
type fakeBackend struct {
	mayForward error
	mayServe   bool
	keeps      bool
	target     string
	result     state.Result
	err        error

	rejected  int
	submitted []state.Command
}

func (f *fakeBackend) MayForward() error                             { return f.mayForward }
func (f *fakeBackend) MayServe() bool                                { return f.mayServe }
func (f *fakeBackend) KeepsSession(controlclient.HostHeartbeat) bool { return f.keeps }
func (f *fakeBackend) HeartbeatTarget() string                       { return f.target }
func (f *fakeBackend) RejectHeartbeat()                              { f.rejected++ }
func (f *fakeBackend) Deregister(context.Context, string) (state.Result, error) {
	return f.result, f.err
}

func (f *fakeBackend) RetirementState(context.Context, string) (state.Result, error) {
	return f.result, f.err
}

func (f *fakeBackend) Heartbeat(context.Context, controlclient.HostHeartbeat) (state.Result, error) {
	return f.result, f.err
}

func (f *fakeBackend) Submit(_ context.Context, command state.Command) (state.Result, error) {
	f.submitted = append(f.submitted, command)
	return f.result, f.err
}

// sendRequest sends a request to the API of a backend and returns the status and body of the response.
func sendRequest(t *testing.T, backend Backend, method, path, body string, header http.Header) (int, string) {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, values := range header {
		request.Header[name] = values
	}
	w := httptest.NewRecorder()
	New(Config{Address: "10.0.0.1:7000", StoresNeeded: 2}, backend).Handler().ServeHTTP(w, request)
	return w.Code, w.Body.String()
}

const validHeartbeat = `{"service":"s","address":"10.0.1.1:8000"}`

func TestHeartbeatResponseDependsOnLease(t *testing.T) {
	const path = "/v1/instances/h/heartbeat"
	for name, test := range map[string]struct {
		backend  fakeBackend
		body     string
		status   int
		answer   string
		rejected int
	}{
		"session kept here":  {fakeBackend{keeps: true, mayServe: true}, validHeartbeat, http.StatusOK, `{"beat_target":"10.0.0.1:7000"}`, 0},
		"host to be moved":   {fakeBackend{keeps: true, mayServe: true, target: "10.0.0.2"}, validHeartbeat, http.StatusOK, `{"beat_target":"10.0.0.2:7000"}`, 0},
		"no lease to move":   {fakeBackend{keeps: true, target: "10.0.0.2"}, validHeartbeat, http.StatusOK, `{}`, 0},
		"lease just expired": {fakeBackend{keeps: true}, validHeartbeat, http.StatusOK, `{}`, 0},
		"no lease":           {fakeBackend{mayForward: codes.Unavailable}, validHeartbeat, http.StatusServiceUnavailable, "no contact", 1},
		"handled by primary": {fakeBackend{mayServe: true}, validHeartbeat, http.StatusOK, `{"beat_target":"10.0.0.1:7000"}`, 0},
		"stale":              {fakeBackend{result: state.Result{Code: codes.HostStale}}, validHeartbeat, http.StatusOK, `{}`, 0},
		"unknown outcome":    {fakeBackend{err: codes.Timeout}, validHeartbeat, http.StatusServiceUnavailable, codes.Timeout.Error(), 0},
		"missing address":    {fakeBackend{keeps: true}, `{"service":"s"}`, http.StatusBadRequest, "needs service and address", 0},
		"body too large":     {fakeBackend{}, strings.Repeat(" ", maxBodyBytes+1), http.StatusRequestEntityTooLarge, "longer than 65536 bytes", 0},
	} {
		t.Run(name, func(t *testing.T) {
			status, answer := sendRequest(t, &test.backend, http.MethodPost, path, test.body, nil)
			if status != test.status || !strings.Contains(answer, test.answer) || test.backend.rejected != test.rejected {
				t.Errorf("status %d, body %s, %d rejected", status, answer, test.backend.rejected)
			}
		})
	}
}

func TestOnlyValidChangeIsSubmitted(t *testing.T) {
	const valid = `{"version":7,"routes":[{"name":"a","path_prefix":"/","timeout_ms":1,"service":"chat"}],"services":[{"name":"chat"}]}`
	for name, test := range map[string]struct {
		backend   fakeBackend
		base      string
		body      string
		status    int
		submitted int
	}{
		"valid change":       {fakeBackend{}, "6", valid, http.StatusOK, 1},
		"other base version": {fakeBackend{result: state.Result{Code: codes.ConfigBase}}, "6", valid, http.StatusPreconditionFailed, 1},
		"not committed":      {fakeBackend{err: codes.Timeout}, "6", valid, http.StatusServiceUnavailable, 1},
		"no lease":           {fakeBackend{mayForward: codes.Unavailable}, "6", valid, http.StatusServiceUnavailable, 0},
		"missing base":       {fakeBackend{}, "", valid, http.StatusBadRequest, 0},
		"invalid body":       {fakeBackend{}, "6", `{"version":0}`, http.StatusBadRequest, 0},
		"base not a number":  {fakeBackend{}, "six", valid, http.StatusBadRequest, 0},
		"base with spaces":   {fakeBackend{}, " 6 ", valid, http.StatusOK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			header := http.Header{baseVersionHeader: {test.base}}
			status, answer := sendRequest(t, &test.backend, http.MethodPost, "/v1/config/replace", test.body, header)
			if status != test.status || len(test.backend.submitted) != test.submitted {
				t.Fatalf("status %d, body %s, %d submitted", status, answer, len(test.backend.submitted))
			}
			if test.submitted > 0 {
				if change := test.backend.submitted[0].(state.ReplaceConfig); change.Base != 6 || change.Version != 7 || string(change.Body) != test.body {
					t.Errorf("submitted %+v", change)
				}
			}
		})
	}
}

func TestRetirementContainsNeededStores(t *testing.T) {
	backend := &fakeBackend{}
	status, answer := sendRequest(t, backend, http.MethodPost, "/v1/retire/store-a/begin", `{"deadline_s":30}`, nil)
	if status != http.StatusOK || len(backend.submitted) != 1 || backend.submitted[0] != (state.RetireNode{Node: "store-a", Needed: 2}) {
		t.Fatalf("status %d, body %s, submitted %+v", status, answer, backend.submitted)
	}
}
