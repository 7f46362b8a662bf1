package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/samber/oops"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/opconfig"
	"otterseam/tier/rpc"
)

const (
	maxConfigBytes = 32 << 20
	maxBeatBytes   = 64 << 10
	apiTimeout     = 950 * time.Millisecond
	retryAfter     = "0.3"

	retireRunning   = "running"
	retireCompleted = "completed"
)

// problem is the body of an answer that is not a success.
type problem struct {
	Code  uint16 `json:"code"`
	Error string `json:"error"`
}

func (s *Server) serveHTTP(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.settings.ListenControl)
	if err != nil {
		return oops.Wrapf(err, "listen.control")
	}
	server := &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(stop)
	}()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return oops.Wrapf(err, "listen.control")
	}
	return nil
}

func (s *Server) routes() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/config/replace", s.replaceConfig)
	router.Get("/v1/config/read", s.readConfig)
	router.Post("/v1/instances/{id}/heartbeat", s.heartbeat)
	router.Post("/v1/instances/{id}/deregister", s.deregister)
	router.Post("/v1/retire/{node}/begin", s.beginRetire)
	router.Get("/v1/retire/{node}/read", s.readRetire)
	return router
}

// statusOf is the HTTP status for a result.
func statusOf(code codes.Code) int {
	switch code {
	case codes.OK, codes.HostStale:
		return http.StatusOK
	case codes.ConfigInvalid, codes.Malformed:
		return http.StatusBadRequest
	case codes.ConfigBase:
		return http.StatusPreconditionFailed
	case codes.ConfigNone, codes.RetireUnknown:
		return http.StatusNotFound
	case codes.RetireTooFew:
		return http.StatusConflict
	case codes.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

func writeProblem(w http.ResponseWriter, code codes.Code, text string) {
	status := statusOf(code)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	writeJSON(w, status, problem{Code: uint16(code), Error: text})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// answer writes what became of a command.
func answer(w http.ResponseWriter, result state.Result, err error) bool {
	if err != nil {
		writeProblem(w, codes.Unavailable, err.Error())
		return false
	}
	if statusOf(result.Code) != http.StatusOK {
		writeProblem(w, result.Code, result.Code.Error())
		return false
	}
	return true
}

// mayPassOn tells whether this process can expect an answer of the primary in force, and else says at once that it can't.
func (s *Server) mayPassOn(w http.ResponseWriter) bool {
	err := s.status.MayForward()
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

func (s *Server) replaceConfig(w http.ResponseWriter, r *http.Request) {
	body, read := readBody(w, r, maxConfigBytes)
	if !read {
		return
	}
	base, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get("X-Base-Version")), 10, 64)
	if err != nil {
		writeProblem(w, codes.Malformed, "X-Base-Version is missing or no whole number")
		return
	}
	config, err := opconfig.Parse(body)
	if err != nil {
		writeProblem(w, codes.ConfigInvalid, err.Error())
		return
	}
	if !s.mayPassOn(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), apiTimeout)
	defer cancel()
	command := state.ReplaceConfig{Base: base, Version: config.Version, Body: body}
	result, err := s.submit(ctx, command)
	if answer(w, result, err) {
		writeJSON(w, http.StatusOK, map[string]uint64{"version": config.Version})
	}
}

func (s *Server) readConfig(w http.ResponseWriter, r *http.Request) {
	if !s.mayPassOn(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), apiTimeout)
	defer cancel()
	result, err := s.submit(ctx, state.ReadConfig{})
	if !answer(w, result, err) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(result.Body)))
	_, _ = w.Write(result.Body)
}

func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, read := readBody(w, r, maxBeatBytes)
	if !read {
		return
	}
	var beat opconfig.Heartbeat
	if err := beat.UnmarshalJSON(body); err != nil || beat.Service == "" || beat.Address == "" {
		writeProblem(w, codes.Malformed, "the heartbeat needs service and address")
		return
	}
	host := directory.Host{
		ID: chi.URLParam(r, "id"), Service: beat.Service, Address: beat.Address, Zone: beat.Zone, Version: beat.Version,
		Slots: beat.Slots, Draining: beat.State == opconfig.StateDraining, Stage: beat.Stage, Models: string(beat.Models),
	}
	message := controlclient.HostHeartbeat{Host: host, Seq: beat.SeqNo}
	if s.keepsHost(message) {
		s.writeBeatAnswer(w)
		return
	}
	if !s.mayPassOn(w) {
		s.refusals.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), apiTimeout)
	defer cancel()
	result, err := s.onPrimary(ctx, controlclient.KindHostHeartbeat, message.Encode(), func() (state.Result, error) {
		return s.hostBeat(ctx, message)
	})
	if answer(w, result, err) {
		s.writeBeatAnswer(w)
	}
}

// writeBeatAnswer acknowledges a heartbeat. A process that can keep the session asks the host to stay with it, so that hosts
// spread over the control processes and none has to pass their heartbeats on.
func (s *Server) writeBeatAnswer(w http.ResponseWriter) {
	body := s.beatElsewhere
	if s.status.MayServe() {
		body = s.beatHere
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// onPrimary does something here if this process leads, and else has the primary do it.
func (s *Server) onPrimary(ctx context.Context, kind rpc.Kind, payload []byte, here func() (state.Result, error)) (state.Result, error) {
	if s.host.IsPrimary(state.Group) {
		if result, err := here(); err != codes.NotPrimary {
			return state.Settled(result, err)
		}
	}
	body, err := s.primary.Call(ctx, kind, payload)
	code, isCode := err.(codes.Code)
	if err != nil && (!isCode || code == codes.Timeout) {
		return state.Result{}, codes.Timeout
	}
	return state.Settled(state.Result{Code: code, Body: body}, nil)
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !s.mayPassOn(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), apiTimeout)
	defer cancel()
	result, err := s.onPrimary(ctx, controlclient.KindDeregisterHost, []byte(id), func() (state.Result, error) { return s.hostGone(ctx, id, true) })
	if answer(w, result, err) {
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (s *Server) beginRetire(w http.ResponseWriter, r *http.Request) {
	body, read := readBody(w, r, maxBeatBytes)
	if !read {
		return
	}
	var order struct {
		DeadlineS float64 `json:"deadline_s"`
	}
	if len(body) > 0 && json.Unmarshal(body, &order) != nil {
		writeProblem(w, codes.Malformed, "the body is no JSON object with deadline_s")
		return
	}
	if !s.mayPassOn(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), apiTimeout)
	defer cancel()
	needed := uint32(s.settings.TolerateMachines + 1)
	result, err := s.submit(ctx, state.RetireNode{Node: chi.URLParam(r, "node"), Needed: needed})
	if answer(w, result, err) {
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (s *Server) readRetire(w http.ResponseWriter, r *http.Request) {
	node := chi.URLParam(r, "node")
	if !s.mayPassOn(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), apiTimeout)
	defer cancel()
	result, err := s.onPrimary(ctx, controlclient.KindRetirementState, []byte(node), func() (state.Result, error) {
		return s.retireState(ctx, node)
	})
	if answer(w, result, err) {
		writeJSON(w, http.StatusOK, map[string]string{"state": string(result.Body)})
	}
}
