package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	stride            = 3
)

// Run is a request that a host began to work on.
type Run struct {
	ID   string
	Host string
	Path string
	Body string
	At   time.Time
}

// Runs collects the runs of all hosts.
type Runs struct {
	mu   sync.Mutex
	all  []Run
	byID map[string][]Run
}

// NewRuns returns an empty collection.
func NewRuns() *Runs { return &Runs{byID: map[string][]Run{}} }

func (r *Runs) add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run)
	r.byID[run.ID] = append(r.byID[run.ID], run)
}

// Of returns the runs of a request.
func (r *Runs) Of(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.byID[id]...)
}

// Host is a stand-in for a model host or a plain host, as PROTOCOL.md describes them.
type Host struct {
	ID        string
	Service   string
	Engine    bool // answers with a stream of events
	EventWait time.Duration
	controls  func() []string
	runs      *Runs
	record    *Record
	address   string
	server    *http.Server
	stopped   chan struct{}
	once      sync.Once
	seq       atomic.Uint64
	draining  atomic.Bool
	target    string
}

// StartHost starts a host at an address of the cluster's network.
func (c *Cluster) StartHost(h *Host, runs *Runs) error {
	listener, err := net.Listen("tcp", c.network+".1:0")
	if err != nil {
		return err
	}
	h.address = listener.Addr().String()
	h.controls = c.Controls
	h.runs = runs
	h.record = c.record
	h.stopped = make(chan struct{})
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve)}
	go func() { _ = h.server.Serve(listener) }()
	go h.heartbeats()
	c.Hosts = append(c.Hosts, h)
	return nil
}

// Stop ends the host without a word.
func (h *Host) Stop() {
	h.once.Do(func() {
		close(h.stopped)
		_ = h.server.Close()
	})
}

func (h *Host) heartbeats() {
	client := &http.Client{Timeout: time.Second}
	next := 0
	for {
		wait := 50 * time.Millisecond
		controls := h.controls()
		address := controls[next%len(controls)]
		if h.target != "" {
			address = h.target
		}
		if h.beat(client, address) {
			wait = heartbeatInterval
		} else {
			h.target = ""
			next++
		}
		select {
		case <-h.stopped:
			return
		case <-time.After(wait):
		}
	}
}

func (h *Host) beat(client *http.Client, address string) bool {
	state := "ready"
	if h.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": h.Service, "address": h.address, "zone": "zone-a", "version": "v1", "slots": 32, "state": state, "cold_left_ms": 0,
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq_no": h.seq.Add(1),
	})
	response, err := client.Post("http://"+address+"/v1/instances/"+h.ID+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	if response.StatusCode/100 != 2 {
		return false
	}
	var decoded struct {
		Target string `json:"beat_target"`
	}
	if json.Unmarshal(answer, &decoded) == nil && decoded.Target != "" {
		h.target = decoded.Target
	}
	return true
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != h.ID {
		w.Header().Set("X-Instance-Id", h.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err != nil {
		return // the request was not read whole
	}
	h.runs.add(Run{ID: id, Host: h.ID, Path: r.RequestURI, Body: string(body), At: time.Now()})
	h.record.Event("run %s at %s %s body %q", id, h.ID, r.RequestURI, shorten(string(body)))
	w.Header().Set("X-Response-Seal", "seal-"+h.ID+"-"+id)
	if !h.Engine {
		fmt.Fprintf(w, "done %s by %s", id, h.ID)
		return
	}
	_, most, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(most)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= tokens/stride; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(h.EventWait):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", event, id, event)
		w.(http.Flusher).Flush()
	}
}

func shorten(text string) string {
	if len(text) <= 120 {
		return text
	}
	return text[:60] + "..." + text[len(text)-50:]
}
