package client

import (
	"testing"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// kept plays the keepers: one state that takes what is asked in order.
type kept struct {
	t     *testing.T
	state *statemachine.State
	now   float64
	l     *Client
	lost  bool // answers do not come back
	away  bool // nothing gets there
}

func (k *kept) turn() (words []Outcome) {
	k.now += 0.5
	for _, a := range k.l.TakeRequests(k.now) {
		if k.away {
			k.l.HandleResponse(k.now, &protocol.Response{RequestID: a.ID, NotLeader: true})
			continue
		}
		r := k.state.Apply(&statemachine.Batch{Clock: k.now, Commands: []statemachine.Command{a.Command}})[0]
		if k.lost {
			continue
		}
		if w := k.l.HandleResponse(k.now, &protocol.Response{RequestID: a.ID, Reply: r}); w.Kind != NoOutcome {
			words = append(words, w)
		}
	}
	return words
}

func (k *kept) total() float64 {
	total, _ := k.state.Total("n")
	return total
}

func start(t *testing.T) *kept { return &kept{t: t, state: statemachine.New(), l: New("edge/1")} }

// The answer to an add is lost; the module owes the units once more and tells them with the next: they count once.
func TestLostAnswerCountsOnce(t *testing.T) {
	k := start(t)
	_, opened, _ := k.l.ReportUsage(k.now, "n", 1003, 1000, 60)
	k.lost = true
	k.turn()
	k.lost = false
	k.l.RetractUsage("n", 1003, opened, true)
	k.l.ReportUsage(k.now, "n", 3, 1000, 60)
	if words := k.turn(); len(words) != 1 || words[0].Total != 1003 {
		t.Fatalf("%+v", words)
	}
}

// While the counter is away work is let in; the api gateway dies. What it had noted is put back, once.
func TestDebtOutlivesItsHolder(t *testing.T) {
	k := start(t)
	k.l.ReportUsage(k.now, "n", 5, 0, 60)
	k.turn()
	k.l.SetUnreported(k.now, "n", 4, 60)
	k.turn()
	if k.total() != 5 {
		t.Fatalf("a debt was added while its holder lives: %v", k.total())
	}
	for range 10 { // nothing comes of it any more
		k.now += 0.5
		k.state.Apply(&statemachine.Batch{Clock: k.now})
	}
	for range 2 {
		for _, d := range k.state.UnrecoveredUsage(9) {
			k.state.Apply(&statemachine.Batch{Clock: k.now, Commands: []statemachine.Command{{Kind: statemachine.RecoverUnreported, Holder: d.Holder, Key: d.Key, Amount: d.Amount, TTL: d.TTL}}})
		}
	}
	if k.total() != 9 {
		t.Fatalf("total %v", k.total())
	}
}

// It was cut off for so long that the keepers gave it up and put back what it owed; it lives, and goes on under another name:
// nothing counts twice, nothing is missing.
func TestGivenUpAlive(t *testing.T) {
	k := start(t)
	k.l.ReportUsage(k.now, "n", 1005, 1000, 60)
	k.l.SetUnreported(k.now, "n", 4, 60)
	k.turn()
	k.away = true
	for range 10 {
		k.turn()
		k.state.Apply(&statemachine.Batch{Clock: k.now})
	}
	for _, d := range k.state.UnrecoveredUsage(9) {
		k.state.Apply(&statemachine.Batch{Clock: k.now, Commands: []statemachine.Command{{Kind: statemachine.RecoverUnreported, Holder: d.Holder, Key: d.Key, Amount: d.Amount, TTL: d.TTL}}})
	}
	if k.total() != 9 {
		t.Fatalf("after it was given up: %v", k.total())
	}
	k.away = false
	k.l.ClearUnreported()
	for range 4 {
		k.turn()
	}
	if k.l.LeaseLosses != 1 || k.l.Holder() == "edge/1.0" {
		t.Fatalf("given up %d times, is %s", k.l.LeaseLosses, k.l.Holder())
	}
	if _, _, ok := k.l.ReportUsage(k.now, "n", 4, 1000, 60); !ok { // the module tells what it owed, as it does not know
		t.Fatal("it can't tell")
	}
	if words := k.turn(); len(words) != 1 || words[0].Total != 1009 {
		t.Fatalf("%+v, total %v", words, k.total())
	}
}

// The keepers turn all words away: they are said less and less, not ten times a second.
func TestSaysLessWhileTurnedAway(t *testing.T) {
	l, said := New("edge/1"), 0
	for i := range 50 {
		l.SetUnreported(0, string(rune('a'+i)), 1, 60)
	}
	for now := 0.0; now < 10; now += 0.05 {
		for _, a := range l.TakeRequests(now) {
			said++
			l.HandleResponse(now, &protocol.Response{RequestID: a.ID, NotLeader: true})
		}
	}
	if said > 50*10 {
		t.Fatalf("%d words in ten seconds that nobody took", said)
	}
}

// A mark's answer: begun by another, held, or not known.
func TestMarks(t *testing.T) {
	k := start(t)
	k.l.AcquireMarker("a", "", 1)
	if w := k.turn(); len(w) != 1 || w[0].Kind != MarkerAcquired {
		t.Fatalf("%+v", w)
	}
	other := New("edge/2")
	n := other.AcquireMarker("a", "", 1)
	for _, a := range other.TakeRequests(k.now) {
		r := k.state.Apply(&statemachine.Batch{Clock: k.now, Commands: []statemachine.Command{a.Command}})[0]
		if w := other.HandleResponse(k.now, &protocol.Response{RequestID: a.ID, Reply: r}); a.ID == n && w.Kind != MarkerHeld {
			t.Fatalf("%+v", w)
		}
	}
	k.l.AcquireMarker("b", "", 1)
	k.l.TakeRequests(k.now)
	if w := k.l.StreamLost(); len(w) != 1 || w[0].Kind != MarkerUnknown {
		t.Fatalf("after the stream broke: %+v", w)
	}
}
