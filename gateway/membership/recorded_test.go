package membership

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func newRecordedDetector(self, members int, seed uint64) *Detector {
	return New(Config{Self: self, Members: members, MessageRate: 60, Part: 0.5, Seed: seed})
}

// recordedMessages plays five gateways for some seconds, one of which falls silent and comes back under a new life, and gives
// a line for each message: when and by whom it was sent, to whom, and its text.
func recordedMessages() string {
	const n, silent = 5, 3
	var detectors []*Detector
	for i := range n {
		detectors = append(detectors, newRecordedDetector(i, n, uint64(40+i)))
	}
	var lines strings.Builder
	for step := range 1200 {
		now := 100 + float64(step)*0.02
		if step == 700 {
			detectors[silent] = newRecordedDetector(silent, n, 99)
		}
		hears := func(k int) bool { return k != silent || step < 250 || step >= 700 }
		for from, d := range detectors {
			if !hears(from) {
				continue
			}
			for _, message := range d.Tick(now) {
				fmt.Fprintf(&lines, "%.2f %d %d %s\n", now, from, message.To, message.Text)
				deliverRecorded(detectors, now, from, message, hears)
			}
		}
	}
	return lines.String()
}

func deliverRecorded(detectors []*Detector, now float64, from int, message Message, hears func(k int) bool) {
	for to, d := range detectors {
		meant := message.To == to || message.To == Broadcast
		if to != from && meant && hears(to) {
			d.Receive(now, from, message.Text)
		}
	}
}

// Gateways of different builds believe the same of each other: their messages are those of the code of commit 1895881.
func TestMessagesAreTheRecordedBytes(t *testing.T) {
	want, err := os.ReadFile(filepath.Join("testdata/recorded", "letters.bin"))
	if err != nil {
		t.Fatal(err)
	}
	got := recordedMessages()
	for _, kind := range []string{" !a", " !b", " !c", " !n"} {
		if !strings.Contains(got, kind) {
			t.Errorf("no message of kind %q was sent", kind)
		}
	}
	if got == string(want) {
		return
	}
	lines, recorded := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range min(len(lines), len(recorded)) {
		if lines[i] != recorded[i] {
			t.Fatalf("message %d is\n%s\nrecorded is\n%s", i, lines[i], recorded[i])
		}
	}
	t.Fatalf("%d messages, %d are recorded", len(lines), len(recorded))
}

// One message of each kind, written by hand from the form that the code of commit 1895881 had.
func TestRecordedMessagesAreRead(t *testing.T) {
	d := newRecordedDetector(2, 4, 1)
	for i, a := range []incarnation{0, 401, 1002, 77} {
		d.members[i].incarnation = a
	}
	d.heartbeats.windowStart = 3
	entries := []entry{{3, 77}, {1, 401}, {2, 1002}}
	for _, x := range []struct {
		got, want string
		read      packet
	}{
		{d.heartbeatText(kindPing), "!aACAAAPqADAAABNAAAAAAAAGRAAAPq", packet{'a', 2, 1002, entries}},
		{d.heartbeatText(kindHeartbeat), "!bACAAAPqADAAABNAAAAAAAAGRAAAPq", packet{'b', 2, 1002, entries}},
		{d.heartbeatText(kindAck), "!cACAAAPqADAAABNAAAAAAAAGRAAAPq", packet{'c', 2, 1002, entries}},
		{d.newsText([]int{1, 3}), "!nACAAAPqABAAAGRADAAABN", packet{'n', 2, 1002, []entry{{1, 401}, {3, 77}}}},
		{d.entryText(entry{1, incarnations - 1}), "!nACAAAPqAB_____", packet{'n', 2, 1002, []entry{{1, incarnations - 1}}}},
	} {
		if x.got != x.want {
			t.Errorf("written is %s, recorded is %s", x.got, x.want)
		}
		back, err := parsePacket(x.want, 4)
		if err != nil || !reflect.DeepEqual(back, x.read) {
			t.Errorf("%s is read as %+v (%v), wanted is %+v", x.want, back, err, x.read)
		}
	}
}
