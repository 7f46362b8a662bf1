package timeline

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Timeline contains the recovery steps that one process has reached. It is safe for concurrent use.
type Timeline struct {
	log     *logrus.Entry
	now     func() time.Time
	started time.Time

	mu      sync.Mutex
	reached [lastStep + 1]time.Duration // time from the start to each step; 0 if the step is not yet reached
}

// New returns the timeline of a process that starts now.
func New(log *logrus.Entry) *Timeline { return newAt(log, time.Now) }

func newAt(log *logrus.Entry, now func() time.Time) *Timeline {
	t := &Timeline{log: log, now: now, started: now()}
	t.Reach(ProcessUp)
	return t
}

// Reach records that a step has been reached. Further calls for the same step have no effect.
func (t *Timeline) Reach(step Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reached[step] != 0 {
		return
	}
	t.reached[step] = max(t.now().Sub(t.started), 1) // 0 would mean that the step is not reached
	t.log.WithField("step", step.String()).WithField("after_ms", t.reached[step].Milliseconds()).Info("recovery")
}

// Reached returns the time from the start to a step, or false if the step is not yet reached.
func (t *Timeline) Reached(step Step) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reached[step], t.reached[step] != 0
}
