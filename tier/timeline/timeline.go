package timeline

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Timeline is that of one process. It may be used concurrently.
type Timeline struct {
	log     *logrus.Entry
	now     func() time.Time
	started time.Time

	mu      sync.Mutex
	reached [lastStep + 1]time.Duration // since the start; 0 for a step not yet reached
}

// New begins the timeline of a process that starts now.
func New(log *logrus.Entry) *Timeline { return newAt(log, time.Now) }

func newAt(log *logrus.Entry, now func() time.Time) *Timeline {
	t := &Timeline{log: log, now: now, started: now()}
	t.Reach(ProcessUp)
	return t
}

// Reach notes that a step has been reached. Only the first time counts.
func (t *Timeline) Reach(step Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reached[step] != 0 {
		return
	}
	t.reached[step] = max(t.now().Sub(t.started), 1) // 0 would say that it was not reached
	t.log.WithField("step", step.String()).WithField("after_ms", t.reached[step].Milliseconds()).Info("recovery")
}

// Reached returns how long after the start a step was reached, or false if it was not yet.
func (t *Timeline) Reached(step Step) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reached[step], t.reached[step] != 0
}
