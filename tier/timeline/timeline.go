// Package timeline notes when a process reaches each step of its recovery, counted from its start, once in its life. It logs each
// step and keeps it as a figure that operators can ask for, so that after an outage it can be told where the time went.
package timeline

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codec"
	"otterseam/tier/rpc"
)

// KindTimeline is the call that asks a process for its timeline.
const KindTimeline rpc.Kind = 90

// Step is a step of recovery.
type Step uint8

// The steps, in the order in which a tier that starts reaches them. Not every role has every step.
const (
	ProcessUp           Step = iota + 1 // the process runs
	DiskRead                            // what its disk holds has been read
	MajorityContacted                   // a majority of the control processes answered
	PrimaryDecided                      // this process was decided to be the primary of control
	PrimaryReady                        // and has committed the entry that opens its epoch
	ViewReceived                        // the first view from a publisher
	ShardLed                            // the first shard that this store leads takes commands
	FirstBeginCommitted                 // the first begin of a turn was answered
	FirstRequestSent                    // the first request was sent to a host

	lastStep = FirstRequestSent
)

var names = [lastStep + 1]string{
	ProcessUp: "process-up", DiskRead: "disk-read", MajorityContacted: "majority-contacted", PrimaryDecided: "primary-decided",
	PrimaryReady: "primary-ready", ViewReceived: "view-received", ShardLed: "shard-led",
	FirstBeginCommitted: "first-begin-committed", FirstRequestSent: "first-request-sent",
}

// String is the step's name in logs.
func (s Step) String() string {
	if s == 0 || s > lastStep {
		return "unknown"
	}
	return names[s]
}

// Timeline is that of one process.
type Timeline struct {
	log     *logrus.Entry
	now     func() time.Time
	started time.Time

	mu      sync.Mutex
	reached [lastStep + 1]time.Duration
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
	t.reached[step] = max(t.now().Sub(t.started), 1)
	t.log.WithField("step", step.String()).WithField("after_ms", t.reached[step].Milliseconds()).Info("recovery")
}

// Reached returns how long after the start a step was reached, or false if it was not yet.
func (t *Timeline) Reached(step Step) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reached[step], t.reached[step] != 0
}

// Encode is the timeline's form on the wire: steps and milliseconds.
func (t *Timeline) Encode() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e codec.Encoder
	for step := ProcessUp; step <= lastStep; step++ {
		if t.reached[step] != 0 {
			e.Uint8(uint8(step))
			e.Int64(t.reached[step].Milliseconds())
		}
	}
	return e.Bytes
}

// Decode reads the steps of a timeline with their milliseconds. Steps that this version doesn't know are left out.
func Decode(data []byte) map[string]int64 {
	d := codec.NewDecoder(data)
	steps := map[string]int64{}
	for {
		step := Step(d.Uint8())
		after := d.Int64()
		if d.Err() != nil {
			return steps
		}
		if step.String() != "unknown" {
			steps[step.String()] = after
		}
	}
}
