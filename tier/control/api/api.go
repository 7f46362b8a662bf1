package api

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/httpguard"
	"otterseam/tier/limits"
	"otterseam/tier/memorybudget"
)

const (
	maxConfigBytes = 32 << 20
	maxBodyBytes   = 64 << 10 // limit for a heartbeat or a retirement
	// callTimeout is the time limit of a call to the backend. It is below the second after which clients try another process.
	callTimeout = 950 * time.Millisecond
	// shutdownTimeout is the maximum time to wait for requests in flight at shutdown. It is above callTimeout.
	shutdownTimeout = time.Second

	maxHeadBytes      = 16 << 10
	readHeaderTimeout = 5 * time.Second
	bodyTimeout       = 10 * time.Second
	idleTimeout       = time.Minute

	// configCopies is how many copies of a configuration are in memory while it is checked and proposed.
	configCopies = 2
)

// Backend executes the requests that the handlers have validated.
type Backend interface {
	// MayForward returns an error unless this process can expect a response of the current primary.
	MayForward() error
	// MayServe reports whether this process may serve its replica of the state and acknowledge heartbeats of hosts.
	MayServe() bool
	// Submit executes a command on the primary, whichever process it is.
	Submit(ctx context.Context, command state.Command) (state.Result, error)
	// KeepsSession reports whether this process may acknowledge a heartbeat without proposing a command.
	KeepsSession(heartbeat controlclient.HostHeartbeat) bool
	// HeartbeatTarget returns the IP address of the control process to which the host whose heartbeat is being acknowledged is to
	// send the next one, or "" for this process.
	HeartbeatTarget() string
	// RejectHeartbeat counts a heartbeat that is rejected because this process has no lease.
	RejectHeartbeat()
	// Heartbeat processes a host's heartbeat on the primary.
	Heartbeat(ctx context.Context, heartbeat controlclient.HostHeartbeat) (state.Result, error)
	// Deregister permanently removes a host on the primary.
	Deregister(ctx context.Context, id string) (state.Result, error)
	// RetirementState returns the state of a store machine's retirement from the primary.
	RetirementState(ctx context.Context, node string) (state.Result, error)
}

// Config holds the settings of the API.
type Config struct {
	// Address is the address on which this process listens for operators and hosts.
	Address string
	// StoresNeeded is the number of store machines that must remain when one is retired.
	StoresNeeded uint32
	// Limits are the limits of this process.
	Limits limits.Limits
}

// API handles the HTTP requests of operators and hosts.
type API struct {
	config  Config
	backend Backend
	commits *commitOutages

	targetSelf []byte // response to a heartbeat that names this process as the next target
	targetAny  []byte // response to a heartbeat that names no target
}

// New returns the API of a process.
func New(config Config, backend Backend) *API {
	return &API{
		config:     config,
		backend:    backend,
		commits:    newCommitOutages(time.Now),
		targetSelf: targetBody(config.Address),
		targetAny:  []byte(`{}`),
	}
}

// targetBody returns the response to a heartbeat that names the target address of the next one.
func targetBody(address string) []byte { return []byte(`{"beat_target":"` + address + `"}`) }

// Serve serves requests until the context is cancelled.
func (a *API) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.config.Address)
	if err != nil {
		return oops.Wrapf(err, "listen.control")
	}
	guard := newGuard(a.config.Limits)
	server := &http.Server{
		Handler: a.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
	guard.Install(server)
	group, serving := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-serving.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx) // requests that take longer are aborted when the process exits
		return nil
	})
	group.Go(func() error {
		if err := server.Serve(guard.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			return oops.Wrapf(err, "listen.control")
		}
		return nil
	})
	return group.Wait()
}

// Handler returns the handler of all routes.
func (a *API) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/config/replace", a.replaceConfig)
	router.Get("/v1/config/read", a.readConfig)
	router.Post("/v1/instances/{id}/heartbeat", a.heartbeat)
	router.Post("/v1/instances/{id}/deregister", a.deregister)
	router.Post("/v1/retire/{node}/begin", a.beginRetirement)
	router.Get("/v1/retire/{node}/read", a.readRetirement)
	return router
}

// mayForward reports whether this process can expect a response of the current primary. Otherwise it writes an error response.
func (a *API) mayForward(w http.ResponseWriter) bool {
	err := a.backend.MayForward()
	if err != nil {
		writeProblem(w, codes.Unavailable, "this process has no contact with the primary in force; call another")
	}
	return err == nil
}

// readBody reads the body of a request within a limit in bytes. copies is the number of copies of it that the handler holds at the same
// time. If that fails, it writes an error response and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit, copies int64) ([]byte, bool) {
	body, err := httpguard.ReadBody(w, r, httpguard.BodyLimits{MaxBytes: limit, Deadline: time.Now().Add(bodyTimeout), Copies: copies})
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeProblem(w, codes.BodyTooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, httpguard.ErrOverloaded):
		w.Header().Set("Connection", "close")
		writeProblem(w, codes.Overloaded, codes.Overloaded.Error())
	default:
		w.Header().Set("Connection", "close")
		writeProblem(w, codes.Malformed, "the body cannot be read whole")
	}
	return nil, false
}

// newGuard returns the guard of the connections of operators and hosts.
func newGuard(l limits.Limits) *httpguard.Guard {
	guard := &httpguard.Guard{Memory: memorybudget.NewBudget(l.ClientBytes()), MaxConnections: l.ClientConnections()}
	guard.SetMaxHeadBytes(maxHeadBytes)
	guard.SetHeadTimeout(readHeaderTimeout)
	guard.Overloaded = httpguard.Response(http.StatusServiceUnavailable, retryElsewhereAfter, nil)
	guard.HeadTooLarge = httpguard.Response(http.StatusRequestHeaderFieldsTooLarge, "", nil)
	return guard
}
