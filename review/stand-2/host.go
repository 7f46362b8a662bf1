package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stride            = 3 // tokens in each event
	heartbeatInterval = 1200 * time.Millisecond
)

// execution is a request that a host began to work on.
type execution struct {
	request string
	body    string
	at      time.Time
}

// host is a stand-in host. Hosts of the service "engine" answer with a stream of events, others with a plain body.
type host struct {
	id      string
	service string
	slots   int
	pause   time.Duration // time that each event takes
	// byProgram makes the data of an event depend on the program and not on the request, so that another run can go on with a stream.
	byProgram bool

	tier    *tier
	zone    string
	address string
	server  *http.Server
	cancel  context.CancelFunc

	mu         sync.Mutex
	executions []execution
	slowUntil  time.Time // work takes four times as long until then
	target     string    // where the next heartbeat goes, if control said so
	sequence   int
}

func (h *host) start() error {
	listener, err := net.Listen("tcp", h.tier.network+".1:0")
	if err != nil {
		return err
	}
	h.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve)}
	go func() { _ = h.server.Serve(listener) }()
	go h.beat(ctx)
	h.tier.record.note("host %s (%s) at %s", h.id, h.service, h.address)
	return nil
}

func (h *host) stop() {
	h.cancel()
	_ = h.server.Close()
}

// beat sends heartbeats to one control address until one fails there, then to the next.
func (h *host) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for next := 0; ctx.Err() == nil; {
		address := h.tier.controls()[next%len(h.tier.controls())]
		h.mu.Lock()
		if h.target != "" {
			address = h.target
		}
		h.mu.Unlock()
		pause := heartbeatInterval
		if !h.sendHeartbeat(client, address) {
			h.mu.Lock()
			h.target = ""
			h.mu.Unlock()
			next++
			pause = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (h *host) sendHeartbeat(client *http.Client, control string) bool {
	response, err := client.Post("http://"+control+"/v1/instances/"+h.id+"/heartbeat", "application/json", strings.NewReader(h.heartbeatBody("ready")))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	if response.StatusCode/100 != 2 {
		return false
	}
	if _, rest, found := strings.Cut(string(answer), `"beat_target":"`); found {
		target, _, _ := strings.Cut(rest, `"`)
		h.mu.Lock()
		h.target = target
		h.mu.Unlock()
	}
	return true
}

// slow makes the host work four times as long for a time.
func (h *host) slow(span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slowUntil = time.Now().Add(span)
}

// work waits for the time that a piece of work takes, in slices so that a slowdown counts from its start to its end.
func (h *host) work(span time.Duration) {
	const slice = 20 * time.Millisecond
	for span > 0 {
		step := min(span, slice)
		h.mu.Lock()
		isSlow := time.Now().Before(h.slowUntil)
		h.mu.Unlock()
		if isSlow {
			time.Sleep(4 * step)
		} else {
			time.Sleep(step)
		}
		span -= step
	}
}

func (h *host) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", h.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != h.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.mu.Lock()
	h.executions = append(h.executions, execution{request, string(body), time.Now()})
	h.mu.Unlock()
	h.tier.record.note("run %s at %s: %s %s, %d bytes", request, h.id, r.Method, r.RequestURI, len(body))
	w.Header().Set("X-Response-Seal", "seal."+h.id+"."+request)
	w.Header().Set("X-Server-Load", fmt.Sprintf("1,0,%d", h.slots))
	if h.service != "engine" {
		h.work(h.pause)
		fmt.Fprintf(w, "done %s", request)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, most, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(most)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if h.byProgram {
		request = r.Header.Get("Program")
	}
	for id := first; id <= tokens/stride; id++ {
		h.work(h.pause)
		if r.Context().Err() != nil {
			h.tier.record.note("host %s drops %s at event %d: its connection has closed", h.id, request, id)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, eventData(request, id))
		w.(http.Flusher).Flush()
	}
}

// eventData returns the data of an event of a request.
func eventData(request string, id int) string { return fmt.Sprintf("%s-%d", request, id) }

// find returns the execution of a request, if a host ran it.
func find(hosts []*host, request string) (execution, int) {
	var found execution
	count := 0
	for _, h := range hosts {
		h.mu.Lock()
		for _, each := range h.executions {
			if each.request == request {
				found = each
				count++
			}
		}
		h.mu.Unlock()
	}
	return found, count
}
