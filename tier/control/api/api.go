package api

import (
	"context"
	"errors"
	"io"
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
)

const (
	maxConfigBytes = 32 << 20
	maxBodyBytes   = 64 << 10 // of a heartbeat or a retirement
	// callTimeout bounds the work on a request. It is below the second after which callers go to another process.
	callTimeout = 950 * time.Millisecond
	// shutdownTimeout bounds the wait for requests in flight. It is above callTimeout.
	shutdownTimeout = time.Second

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
)

// Backend is what the handlers call.
type Backend interface {
	// MayForward returns an error unless this process can expect an answer of the primary in force.
	MayForward() error
	// MayServe tells whether this process may serve its copy of the state, and keep sessions of hosts.
	MayServe() bool
	// Submit has a command carried out by the primary, wherever it is.
	Submit(ctx context.Context, command state.Command) (state.Result, error)
	// KeepsSession tells whether a heartbeat was acknowledged by this process alone.
	KeepsSession(heartbeat controlclient.HostHeartbeat) bool
	// HeartbeatTarget is the IP address of the control process to which a host whose heartbeat is acknowledged now is to send the
	// next one; "" for this process.
	HeartbeatTarget() string
	// RejectHeartbeat counts a heartbeat that is rejected for want of a lease.
	RejectHeartbeat()
	// Heartbeat has the primary take a host's heartbeat.
	Heartbeat(ctx context.Context, heartbeat controlclient.HostHeartbeat) (state.Result, error)
	// Deregister has the primary remove a host for good.
	Deregister(ctx context.Context, id string) (state.Result, error)
	// RetirementState has the primary tell whether a store machine is still being emptied.
	RetirementState(ctx context.Context, node string) (state.Result, error)
}

// Config is what the handlers answer by.
type Config struct {
	// Address is where this process listens for operators and hosts.
	Address string
	// StoresNeeded is how many store machines have to remain when one is retired.
	StoresNeeded uint32
}

// API answers operators and hosts.
type API struct {
	config  Config
	backend Backend
	commits *commitOutages

	targetSelf []byte // the answer to a heartbeat that asks the host to stay here
	targetAny  []byte // the answer that leaves it the choice
}

// New makes the API of a process.
func New(config Config, backend Backend) *API {
	return &API{
		config:     config,
		backend:    backend,
		commits:    newCommitOutages(time.Now),
		targetSelf: targetBody(config.Address),
		targetAny:  []byte(`{}`),
	}
}

// targetBody is the answer to a heartbeat that names where the next one is to go.
func targetBody(address string) []byte { return []byte(`{"beat_target":"` + address + `"}`) }

// Serve listens and answers until the context ends.
func (a *API) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.config.Address)
	if err != nil {
		return oops.Wrapf(err, "listen.control")
	}
	server := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	group, serving := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-serving.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(stop) // requests that take longer are cut off by the end of the process
		return nil
	})
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return oops.Wrapf(err, "listen.control")
		}
		return nil
	})
	return group.Wait()
}

// Handler routes requests.
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

// mayForward tells whether this process can expect an answer of the primary in force, and else says at once that it can't.
func (a *API) mayForward(w http.ResponseWriter) bool {
	err := a.backend.MayForward()
	if err != nil {
		writeProblem(w, codes.Unavailable, "this process has no contact with the primary in force; call another")
	}
	return err == nil
}

func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeProblem(w, codes.BodyTooLarge, "the body is longer than "+strconv.FormatInt(most, 10)+" bytes")
	} else {
		writeProblem(w, codes.Malformed, "the body cannot be read whole")
	}
	return nil, false
}
