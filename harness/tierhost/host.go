// Package tierhost is a stand-in for hosts behind the serving tier: it announces itself, streams events as an engine does or
// answers as a plain service, and keeps a record of what it ran. Faults are set from outside.
package tierhost

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that a host began to work on.
type Run struct {
	ID          string
	Path        string
	Body        string
	LastEventID string
}

// Host is a stand-in host.
type Host struct {
	ID      string
	Service string
	Address string
	Slots   int

	// Controls returns the control addresses of the tier.
	Controls func() []string

	mu         sync.Mutex
	runs       []Run
	breakAfter int  // events after which one stream is broken off; 0 for never
	mute       bool // one request is read and its connection closed
	muteAll    bool // all requests are
	refuse     bool // requests are answered with X-Not-Executed
	draining   bool
	sequence   uint64
	server     *http.Server
	stop       context.CancelFunc
}

const (
	heartbeatEvery = 300 * time.Millisecond
	heartbeatPause = 20 * time.Millisecond
	heartbeatLimit = time.Second
)

// Start listens and sends heartbeats until Stop.
func (h *Host) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.Address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = h.server.Serve(listener) }()
	go h.beat(ctx)
	return nil
}

// Stop ends the host without notice.
func (h *Host) Stop() {
	h.stop()
	_ = h.server.Close()
}

// Runs is what the host has run so far.
func (h *Host) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}

// BreakNext has the next stream broken off after so many events.
func (h *Host) BreakNext(events int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breakAfter = events
}

// MuteNext has the next request run and its connection closed without an answer.
func (h *Host) MuteNext() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mute = true
}

// Mute has all requests run and their connections closed without an answer, or no longer.
func (h *Host) Mute(mute bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.muteAll = mute
}

// Refuse has all requests turned away.
func (h *Host) Refuse(refuse bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refuse = refuse
}

func (h *Host) beat(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatLimit}
	for position := 0; ctx.Err() == nil; {
		wait := heartbeatPause
		if controls := h.Controls(); len(controls) > 0 {
			if h.announce(client, controls[position%len(controls)]) {
				wait = heartbeatEvery
			} else {
				position++
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (h *Host) announce(client *http.Client, control string) bool {
	h.mu.Lock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": h.Service, "address": h.Address, "zone": "zone-a", "version": "v1", "slots": h.Slots, "state": state,
		"cold_left_ms": 0, "seq_no": h.sequence,
	})
	h.mu.Unlock()
	if err != nil {
		return false
	}
	answer, err := client.Post("http://"+control+"/v1/instances/"+h.ID+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != h.ID {
		w.Header().Set("X-Instance-Id", h.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.mu.Lock()
	if h.refuse {
		h.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.runs = append(h.runs, Run{
		ID: r.Header.Get("X-Request-Id"), Path: r.RequestURI, Body: string(body), LastEventID: r.Header.Get("Last-Event-Id"),
	})
	mute, breakAfter := h.mute || h.muteAll, h.breakAfter
	h.mute, h.breakAfter = false, 0
	h.mu.Unlock()
	if mute {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "seal-"+h.ID)
	count := r.Header.Get("X-Token-Count")
	if count == "" && h.Service == engineService {
		count = defaultTokens
	}
	if count != "" {
		h.stream(w, r, count, breakAfter)
		return
	}
	fmt.Fprintf(w, "done by %s", h.Service)
}

const (
	// engineService is the service whose hosts stream; the others answer plainly.
	engineService = "engine"
	// defaultTokens are generated where a request to an engine doesn't say how many.
	defaultTokens = "0,30"
)

// stride is how many tokens an event carries.
const stride = 3

// stream sends as many events as the request may generate.
func (h *Host) stream(w http.ResponseWriter, r *http.Request, count string, breakAfter int) {
	_, most, _ := strings.Cut(count, ",")
	tokens, _ := strconv.Atoi(most)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := first; id <= tokens/stride; id++ {
		if breakAfter > 0 && id-first >= breakAfter {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", id, id)
		w.(http.Flusher).Flush()
	}
}
