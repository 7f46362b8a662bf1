package configlog

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// configurations is a log with the version in force.
type configurations struct {
	log     Log
	current uint64
}

func (c *configurations) send(base, version uint64, body string) codes.Code {
	result, accepted := c.log.Decide(Change{base, version, HashOf([]byte(body))}, c.current)
	if accepted {
		c.current = version
	}
	return result
}

// mustBegin sends the first change, which has to be accepted.
func (c *configurations) mustBegin(t testing.TB, version uint64, body string) {
	t.Helper()
	if got := c.send(0, version, body); got != codes.OK {
		t.Fatalf("the first change, version %d: %v", version, got)
	}
}

func (l *Log) encoded() []byte {
	var e codec.Encoder
	l.Encode(&e)
	return e.Bytes
}

func TestTheSameBodyIsTheSameChangeOnAnyBase(t *testing.T) {
	c := &configurations{}
	c.mustBegin(t, 3, "three")
	for _, base := range []uint64{0, 1, 2, 3, 9} {
		if got := c.send(base, 3, "three"); (got == codes.OK) != (base < 3) {
			t.Errorf("on base %d: %v", base, got)
		}
		if got := c.send(base, 3, "another three"); got == codes.OK {
			t.Errorf("another body under the number was accepted on base %d", base)
		}
	}
}

// A rejected change stays rejected, also where a duplicate of it arrives when the version that it builds on was accepted. The same
// body sent on top of the version in force is another change.
func TestARejectedChangeIsNotAcceptedLater(t *testing.T) {
	c := &configurations{}
	c.mustBegin(t, 5, "five")
	if got := c.send(9, 10, "ten"); got != codes.ConfigBase {
		t.Fatalf("on a version yet to come: %v", got)
	}
	if got := c.send(5, 9, "nine"); got != codes.OK {
		t.Fatal(got)
	}
	if got := c.send(9, 10, "ten"); got != codes.ConfigBase || c.current != 9 {
		t.Fatalf("the rejected change, late: %v, %d in force", got, c.current)
	}
	if got := c.send(5, 11, "eleven"); got != codes.ConfigBase {
		t.Fatalf("on a version passed by: %v", got)
	}
	if got := c.send(9, 11, "eleven"); got != codes.OK {
		t.Fatalf("the same body on the version in force: %v", got)
	}
}

// A day of 4,700 changes is known completely. Beyond what is kept a change gets no clear result; it is never rejected and changes
// nothing.
func TestWhatIsForgottenIsNeverRejected(t *testing.T) {
	const day, total = 4700, maxAccepted + 500
	c := &configurations{}
	body := func(version uint64) string { return fmt.Sprint("body ", version) }
	for version := uint64(1); version <= total; version++ {
		if got := c.send(version-1, version, body(version)); got != codes.OK {
			t.Fatalf("version %d: %v", version, got)
		}
	}
	for version := uint64(1); version <= total; version++ {
		want := codes.OK
		if version <= total-maxAccepted {
			want = codes.ConfigForgotten
		}
		if got := c.send(version-1, version, body(version)); got != want {
			t.Fatalf("version %d again: %v, not %v", version, got, want)
		}
		if version > total-day && c.send(version-1, version, body(version)) != codes.OK {
			t.Fatalf("version %d of the last day is not known", version)
		}
	}
	if c.current != total {
		t.Fatalf("%d is in force", c.current)
	}
	if size := len(c.log.encoded()); size > maxAccepted*(minAcceptedBytes+1)+maxRejected*minRejectionBytes {
		t.Fatalf("the log takes %d bytes", size)
	}
}

func TestRejectionsAreBounded(t *testing.T) {
	c := &configurations{}
	c.mustBegin(t, 5, "five")
	for i := range uint64(10 * maxRejected) {
		if got := c.send(100+i, 200+i, "later"); got != codes.ConfigBase {
			t.Fatalf("on a version yet to come: %v", got)
		}
	}
	if len(c.log.rejected) != maxRejected {
		t.Fatalf("%d rejections are kept", len(c.log.rejected))
	}
}

// Whatever changes come, and wherever a replica starts from a snapshot: a result never turns, at most one change is accepted on
// each version, and what was rejected never comes in force.
func TestAChangeAlwaysGetsItsFirstResult(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{results: map[Change]codes.Code{}, acceptedOn: map[uint64]Change{}}
		for range rapid.IntRange(1, 80).Draw(rt, "changes") {
			h.decide(rt, Change{
				Base:    rapid.Uint64Range(0, 8).Draw(rt, "base"),
				Version: rapid.Uint64Range(1, 8).Draw(rt, "version"),
				Body:    HashOf([]byte{rapid.ByteRange(0, 2).Draw(rt, "body")}),
			})
			if rapid.Bool().Draw(rt, "restore") {
				h.restore(rt)
			}
		}
	})
}

// history is a log with all that it decided.
type history struct {
	configurations
	results    map[Change]codes.Code
	acceptedOn map[uint64]Change
}

// decide has the log decide a change and checks the result against those before.
func (h *history) decide(t *rapid.T, change Change) {
	before := h.current
	result, accepted := h.log.Decide(change, before)
	if accepted {
		if other, found := h.acceptedOn[before]; found {
			t.Fatalf("%+v and %+v were both accepted on %d", other, change, before)
		}
		if change.Base != before || change.Version <= before {
			t.Fatalf("%+v was accepted on %d", change, before)
		}
		h.acceptedOn[before] = change
		h.current = change.Version
	}
	first, repeated := h.results[change]
	if repeated && first != result && result != codes.OK {
		t.Fatalf("%+v: first %v, then %v", change, first, result)
	}
	if repeated && first != codes.OK && accepted {
		t.Fatalf("%+v was rejected and is in force", change)
	}
	h.results[change] = result
}

// restore has a replica start from a snapshot of the log.
func (h *history) restore(t *rapid.T) {
	d := codec.NewDecoder(h.log.encoded())
	restored := Decode(d)
	if d.Err() != nil || !bytes.Equal(restored.encoded(), h.log.encoded()) {
		t.Fatalf("a restored log differs: %v", d.Err())
	}
	h.log = restored
}

func FuzzDecode(f *testing.F) {
	c := &configurations{}
	c.mustBegin(f, 3, "three")
	if got := c.send(0, 4, "four"); got != codes.ConfigBase {
		f.Fatal(got)
	}
	f.Add(c.log.encoded())
	f.Fuzz(func(t *testing.T, data []byte) {
		d := codec.NewDecoder(data)
		log := Decode(d)
		if d.Err() == nil && len(log.encoded()) == 0 {
			t.Fatal("a log has no bytes")
		}
	})
}
