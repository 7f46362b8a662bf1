package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const keepFor = 60 * time.Second // keep_s of the route

// Kept is a turn that was answered whole, with its whole chain.
type Kept struct {
	ID       string
	Program  string
	Session  string
	Text     string // inputs and outputs from the oldest turn on
	AnswerAt time.Time
}

// Breach is an observation that breaks a rule.
type Breach struct {
	Rule string
	What string
}

// Judge collects what clients and hosts saw.
type Judge struct {
	record *Record
	runs   *Runs

	mu       sync.Mutex
	breaches []Breach
	kept     []Kept
	refused  map[string]int // status of tries that promise that the turn has not run
	prompts  map[string]string
}

// NewJudge returns a judge without observations.
func NewJudge(record *Record, runs *Runs) *Judge {
	return &Judge{record: record, runs: runs, refused: map[string]int{}, prompts: map[string]string{}}
}

func (j *Judge) breach(rule, format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := fmt.Sprintf(format, values...)
	j.breaches = append(j.breaches, Breach{rule, text})
	j.record.Event("BREACH of %s: %s", rule, text)
}

// Breaches returns all breaches so far, with those that show only at the end.
func (j *Judge) Breaches() []Breach {
	j.mu.Lock()
	refused, prompts := j.refused, j.prompts
	j.mu.Unlock()
	for id, status := range refused {
		if runs := j.runs.Of(id); len(runs) > 0 {
			j.breach("REFUSED", "turn %s was answered %d and has run at %s", id, status, runs[0].Host)
		}
	}
	for id, prompt := range prompts {
		runs := j.runs.Of(id)
		if len(runs) > 1 {
			j.breach("TWICE", "turn %s ran %d times", id, len(runs))
		}
		for _, run := range runs {
			if run.Body != prompt {
				j.breach("UNASKED", "turn %s ran with the body %q instead of %q", id, shorten(run.Body), shorten(prompt))
			}
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Breach(nil), j.breaches...)
}

// Kept returns the turns that were answered whole.
func (j *Judge) Kept() []Kept {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Kept(nil), j.kept...)
}

// Observe judges one try of a turn that goes on from earlier (the zero value for none).
func (j *Judge) Observe(turn Turn, earlier Kept, answer Answer) (kept Kept, served bool) {
	prompt := earlier.Text + turn.Input
	j.mu.Lock()
	j.prompts[answer.ID] = prompt
	switch answer.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusPaymentRequired:
		j.refused[answer.ID] = answer.Status
	}
	j.mu.Unlock()
	if answer.Status == http.StatusNotFound || answer.Status == http.StatusGone {
		if turn.Previous != "" && answer.EndAt.Sub(earlier.AnswerAt) < keepFor {
			j.breach("LOST", "turn %s got %d; its Previous %s was answered whole %.1f s before", answer.ID, answer.Status, turn.Previous, answer.EndAt.Sub(earlier.AnswerAt).Seconds())
		}
	}
	if !answer.served() {
		return Kept{}, false
	}
	kept = Kept{ID: answer.ID, Program: turn.Program, Session: turn.Session, Text: prompt + answer.Output, AnswerAt: answer.EndAt}
	j.mu.Lock()
	j.kept = append(j.kept, kept)
	j.mu.Unlock()
	return kept, true
}

// Client sends turns to the fronts as PROTOCOL.md lets clients do.
type Client struct {
	cluster *Cluster
	judge   *Judge
}

// Try sends a turn that goes on from an earlier one until it is served, at most tries times or until the deadline.
func (c Client) Try(program, session string, earlier Kept, input string, tries int, until time.Time) (Kept, bool) {
	turn := Turn{Program: program, Session: session, Previous: earlier.ID, Input: input, Budget: 100000, Most: 9, Deadline: 3 * time.Second}
	fronts := c.cluster.Fronts()
	for range tries {
		answer := turn.Send(fronts[rand.IntN(len(fronts))], c.cluster.record)
		if kept, served := c.judge.Observe(turn, earlier, answer); served {
			return kept, true
		}
		wait := 100*time.Millisecond + rand.N(300*time.Millisecond)
		if answer.Retry > 0 {
			wait = max(wait, min(answer.Retry, time.Second))
		}
		if time.Now().Add(wait).After(until) {
			return Kept{}, false
		}
		time.Sleep(wait)
	}
	return Kept{}, false
}
