package admission

import "testing"

const testLimit = 1 << 20

func newTestController() *Controller {
	return NewController(Limits{RetainedBytes: testLimit, Programs: 10})
}

func largeTurn(request string) Turn {
	return Turn{Key: Key{Request: request}, RetainedBytes: testLimit / 2}
}

func TestReservationsCountUntilReleased(t *testing.T) {
	c := newTestController()
	if !c.Admit(largeTurn("a"), Usage{}, 1) || c.Admit(largeTurn("b"), Usage{}, 1) {
		t.Fatal("one large turn fits, a second one doesn't")
	}
	if !c.Admit(largeTurn("a"), Usage{}, 1) {
		t.Fatal("a repeated Begin needs no further room")
	}
	c.Release(Key{Request: "a"})
	if !c.Admit(largeTurn("b"), Usage{}, 1) {
		t.Fatal("the room was not given back")
	}
}

func TestRetainedTurnsCount(t *testing.T) {
	c := newTestController()
	if c.Admit(largeTurn("a"), Usage{RetainedBytes: testLimit / 2}, 1) {
		t.Fatal("a large turn is admitted to the part that is left to small ones")
	}
	small := Turn{Key: Key{Request: "b"}, RetainedBytes: smallTurnBytes}
	if !c.Admit(small, Usage{RetainedBytes: testLimit - smallTurnBytes}, 1) {
		t.Fatal("a small turn that fits is rejected")
	}
	c.Release(small.Key)
	if c.Admit(small, Usage{RetainedBytes: testLimit}, 1) {
		t.Fatal("a small turn is admitted beyond the limit")
	}
	if !c.Admit(Turn{Key: Key{Request: "c"}}, Usage{RetainedBytes: 2 * testLimit}, 1) {
		t.Fatal("a turn that is not retained needs no room")
	}
}

// Primaries that don't know of each other's reservations stay within the limit together, but for the first turn of each.
func TestPrimariesShareTheLimit(t *testing.T) {
	const primaries = 3
	turn := func(request string) Turn { return Turn{Key: Key{Request: request}, RetainedBytes: testLimit / 8} }
	admitted := 0
	for range primaries {
		c := newTestController()
		for _, request := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			if c.Admit(turn(request), Usage{Primaries: primaries}, 1) {
				admitted++
			}
		}
	}
	if bytes := admitted * testLimit / 8; bytes > testLimit || admitted < primaries {
		t.Fatalf("%d turns of %d bytes were admitted", admitted, testLimit/8)
	}
}

// What was reserved is accepted, whatever the shard holds by now. What exceeds it needs room, of which large turns leave a part.
func TestEndNeedsRoomBeyondItsReservation(t *testing.T) {
	c := newTestController()
	c.Admit(largeTurn("a"), Usage{}, 1)
	full := Usage{RetainedBytes: testLimit}
	for _, test := range []struct {
		request string
		bytes   int64
		usage   Usage
		want    bool
	}{
		{"a", testLimit / 2, full, true},
		{"a", testLimit, full, false},
		{"a", testLimit, Usage{RetainedBytes: testLimit / 4}, true},
		{"unknown", testLimit / 2, Usage{RetainedBytes: testLimit / 2}, false},
		{"unknown", smallTurnBytes, full, true},
		{"unknown", smallTurnBytes, Usage{RetainedBytes: testLimit + testLimit/2}, false},
	} {
		if got := c.AcceptsEnd(Key{Request: test.request}, test.bytes, test.usage); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}

func TestAbandonedReservationsExpire(t *testing.T) {
	c := newTestController()
	c.Admit(largeTurn("a"), Usage{}, 1)
	if !c.Admit(largeTurn("b"), Usage{}, 2+reservationTTL) {
		t.Fatal("the reservation of a turn that never ended is kept")
	}
}

func TestNewProgramsAreBounded(t *testing.T) {
	c := newTestController()
	full := Usage{Programs: 10}
	if c.Admit(Turn{Key: Key{Request: "a"}, IsNewProgram: true}, full, 1) {
		t.Fatal("a program is admitted beyond the limit")
	}
	if !c.Admit(Turn{Key: Key{Request: "a"}}, full, 1) {
		t.Fatal("a program that exists is rejected")
	}
}
