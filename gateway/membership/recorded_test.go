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

// recordedMessages simulates five gateways, one of which stops and later restarts with a new incarnation. It returns a line for
// each message with the time, the sender, the recipient and the text.
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
		isRunning := func(k int) bool { return k != silent || step < 250 || step >= 700 }
		for from, d := range detectors {
			if !isRunning(from) {
				continue
			}
			for _, message := range d.Tick(now) {
				fmt.Fprintf(&lines, "%.2f %d %d %s\n", now, from, message.To, message.Text)
				deliverRecorded(detectors, now, from, message, isRunning)
			}
		}
	}
	return lines.String()
}

func deliverRecorded(detectors []*Detector, now float64, from int, message Message, isRunning func(k int) bool) {
	for to, d := range detectors {
		addressed := message.To == to || message.To == Broadcast
		if to != from && addressed && isRunning(to) {
			d.Receive(now, from, message.Text)
		}
	}
}

// Gateways of different builds must understand each other, so the messages must equal those of the code of commit 1895881.
func TestMessagesMatchRecordedBytes(t *testing.T) {
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
			t.Fatalf("message %d: got\n%s\nwant the recorded\n%s", i, lines[i], recorded[i])
		}
	}
	t.Fatalf("got %d messages, want the recorded %d", len(lines), len(recorded))
}

// One message of each kind, written by hand in the format of the code of commit 1895881.
func TestRecordedMessagesAreParsed(t *testing.T) {
	d := newRecordedDetector(2, 4, 1)
	for i, a := range []incarnation{0, 401, 1002, 77} {
		d.members[i].incarnation = a
	}
	d.heartbeats.windowStart = 3
	entries := []entry{{3, 77}, {1, 401}, {2, 1002}}
	for _, x := range []struct {
		got, want string
		parsed    packet
	}{
		{d.heartbeatText(kindPing), "!aACAAAPqADAAABNAAAAAAAAGRAAAPq", packet{'a', 2, 1002, entries}},
		{d.heartbeatText(kindHeartbeat), "!bACAAAPqADAAABNAAAAAAAAGRAAAPq", packet{'b', 2, 1002, entries}},
		{d.heartbeatText(kindAck), "!cACAAAPqADAAABNAAAAAAAAGRAAAPq", packet{'c', 2, 1002, entries}},
		{d.updateText([]int{1, 3}), "!nACAAAPqABAAAGRADAAABN", packet{'n', 2, 1002, []entry{{1, 401}, {3, 77}}}},
		{d.entryText(entry{1, incarnationCount - 1}), "!nACAAAPqAB_____", packet{'n', 2, 1002, []entry{{1, incarnationCount - 1}}}},
	} {
		if x.got != x.want {
			t.Errorf("got %s, want the recorded %s", x.got, x.want)
		}
		back, err := parsePacket(x.want, 4)
		if err != nil || !reflect.DeepEqual(back, x.parsed) {
			t.Errorf("%s was parsed as %+v (%v), want %+v", x.want, back, err, x.parsed)
		}
	}
}
