package tierhost

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	// engineService is the service whose hosts stream; the others answer plainly.
	engineService = "engine"
	// defaultTokens are generated where a request to an engine doesn't say how many.
	defaultTokens = "0,30"
	// stride is how many tokens an event carries.
	stride = 3
)

// serve answers one request as the header fields and the faults of the host say.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a request that breaks off is executed with what has come
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != h.ID {
		w.Header().Set("X-Instance-Id", h.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	met, executed := h.execute(Execution{
		RequestID:   r.Header.Get("X-Request-Id"),
		Path:        r.RequestURI,
		Body:        string(body),
		LastEventID: r.Header.Get("Last-Event-Id"),
	})
	if !executed {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if met.dropNext || met.dropResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "seal-"+h.ID)
	if tokens := h.tokenRange(r); tokens != "" {
		stream(w, r, tokens, met.breakAfter)
		return
	}
	fmt.Fprintf(w, "done by %s", h.Service)
}

// execute records a request and gives the faults that it meets; executed is false if the host rejects it.
func (h *Host) execute(request Execution) (met faults, executed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.reject {
		return faults{}, false
	}
	h.executions = append(h.executions, request)
	return h.faults.takeForRequest(), true
}

// tokenRange is the fewest and most tokens to generate, as "10,30"; empty if the request gets a plain answer.
func (h *Host) tokenRange(r *http.Request) string {
	tokens := r.Header.Get("X-Token-Count")
	if tokens == "" && h.Service == engineService {
		return defaultTokens
	}
	return tokens
}

// stream sends as many events as the request may generate, from the one after Last-Event-Id on.
func stream(w http.ResponseWriter, r *http.Request, tokenRange string, breakAfter int) {
	_, most, _ := strings.Cut(tokenRange, ",")
	tokens, _ := strconv.Atoi(most) // no number is no token
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	for id := first; id <= tokens/stride; id++ {
		if breakAfter > 0 && id-first >= breakAfter {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", id, id)
		flusher.Flush()
	}
}
