package statemachine

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

// told applies one entry at a time of the group's clock.
func told(s *State, clock float64, e Command) Reply {
	return s.Apply(&Batch{Clock: clock, Commands: []Command{e}})[0]
}

func opened(t *testing.T, s *State, name string) {
	t.Helper()
	if r := told(s, s.Clock, Command{Kind: OpenSession, Session: name, Clock: s.Clock}); r.Code != Done {
		t.Fatalf("session: %v", r.Code)
	}
}

// The answer to an add was lost on its way, and whoever asked tells it again, more than once and after others.
func TestToldAgainIsMadeOnce(t *testing.T) {
	s := New()
	opened(t, s, "a")
	add := Command{Kind: Add, Session: "a", Sequence: 7, Key: "n", Amount: 3, TTL: 60}
	first := told(s, 1, add)
	told(s, 1, Command{Kind: Add, Session: "a", Sequence: 8, Key: "n", Amount: 10, TTL: 60})
	if again := told(s, 2, add); again.Total != 3 || first.Total != 3 {
		t.Fatalf("first %v, again %v", first, again)
	}
	if total, _ := s.Total("n"); total != 13 {
		t.Fatalf("total %v", total)
	}
	// Once no answer is wanted any more it is still not made again.
	told(s, 2, Command{Kind: Add, Session: "a", Sequence: 9, AckedBelow: 9, Key: "n", Amount: 1, TTL: 60})
	if r := told(s, 2, add); r.Code != ResultDiscarded {
		t.Fatalf("an add whose answer was let go of: %v", r.Code)
	}
	if total, _ := s.Total("n"); total != 14 {
		t.Fatalf("total %v", total)
	}
}

// A wish for a session that was held up for a minute must not bring back one whose answers are forgotten.
func TestOldSessionStaysClosed(t *testing.T) {
	s := New()
	old := Command{Kind: OpenSession, Session: "a", Clock: 0}
	told(s, 0, old)
	add := Command{Kind: Add, Session: "a", Sequence: 1, Key: "n", Amount: 5, TTL: 60}
	told(s, 1, add)
	told(s, 1+SessionTTL+1, Command{Kind: Tick})
	if r := told(s, s.Clock, add); r.Code != UnknownSession {
		t.Fatalf("after its life: %v", r.Code)
	}
	if r := told(s, s.Clock, old); r.Code != Invalid {
		t.Fatalf("an old wish: %v", r.Code)
	}
	if r := told(s, s.Clock, add); r.Code != UnknownSession {
		t.Fatalf("after the old wish: %v", r.Code)
	}
}

// A leader with its clock set back by minutes stamps old times: nobody's life is longer for it than by the gap, none shorter.
func TestClockNeverGoesBack(t *testing.T) {
	s := New()
	told(s, 100, Command{Kind: Add, Key: "n", Amount: 1, TTL: 2})
	told(s, 5, Command{Kind: Add, Key: "m", Amount: 1, TTL: 2})
	told(s, math.NaN(), Command{Kind: Tick})
	told(s, math.Inf(1), Command{Kind: Tick})
	if s.Clock != 100 {
		t.Fatalf("clock %v", s.Clock)
	}
	told(s, 101.9, Command{Kind: Tick})
	if _, ok := s.Total("m"); !ok {
		t.Fatal("a name lapsed before its life was over")
	}
	if r := told(s, 102.1, Command{Kind: Add, Key: "n", Amount: 4, TTL: 2}); r.Total != 4 {
		t.Fatalf("a name that lapsed begins at nought: %v", r.Total)
	}
}

// An api gateway dies with two units owed, three told and an open place. The places go back once, what it owed is put back
// once, and its last word, held up on the way, changes nothing.
func TestDeadHolder(t *testing.T) {
	s := New()
	put := Command{Kind: ReportUsage, Key: "n", Holder: "h", Amount: 1003, Reserved: 1000, Version: 1, TTL: 60}
	told(s, 0, put)
	told(s, 0, Command{Kind: ReportUsage, Key: "n", Holder: "other", Amount: 7, Version: 1, TTL: 60})
	told(s, 0, Command{Kind: RecordUnreported, Key: "n", Holder: "h", Amount: 5, Version: 2, TTL: 60})
	if len(s.UnrecoveredUsage(9)) != 0 {
		t.Fatal("the debt of one that lives was put back")
	}
	for c := 1.0; c < 8; c++ {
		told(s, c, Command{Kind: RenewLease, Holder: "other", TTL: 3})
	}
	if total, _ := s.Total("n"); total != 10 {
		t.Fatalf("its place was not given back once: %v", total)
	}
	open := s.UnrecoveredUsage(9)
	if len(open) != 1 || open[0].Amount != 5 {
		t.Fatalf("open debts %v", open)
	}
	for range 3 {
		told(s, 8, Command{Kind: RecoverUnreported, Key: "n", Holder: "h", Amount: 5, TTL: 60})
	}
	late := put
	late.Amount, late.Version = 2003, 9
	if r := told(s, 8, late); r.Code != LeaseExpired || r.HolderTotal != 5 {
		t.Fatalf("the last word of a dead holder: %+v", r)
	}
	if total, _ := s.Total("n"); total != 12 {
		t.Fatalf("total %v", total)
	}
	told(s, 8, Command{Kind: ClearUnreported, Key: "n", Holder: "h", Version: 2})
	if len(s.UnrecoveredUsage(9)) != 0 {
		t.Fatal("a debt that was put back is still open")
	}
}

// Words of a holder come out of order: the newest counts.
func TestPutsOutOfOrder(t *testing.T) {
	s := New()
	told(s, 0, Command{Kind: ReportUsage, Key: "n", Holder: "h", Amount: 9, Version: 3, TTL: 60})
	if r := told(s, 0, Command{Kind: ReportUsage, Key: "n", Holder: "h", Amount: 4, Version: 2, TTL: 60}); r.Total != 9 {
		t.Fatalf("an older word counted: %v", r.Total)
	}
	if r := told(s, 0, Command{Kind: ReportUsage, Key: "n", Holder: "h", Amount: 6, Version: 4, TTL: 60}); r.Total != 6 {
		t.Fatalf("units taken off: %v", r.Total)
	}
}

// A client's request comes to a second api gateway after the first died with its delivery out.
func TestSecondDeliveryIsKnown(t *testing.T) {
	s := New()
	mark := func(holder, scope string) Code {
		return told(s, s.Clock, Command{Kind: AcquireMarker, Key: "ref", Holder: holder, Scope: scope, TTL: 10}).Code
	}
	if mark("a", "") != Done || mark("b", "") != MarkerHeld {
		t.Fatal("a second delivery was let through")
	}
	told(s, 0, Command{Kind: ReleaseMarker, Key: "ref", Holder: "b"})
	if mark("b", "") != MarkerHeld {
		t.Fatal("another took the mark off")
	}
	told(s, 0, Command{Kind: ReleaseMarker, Key: "ref", Holder: "a"})
	if mark("b", "all") != Done || mark("c", "all") != Done || mark("c", "zone") != MarkerHeld {
		t.Fatal("a repeat is harmless in its group and nowhere else")
	}
	told(s, 11, Command{Kind: Tick})
	if mark("c", "") != Done {
		t.Fatal("a mark outlived its time")
	}
}

// Who bills asks for a batch, hears nothing, asks again, and goes on to the next.
func TestUseIsHandedOutOnce(t *testing.T) {
	s := New()
	use := func(holder string, units float64) {
		told(s, s.Clock, Command{Kind: MeterUsage, Key: "cust", Holder: holder, Amount: units})
	}
	take := func(n uint64) (sum float64, code Code) {
		r := told(s, s.Clock, Command{Kind: CollectUsage, Version: n})
		for _, u := range r.Usage {
			sum += u.Units
		}
		return sum, r.Code
	}
	use("a", 3)
	use("b", 4)
	use("a", 2) // an older word
	if sum, _ := take(1); sum != 7 {
		t.Fatalf("first batch %v", sum)
	}
	use("a", 5)
	if sum, _ := take(1); sum != 7 {
		t.Fatalf("the same batch again %v", sum)
	}
	if _, code := take(3); code != Invalid {
		t.Fatal("a batch was left out")
	}
	if sum, _ := take(2); sum != 2 {
		t.Fatalf("next batch %v", sum)
	}
	if _, code := take(1); code != Invalid {
		t.Fatal("a batch that was taken over came again")
	}
	told(s, expiredLeaseTTL+1, Command{Kind: Tick})
	if take(3); len(s.Metering.ByHolder) != 0 {
		t.Fatal("use that is billed is never forgotten")
	}
}

func drawn(r *rand.Rand) Command {
	names, holders := []string{"a", "b", "c"}, []string{"h", "i", ""}
	return Command{
		Kind: Kind(r.IntN(int(kindCount) + 1)), Session: []string{"", "s", "t"}[r.IntN(3)], Sequence: uint64(r.IntN(20)), AckedBelow: uint64(r.IntN(10)),
		Key: names[r.IntN(3)], Amount: r.NormFloat64() * 10, TTL: r.Float64() * 20, Holder: holders[r.IntN(3)], Version: uint64(r.IntN(20)),
		Reserved: float64(r.IntN(2) * 1000), Scope: []string{"", "all"}[r.IntN(2)], Clock: r.Float64() * 50,
	}
}

// Two copies take the same log; one is cut in its middle, saved and restored. Both have the same bytes.
func TestSameBytesEverywhere(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		a, b := New(), New()
		for i := range 400 {
			batch := &Batch{Clock: float64(i) * r.Float64() * 0.3}
			for range 1 + r.IntN(4) {
				batch.Commands = append(batch.Commands, drawn(r))
			}
			text := batch.Encode()
			for _, s := range []*State{a, b} {
				read, err := DecodeBatch(text)
				if err != nil {
					t.Fatal(err)
				}
				s.Apply(read)
			}
			if i == 200 {
				var err error
				if b, err = Restore(b.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
		}
		if string(a.Snapshot()) != string(b.Snapshot()) {
			t.Fatalf("seed %d: two copies of one log differ", seed)
		}
	}
}

// A snapshot was cut off, a byte of it flipped, or a later version wrote it.
func TestSpoiltSnapshot(t *testing.T) {
	s := New()
	told(s, 1, Command{Kind: Add, Key: "n", Amount: 1, TTL: 9})
	text := s.Snapshot()
	for i := range text {
		bad := append([]byte(nil), text...)
		bad[i] ^= 4
		if _, err := Restore(bad); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("byte %d: %v", i, err)
		}
		if _, err := Restore(text[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
	later := Seal(nil)
	later = later[:4]
	later[3]++
	if _, err := Restore(sealed(later)); !errors.Is(err, ErrNewerVersion) {
		t.Fatal(err)
	}
}

// sealed puts a fitting check behind bytes that hold a version already.
func sealed(head []byte) []byte {
	whole := Seal(nil)
	copy(whole, head)
	return append(append([]byte(nil), whole[:4]...), check(whole[:4])...)
}

func FuzzRestore(f *testing.F) {
	s := New()
	told(s, 1, Command{Kind: ReportUsage, Key: "n", Holder: "h", Amount: 1, Version: 1, TTL: 9})
	body, _ := Unseal(s.Snapshot())
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Restore(Seal(body))
		if err != nil {
			return
		}
		for k := range kindCount { // whatever was accepted can be gone on with
			told(s, s.Clock+1, Command{Kind: k, Key: "n", Holder: "h", Session: "s", Amount: 1, TTL: 1})
		}
		s.Snapshot()
	})
}

func FuzzBatch(f *testing.F) {
	f.Add((&Batch{Clock: 1, Commands: []Command{{Kind: Add, Key: "n", Amount: 1}}}).Encode())
	f.Fuzz(func(t *testing.T, text []byte) {
		if b, err := DecodeBatch(text); err == nil {
			s := New()
			s.Apply(b)
			if _, err := Restore(s.Snapshot()); err != nil {
				t.Fatal(err)
			}
		}
	})
}
