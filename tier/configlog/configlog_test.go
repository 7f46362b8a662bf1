package configlog

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// configurations is a log with the version in place.
type configurations struct {
	log     Log
	current uint64
}

func (c *configurations) send(base, version uint64, body string) codes.Code {
	answer, fresh := c.log.Decide(Change{base, version, HashOf([]byte(body))}, c.current)
	if fresh {
		c.current = version
	}
	return answer
}

func (l *Log) encoded() []byte {
	var e codec.Encoder
	l.Encode(&e)
	return e.Bytes
}

func TestTheSameBodyIsTheSameOrderOnAnyBase(t *testing.T) {
	c := &configurations{}
	c.send(0, 3, "three")
	for _, base := range []uint64{0, 1, 2, 3, 9} {
		if got := c.send(base, 3, "three"); (got == codes.OK) != (base < 3) {
			t.Errorf("on base %d: %v", base, got)
		}
		if got := c.send(base, 3, "another three"); got == codes.OK {
			t.Errorf("another body under the number was taken on base %d", base)
		}
	}
}

// A refused order stays refused, also where a copy of it arrives when the version that it builds on has been taken. The same body
// sent on top of the version in place is another order.
func TestARefusedOrderIsNotTakenLater(t *testing.T) {
	c := &configurations{}
	c.send(0, 5, "five")
	if got := c.send(9, 10, "ten"); got != codes.ConfigBase {
		t.Fatalf("on a version yet to come: %v", got)
	}
	if got := c.send(5, 9, "nine"); got != codes.OK {
		t.Fatal(got)
	}
	if got := c.send(9, 10, "ten"); got != codes.ConfigBase || c.current != 9 {
		t.Fatalf("the refused order, late: %v, %d in place", got, c.current)
	}
	if got := c.send(5, 11, "eleven"); got != codes.ConfigBase {
		t.Fatalf("on a version passed by: %v", got)
	}
	if got := c.send(9, 11, "eleven"); got != codes.OK {
		t.Fatalf("the same body on the version in place: %v", got)
	}
}

// A day of 4,700 changes is known whole. Beyond what is kept an order gets no clear answer; it is never refused and changes nothing.
func TestWhatIsForgottenIsNeverRefused(t *testing.T) {
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
		t.Fatalf("%d is in place", c.current)
	}
	if size := len(c.log.encoded()); size > maxAccepted*(minAcceptedBytes+1)+maxRejected*minRejectionBytes {
		t.Fatalf("the log takes %d bytes", size)
	}
}

func TestRefusalsAreBounded(t *testing.T) {
	c := &configurations{}
	c.send(0, 5, "five")
	for i := range uint64(10 * maxRejected) {
		c.send(100+i, 200+i, "later")
	}
	if len(c.log.rejected) != maxRejected {
		t.Fatalf("%d refusals are kept", len(c.log.rejected))
	}
}

// Whatever orders come, and wherever a replica starts from a snapshot: an answer is never changed, at most one order is taken on
// each version, and what was refused never comes in force.
func TestAnOrderAlwaysGetsItsFirstAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &configurations{}
		answers := map[Change]codes.Code{}
		onTop := map[uint64]Change{}
		for range rapid.IntRange(1, 80).Draw(rt, "orders") {
			order := Change{
				Base:    rapid.Uint64Range(0, 8).Draw(rt, "base"),
				Version: rapid.Uint64Range(1, 8).Draw(rt, "version"),
				Body:    HashOf([]byte{rapid.ByteRange(0, 2).Draw(rt, "body")}),
			}
			before := c.current
			answer, fresh := c.log.Decide(order, c.current)
			if fresh {
				if other, found := onTop[before]; found {
					rt.Fatalf("%+v and %+v were both taken on %d", other, order, before)
				}
				if order.Base != before || order.Version <= before {
					rt.Fatalf("%+v was taken on %d", order, before)
				}
				onTop[before] = order
				c.current = order.Version
			}
			if first, asked := answers[order]; asked && first != answer && answer != codes.OK {
				rt.Fatalf("%+v: first %v, then %v", order, first, answer)
			} else if asked && first != codes.OK && fresh {
				rt.Fatalf("%+v was refused and is in force", order)
			}
			answers[order] = answer
			if rapid.Bool().Draw(rt, "restore") {
				d := codec.NewDecoder(c.log.encoded())
				again := Decode(d)
				if d.Err() != nil || !bytes.Equal(again.encoded(), c.log.encoded()) {
					rt.Fatalf("a restored log differs: %v", d.Err())
				}
				c.log = again
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	c := &configurations{}
	c.send(0, 3, "three")
	c.send(0, 4, "four")
	f.Add(c.log.encoded())
	f.Fuzz(func(t *testing.T, data []byte) {
		d := codec.NewDecoder(data)
		log := Decode(d)
		if d.Err() == nil && len(log.encoded()) == 0 {
			t.Fatal("a log has no bytes")
		}
	})
}
