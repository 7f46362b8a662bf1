package membership

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// recordedLetters plays five gateways for some seconds, one of which falls silent and comes back under a new life, and gives
// a line for each message: when and by whom it was sent, to whom, and its text.
func recordedLetters() string {
	const n, silent = 5, 3
	var groups []*Detector
	for i := range n {
		groups = append(groups, New(i, n, 60, 0.5, uint64(40+i)))
	}
	var b strings.Builder
	for step := range 1200 {
		now := 100 + float64(step)*0.02
		if step == 700 {
			groups[silent] = New(silent, n, 60, 0.5, 99)
		}
		away := step >= 250 && step < 700
		for from, g := range groups {
			if away && from == silent {
				continue
			}
			for _, l := range g.Tick(now) {
				fmt.Fprintf(&b, "%.2f %d %d %s\n", now, from, l.To, l.Text)
				for to, other := range groups {
					if to != from && (l.To == to || l.To == Broadcast) && !(away && to == silent) {
						other.Receive(now, from, l.Text)
					}
				}
			}
		}
	}
	return b.String()
}

// Gateways of different builds believe the same of each other: their messages are those of the code of commit 1895881.
func TestMessagesAreTheRecordedBytes(t *testing.T) {
	want, err := os.ReadFile(filepath.Join("testdata/recorded", "letters.bin"))
	if err != nil {
		t.Fatal(err)
	}
	got := recordedLetters()
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
	g := New(2, 4, 60, 0.5, 1)
	for i, m := range []mark{0, 401, 1002, 77} {
		g.peers[i].mark = m
	}
	g.from = 3
	entries := []entry{{3, 77}, {1, 401}, {2, 1002}}
	for _, x := range []struct {
		got, want string
		read      message
	}{
		{g.beat('a'), "!aACAAAPqADAAABNAAAAAAAAGRAAAPq", message{'a', 2, 1002, entries}},
		{g.beat('b'), "!bACAAAPqADAAABNAAAAAAAAGRAAAPq", message{'b', 2, 1002, entries}},
		{g.beat('c'), "!cACAAAPqADAAABNAAAAAAAAGRAAAPq", message{'c', 2, 1002, entries}},
		{g.newsText([]int{1, 3}), "!nACAAAPqABAAAGRADAAABN", message{'n', 2, 1002, []entry{{1, 401}, {3, 77}}}},
		{ofOne(g, entry{1, marks - 1}), "!nACAAAPqAB_____", message{'n', 2, 1002, []entry{{1, marks - 1}}}},
	} {
		if x.got != x.want {
			t.Errorf("written is %s, recorded is %s", x.got, x.want)
		}
		back, ok := read(x.want, 4)
		if !ok || !reflect.DeepEqual(back, x.read) {
			t.Errorf("%s is read as %+v (%v), wanted is %+v", x.want, back, ok, x.read)
		}
	}
}
