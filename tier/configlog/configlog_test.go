package configlog

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// testLog is a log with the current version.
type testLog struct {
	log     Log
	current uint64
}

func (c *testLog) send(base, version uint64, body string) codes.Code {
	result, accepted := c.log.Decide(Change{base, version, HashOf([]byte(body))}, c.current)
	if accepted {
		c.current = version
	}
	return result
}

// mustSendFirst sends the first change, which must be accepted.
func (c *testLog) mustSendFirst(t testing.TB, version uint64, body string) {
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

func TestAcceptedChangeIsRecognizedOnAnyOlderBase(t *testing.T) {
	c := &testLog{}
	c.mustSendFirst(t, 3, "three")
	for _, base := range []uint64{0, 1, 2, 3, 9} {
		if got := c.send(base, 3, "three"); (got == codes.OK) != (base < 3) {
			t.Errorf("on base %d: %v", base, got)
		}
		if got := c.send(base, 3, "another three"); got == codes.OK {
			t.Errorf("another body with the same version was accepted on base %d", base)
		}
	}
}

// A rejected change stays rejected, even if a duplicate of it arrives after its base version was accepted. The same body on top of
// the current version is a different change.
func TestRejectedChangeIsNotAcceptedLater(t *testing.T) {
	c := &testLog{}
	c.mustSendFirst(t, 5, "five")
	if got := c.send(9, 10, "ten"); got != codes.ConfigBase {
		t.Fatalf("on a future version: %v", got)
	}
	if got := c.send(5, 9, "nine"); got != codes.OK {
		t.Fatal(got)
	}
	if got := c.send(9, 10, "ten"); got != codes.ConfigBase || c.current != 9 {
		t.Fatalf("late duplicate of the rejected change: %v, current version %d", got, c.current)
	}
	if got := c.send(5, 11, "eleven"); got != codes.ConfigBase {
		t.Fatalf("on an outdated version: %v", got)
	}
	if got := c.send(9, 11, "eleven"); got != codes.OK {
		t.Fatalf("the same body on the current version: %v", got)
	}
}

// The results of all 4,700 changes of a day are kept. An older change gets codes.ConfigForgotten: it is never rejected and changes
// nothing.
func TestCompactedChangeIsNeverRejected(t *testing.T) {
	const day, total = 4700, maxAccepted + 500
	c := &testLog{}
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
			t.Fatalf("repeated version %d: got %v, want %v", version, got, want)
		}
		if version > total-day && c.send(version-1, version, body(version)) != codes.OK {
			t.Fatalf("the result of version %d of the last day was dropped", version)
		}
	}
	if c.current != total {
		t.Fatalf("the current version is %d", c.current)
	}
	if size := len(c.log.encoded()); size > maxAccepted*(minAcceptedBytes+1)+maxRejected*minRejectionBytes {
		t.Fatalf("the encoded log has %d bytes", size)
	}
}

func TestRejectionsAreBounded(t *testing.T) {
	c := &testLog{}
	c.mustSendFirst(t, 5, "five")
	for i := range uint64(10 * maxRejected) {
		if got := c.send(100+i, 200+i, "later"); got != codes.ConfigBase {
			t.Fatalf("on a future version: %v", got)
		}
	}
	if len(c.log.rejected) != maxRejected {
		t.Fatalf("%d rejections are kept", len(c.log.rejected))
	}
}

// For any sequence of changes and restores from a snapshot: a result never changes, at most one change is accepted on each version,
// and a rejected change never becomes current.
func TestRepeatedChangeGetsFirstResult(t *testing.T) {
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

// history is a log with the results that it has returned.
type history struct {
	testLog
	results    map[Change]codes.Code
	acceptedOn map[uint64]Change
}

// decide passes a change to the log and checks the result against the earlier results.
func (h *history) decide(t *rapid.T, change Change) {
	before := h.current
	result, accepted := h.log.Decide(change, before)
	if accepted {
		if other, found := h.acceptedOn[before]; found {
			t.Fatalf("%+v and %+v were both accepted on version %d", other, change, before)
		}
		if change.Base != before || change.Version <= before {
			t.Fatalf("%+v was accepted on version %d", change, before)
		}
		h.acceptedOn[before] = change
		h.current = change.Version
	}
	first, repeated := h.results[change]
	if repeated && first != result && result != codes.OK {
		t.Fatalf("%+v: first %v, then %v", change, first, result)
	}
	if repeated && first != codes.OK && accepted {
		t.Fatalf("%+v was rejected first and accepted later", change)
	}
	h.results[change] = result
}

// restore replaces the log by one that is decoded from its encoded form.
func (h *history) restore(t *rapid.T) {
	d := codec.NewDecoder(h.log.encoded())
	restored := Decode(d)
	if d.Err() != nil || !bytes.Equal(restored.encoded(), h.log.encoded()) {
		t.Fatalf("the restored log differs: %v", d.Err())
	}
	h.log = restored
}

func FuzzDecode(f *testing.F) {
	c := &testLog{}
	c.mustSendFirst(f, 3, "three")
	if got := c.send(0, 4, "four"); got != codes.ConfigBase {
		f.Fatal(got)
	}
	f.Add(c.log.encoded())
	f.Fuzz(func(t *testing.T, data []byte) {
		d := codec.NewDecoder(data)
		log := Decode(d)
		if d.Err() == nil && len(log.encoded()) == 0 {
			t.Fatal("a decoded log has an empty encoding")
		}
	})
}
