package statemachine

import (
	"errors"
	"math/rand/v2"
	"testing"
)

func randomCommand(r *rand.Rand) Command {
	keys := []string{"a", "b", "c"}
	holders := []string{"h", "i", ""}
	return Command{
		Kind: Kind(r.IntN(int(kindCount) + 1)), Session: []string{"", "s", "t"}[r.IntN(3)], Sequence: uint64(r.IntN(20)), AckedBelow: uint64(r.IntN(10)),
		Key: keys[r.IntN(3)], Amount: r.NormFloat64() * 10, TTL: r.Float64() * 20, Holder: holders[r.IntN(3)], Version: uint64(r.IntN(20)),
		Reserved: float64(r.IntN(2) * 1000), Scope: []string{"", "all"}[r.IntN(2)], Clock: r.Float64() * 50,
	}
}

func randomBatch(r *rand.Rand, clock float64) *Batch {
	b := &Batch{Clock: clock}
	for range 1 + r.IntN(4) {
		b.Commands = append(b.Commands, randomCommand(r))
	}
	return b
}

// Two replicas apply the same log. One of them is restored from a snapshot in between.
func TestReplicasOfOneLogHaveIdenticalSnapshots(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		a, b := New(), New()
		for i := range 400 {
			encoded := randomBatch(r, float64(i)*r.Float64()*0.3).Encode()
			for _, s := range []*State{a, b} {
				batch, err := DecodeBatch(encoded)
				if err != nil {
					t.Fatal(err)
				}
				s.Apply(batch)
			}
			if i == 200 {
				var err error
				if b, err = Restore(b.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
		}
		if string(a.Snapshot()) != string(b.Snapshot()) {
			t.Fatalf("seed %d: two replicas of one log differ", seed)
		}
	}
}

// Restore must reject a truncated snapshot, and one in which a bit is flipped.
func TestCorruptSnapshotIsRefused(t *testing.T) {
	s := New()
	apply(s, 1, Command{Kind: Add, Key: "n", Amount: 1, TTL: 9})
	snapshot := s.Snapshot()
	for i := range snapshot {
		flipped := append([]byte(nil), snapshot...)
		flipped[i] ^= 4
		if _, err := Restore(flipped); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("byte %d: %v", i, err)
		}
		if _, err := Restore(snapshot[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("truncated to %d bytes: %v", i, err)
		}
	}
}

func TestSnapshotOfNewerVersionIsRefused(t *testing.T) {
	sealed := Seal(nil)
	sealed[versionLength-1]++
	copy(sealed[versionLength:], checksum(sealed[:versionLength]))
	if _, err := Restore(sealed); !errors.Is(err, ErrNewerVersion) {
		t.Fatal(err)
	}
}

// Restore must reject a snapshot with a valid checksum that decodes to a state with a missing part.
func TestIncompleteSnapshotIsRefused(t *testing.T) {
	for part, corrupt := range map[string]func(*State){
		"sessions":         func(s *State) { s.Sessions["s"] = nil },
		"counters":         func(s *State) { s.Counters["n"] = &counter{ByHolder: map[string]*account{"h": nil}} },
		"leases":           func(s *State) { s.Leases["h"] = nil },
		"unreported usage": func(s *State) { s.Unreported["h"] = &unreportedByKey{} },
		"markers":          func(s *State) { s.Markers = nil },
		"metered usage":    func(s *State) { s.Metering.ByHolder["h"] = map[string]*meter{"c": nil} },
	} {
		t.Run(part, func(t *testing.T) {
			s := New()
			corrupt(s)
			_, err := Restore(s.Snapshot())
			var invalid *InvalidStateError
			if !errors.As(err, &invalid) || invalid.Part != part {
				t.Fatalf("%v, want an InvalidStateError of %s", err, part)
			}
		})
	}
}

func FuzzRestore(f *testing.F) {
	s := New()
	apply(s, 1, Command{Kind: ReportUsage, Key: "n", Holder: "h", Amount: 1, Version: 1, TTL: 9})
	body, err := Unseal(s.Snapshot())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(_ *testing.T, body []byte) {
		s, err := Restore(Seal(body))
		if err != nil {
			return
		}
		for k := range kindCount { // no command may panic on a state that was accepted
			apply(s, s.Clock+1, Command{Kind: k, Key: "n", Holder: "h", Session: "s", Amount: 1, TTL: 1})
		}
		s.Snapshot()
	})
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add((&Batch{Clock: 1, Commands: []Command{{Kind: Add, Key: "n", Amount: 1}}}).Encode())
	f.Fuzz(func(t *testing.T, encoded []byte) {
		b, err := DecodeBatch(encoded)
		if err != nil {
			return
		}
		s := New()
		s.Apply(b)
		if _, err := Restore(s.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
