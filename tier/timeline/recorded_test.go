package timeline

import (
	"maps"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/internal/recorded"
)

func TestRecordedTimeline(t *testing.T) {
	logger, _ := test.NewNullLogger()
	now := time.Unix(1_700_000_000, 0)
	line := newAt(logrus.NewEntry(logger), func() time.Time { return now })
	want := map[string]int64{ProcessUp.String(): 0}
	for step := DiskRead; step <= lastStep; step++ {
		now = now.Add(time.Duration(step) * 37 * time.Millisecond)
		line.Reach(step)
		want[step.String()] = now.Sub(line.started).Milliseconds()
	}
	recorded.Check(t, "timeline", line.Encode())
	if got := Decode(recorded.Read(t, "timeline")); !maps.Equal(got, want) {
		t.Fatalf("read %v, not %v", got, want)
	}
}

// Guards against a changed call number, and against changed step names, which operators read.
func TestRecordedNames(t *testing.T) {
	listed := []byte{byte(KindTimeline)}
	for step := Step(0); step <= lastStep+1; step++ {
		listed = append(listed, ' ')
		listed = append(listed, step.String()...)
	}
	recorded.Check(t, "names", listed)
}
