package timeline

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func TestEachStepIsRecordedOnce(t *testing.T) {
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetFormatter(&logrus.JSONFormatter{})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	line := newAt(logrus.NewEntry(log), func() time.Time { return now })
	for _, after := range []time.Duration{120, 300} {
		now = line.started.Add(after * time.Millisecond)
		line.Reach(ViewReceived)
	}
	if got, reached := line.Reached(ViewReceived); !reached || got != 120*time.Millisecond {
		t.Fatalf("%v, %v", got, reached)
	}
	if _, reached := line.Reached(ShardLed); reached {
		t.Fatal("a step that was never reached is reported as reached")
	}
	if got := strings.Count(lines.String(), "view-received"); got != 1 {
		t.Fatalf("logged %d times", got)
	}
	steps := Decode(append(line.Encode(), 200, 0, 0, 0, 0, 0, 0, 0, 0))
	if len(steps) != 2 || steps["view-received"] != 120 || steps["process-up"] != 0 {
		t.Fatalf("%v", steps)
	}
}

func TestEveryStepHasAName(t *testing.T) {
	for step := ProcessUp; step <= lastStep; step++ {
		if step.String() == "" || step.String() == "unknown" {
			t.Errorf("step %d has no name", step)
		}
	}
}
