package tiersoak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"otterseam/harness/tierhost"
)

// turn is a turn that a client sends.
type turn struct {
	id       string
	program  string
	previous *answered // nil for the first turn of a chain
	input    string
	events   int
	pause    time.Duration // after each event
	sentAt   time.Time
}

// prompt returns the body that a host has to receive.
func (t *turn) prompt() string {
	if t.previous == nil {
		return t.input
	}
	return t.previous.text + t.input
}

// answered is a retained turn that was answered completely.
type answered struct {
	id   string
	text string // inputs and outputs of the whole chain
	at   time.Time
}

// outcome is what a client received for a turn.
type outcome struct {
	status int    // 0 if there was no answer
	body   string // complete only if err is nil
	err    error
}

// history records what clients sent and received. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	lastID   int
	prompts  map[string]string // by request ID of every retained turn that was sent
	complete map[string]bool   // request IDs of turns that were answered completely
	answered []*answered
	counts   Report
}

func newHistory() *history {
	return &history{prompts: map[string]string{}, complete: map[string]bool{}}
}

// begin gives a turn its request ID and records its prompt.
func (h *history) begin(t *turn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastID++
	t.id = fmt.Sprintf("%08x", h.lastID)
	t.sentAt = time.Now()
	h.prompts[t.id] = t.prompt()
}

// end records the outcome of a turn and checks it. It returns the turn if it was answered completely.
func (h *history) end(t *turn, got outcome) *answered {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case got.status == http.StatusOK && got.err == nil:
		return h.recordComplete(t, got.body, now)
	case got.status == http.StatusNotFound && t.previous != nil:
		h.checkUnknown(t, now)
	case got.status >= http.StatusBadRequest && got.status < http.StatusInternalServerError && got.status != http.StatusTooManyRequests:
		h.violate("turn %s of %s: status %d: %s", t.id, t.program, got.status, got.body)
	}
	h.counts.Rejected++
	return nil
}

func (h *history) recordComplete(t *turn, body string, now time.Time) *answered {
	output := outputOf(body)
	if want := expectedOutput(t.events); output != want {
		h.violate("turn %s of %s: complete answer %q, want %q", t.id, t.program, output, want)
	}
	h.complete[t.id] = true
	h.counts.Answered++
	if t.previous != nil {
		h.counts.Continued++
		if now.Sub(t.previous.at) > retention+storeMargin {
			h.counts.Outlived++
		}
	}
	a := &answered{id: t.id, text: t.prompt() + output, at: now}
	h.answered = append(h.answered, a)
	return a
}

// checkUnknown checks that the previous turn's retention period has passed.
func (h *history) checkUnknown(t *turn, now time.Time) {
	h.counts.Expired++
	if age := now.Sub(t.previous.at); age < retention {
		h.violate("turn %s of %s: 404 for %s, answered %.2f s before", t.id, t.program, t.previous.id, age.Seconds())
	}
}

func (h *history) violate(format string, args ...any) {
	h.counts.Violations = append(h.counts.Violations, fmt.Sprintf(format, args...))
}

// other counts a turn of another program.
func (h *history) other() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Others++
}

func (h *history) answeredTurns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts.Answered
}

// recent returns one of the newest answered turns, or nil if there is none. pick returns a number below its argument.
func (h *history) recent(pick func(int) int) *answered {
	const newest = 20
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.answered) == 0 {
		return nil
	}
	return h.answered[len(h.answered)-1-pick(min(newest, len(h.answered)))]
}

func (h *history) report() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts
}

// checkExecutions checks what hosts executed: each turn at most once and with the right prompt, and each answered turn.
func (h *history) checkExecutions(executions []tierhost.Execution) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var violations []string
	times := map[string]int{}
	for _, execution := range executions {
		prompt, retained := h.prompts[execution.RequestID]
		if !retained {
			continue
		}
		times[execution.RequestID]++
		if execution.Body != prompt {
			violations = append(violations, fmt.Sprintf("turn %s: the host received %q, want %q", execution.RequestID, execution.Body, prompt))
		}
	}
	for id := range h.prompts {
		if times[id] > 1 || h.complete[id] && times[id] != 1 {
			violations = append(violations, fmt.Sprintf("turn %s was executed %d times", id, times[id]))
		}
	}
	return violations
}

// outputOf returns the data of each event, each followed by a line feed.
func outputOf(body string) string {
	var output strings.Builder
	for line := range strings.Lines(body) {
		if data, found := strings.CutPrefix(line, "data: "); found {
			output.WriteString(data)
		}
	}
	return output.String()
}

// expectedOutput returns the output of a turn of a stand-in host.
func expectedOutput(events int) string {
	var output strings.Builder
	for id := 1; id <= events; id++ {
		fmt.Fprintf(&output, "e%d\n", id)
	}
	return output.String()
}
