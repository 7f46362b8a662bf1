package tierhost

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// PauseParameter is the query parameter of a request that sets the pause after each event of its stream, in milliseconds.
const PauseParameter = "pause_ms"

// PaddingParameter is the query parameter of a request that sets the number of bytes by which the data of each event of its stream, or its
// plain body, is longer.
const PaddingParameter = "padding_bytes"

const (
	// engineService is the service whose hosts send event streams. Hosts of other services send plain bodies.
	engineService = "engine"
	// defaultTokens is the token range of engine requests without an X-Token-Count field.
	defaultTokens = "0,30"
	// stride is the number of tokens per event.
	stride = 3
)

// serve handles one request according to its header fields and the injected faults.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // an incomplete body is executed as far as it was received
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != h.ID {
		w.Header().Set("X-Instance-Id", h.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	active, executed := h.execute(Execution{
		RequestID:   r.Header.Get("X-Request-Id"),
		Path:        r.RequestURI,
		Body:        string(body),
		LastEventID: r.Header.Get("Last-Event-Id"),
	})
	if active.flood != nil {
		active.flood.send(h, w, r.Header.Get("X-Request-Id"), active.floodPause)
		return
	}
	if !executed {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if active.dropNext || active.dropResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "seal-"+h.ID)
	if tokens := h.tokenRange(r); tokens != "" {
		stream(w, r, tokens, active.breakAfter)
		return
	}
	writePlain(w, r, "done by "+h.Service)
}

// execute records a request and returns the faults that apply to it. executed is false if the host doesn't execute the request.
func (h *Host) execute(request Execution) (active faults, executed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.reject || h.faults.flood != nil && h.faults.flood.NotExecuted {
		return h.faults, false
	}
	h.executions = append(h.executions, request)
	return h.faults.takeForRequest(), true
}

// tokenRange returns the minimum and maximum number of tokens to generate, such as "10,30". It is empty if the response is a plain body.
func (h *Host) tokenRange(r *http.Request) string {
	tokens := r.Header.Get("X-Token-Count")
	if tokens == "" && h.Service == engineService {
		return defaultTokens
	}
	return tokens
}

// stream sends the events for the maximum number of tokens, starting after the event of Last-Event-Id if there is one. The query
// parameter PauseParameter makes it pause after each event, PaddingParameter makes its data longer.
func stream(w http.ResponseWriter, r *http.Request, tokenRange string, breakAfter int) {
	_, maximum, _ := strings.Cut(tokenRange, ",")
	tokens, _ := strconv.Atoi(maximum)                          // 0 if it isn't a number
	pause, _ := strconv.Atoi(r.URL.Query().Get(PauseParameter)) // 0 if it isn't a number
	data := strings.Repeat("p", paddingOf(r))
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
		fmt.Fprintf(w, "id: %d\ndata: e%d%s\n\n", id, id, data)
		flusher.Flush()
		if !sleep(r.Context(), time.Duration(pause)*time.Millisecond) {
			return
		}
	}
}

// writePlain writes a plain body. The query parameter PaddingParameter makes it longer.
func writePlain(w http.ResponseWriter, r *http.Request, text string) {
	missing := paddingOf(r)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+missing))
	_, err := io.WriteString(w, text)
	block := strings.Repeat("p", min(missing, floodWriteBytes))
	for missing > 0 && err == nil {
		n := min(missing, len(block))
		_, err = io.WriteString(w, block[:n])
		missing -= n
	}
}

// paddingOf returns the number of bytes in PaddingParameter, or 0 if there is none.
func paddingOf(r *http.Request) int {
	padding, _ := strconv.Atoi(r.URL.Query().Get(PaddingParameter)) // 0 if it isn't a number
	return max(padding, 0)
}

// sleep waits for a duration. It returns false if the context ends before.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
