package membership

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// tribe is members on one clock, with ways between them that may be cut one way.
type tribe struct {
	now    float64
	all    []*Detector
	asleep []bool
	cut    func(from, to int) bool
	dice   *rand.Rand
	loss   float64
	notes  []string
	share  float64
}

func newTribe(n int) *tribe {
	t := &tribe{now: 5000, asleep: make([]bool, n), cut: func(int, int) bool { return false }, dice: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		t.all = append(t.all, New(i, n, 60, 0.1, uint64(i)))
	}
	t.run(10)
	return t
}

// run lets time go on; messages arrive at once, unless they are cut or lost.
func (t *tribe) run(seconds float64) {
	for until := t.now + seconds; t.now < until; t.now += 0.05 {
		for i, g := range t.all {
			if g != nil && !t.asleep[i] {
				t.post(i, g.Tick(t.now), 0)
				if s := g.LogLine(t.now); s != "" {
					t.notes = append(t.notes, s)
				}
			}
		}
		sum := 0.0
		for _, g := range t.all {
			if g != nil {
				sum += 1 / g.ShareDivisor(t.now, 0, len(t.all))
			}
		}
		t.share = max(t.share, sum)
	}
}

func (t *tribe) post(from int, letters []Message, deep int) {
	for _, l := range letters {
		for to, g := range t.all {
			if g == nil || to == from || l.To != Broadcast && l.To != to || t.cut(from, to) || t.dice.Float64() < t.loss || t.asleep[to] {
				continue
			}
			g.Receive(t.now, from, l.Text)
			if deep < 8 {
				t.post(to, g.Tick(t.now), deep+1)
			}
		}
	}
}

// wrong counts beliefs of those that run which are not so.
func (t *tribe) wrong() (n int) {
	for i, g := range t.all {
		for k := range t.all {
			if g != nil && i != k && (g.StateOf(t.now, k) == Dead) != (t.all[k] == nil) {
				n++
			}
		}
	}
	return n
}

func (t *tribe) said(text string) bool { return strings.Contains(strings.Join(t.notes, "\n"), text) }

func TestOneDiesAndIsBack(t *testing.T) {
	x := newTribe(12)
	if x.wrong() != 0 {
		t.Fatal("wrong from the start")
	}
	x.all[5] = nil
	x.run(2)
	if x.wrong() != 0 {
		t.Errorf("%d do not know after 2 s", x.wrong())
	}
	if a := x.all[0].ShareDivisor(x.now, 0, 12); a < 11 || a > 12 {
		t.Errorf("at first it goes on counting: %.2f", a)
	}
	x.run(5)
	if a := x.all[0].ShareDivisor(x.now, 0, 12); math.Abs(a-12*math.Sqrt(11.0/12)) > 1e-9 {
		t.Errorf("then by the root of what is there: %.3f", a)
	}
	x.all[5] = New(5, 12, 60, 0.1, 99)
	x.run(1)
	if x.wrong() != 0 || x.all[0].ShareDivisor(x.now, 0, 12) != 12 {
		t.Errorf("it is back, and %d do not know", x.wrong())
	}
}

// Seven in ten die at once and come back at once: all is known, and the shares together stay within what shares.go says.
func TestSevenInTen(t *testing.T) {
	x := newTribe(40)
	for i := range 28 {
		x.all[(i*7)%40] = nil
	}
	x.run(10)
	if x.wrong() != 0 {
		t.Errorf("%d wrong 10 s after the death", x.wrong())
	}
	if x.share > 1.0001 {
		t.Errorf("shares of %.3f while they were dying", x.share)
	}
	for i, g := range x.all {
		if g == nil {
			x.all[i] = New(i, 40, 60, 0.1, uint64(100+i))
		}
	}
	x.run(10)
	if x.wrong() != 0 || x.share > 1.25 {
		t.Errorf("%d wrong 10 s after the return, shares up to %.3f", x.wrong(), x.share)
	}
}

// Two sides of a cut never take the whole twice: together at most the root of two. Healed, all is as before, also when a
// restart is under way.
func TestTwoSidesOfACut(t *testing.T) {
	x := newTribe(20)
	x.cut = func(a, b int) bool { return a%2 != b%2 }
	x.run(15)
	if x.wrong() != 20*10 {
		t.Errorf("%d beliefs across the cut", x.wrong())
	}
	if x.share > math.Sqrt2+1e-9 || x.share < 1.3 {
		t.Errorf("shares of %.3f", x.share)
	}
	x.cut = func(int, int) bool { return false }
	x.run(12)
	if x.wrong() != 0 {
		t.Errorf("%d wrong 12 s after it healed", x.wrong())
	}
	x.cut = func(a, b int) bool { return a%2 != b%2 }
	x.run(15)
	x.all[3] = nil
	x.run(1)
	x.cut = func(int, int) bool { return false }
	x.run(0.3)
	x.all[3] = New(3, 20, 60, 0.1, 77)
	x.run(12)
	if x.wrong() != 0 || x.all[0].ShareDivisor(x.now, 0, 20) != 20 {
		t.Errorf("%d wrong after it healed", x.wrong())
	}
}

// All think that one is dead but one, which hears it: it is told, speaks for itself, and who is refuted grows patient, so
// that it does not go to and fro for ever.
func TestOneWayLink(t *testing.T) {
	x := newTribe(8)
	x.cut = func(from, to int) bool { return from == 2 && to != 6 }
	x.run(90)
	if !x.said("given up by") {
		t.Error("it was never told")
	}
	early := x.all[4].Changes
	x.run(90)
	if late := x.all[4].Changes - early; late > 24 {
		t.Errorf("%d changes in the last 90 s", late)
	}
}

// One that is starved reads late. It must not take that for the others' silence; nor do they give it up.
func TestAStarvedOne(t *testing.T) {
	x := newTribe(10)
	for range 60 {
		x.asleep[4] = true
		x.run(0.9)
		x.asleep[4] = false
		x.run(0.1)
	}
	if x.wrong() != 0 || x.said("gone") {
		t.Errorf("%d wrong; %v", x.wrong(), x.notes)
	}
}

// A stopped one wakes: before it acts on shares nobody counts as gone for it, and it says that it was given up.
func TestAStoppedOneWakes(t *testing.T) {
	x := newTribe(10)
	for i := range 6 {
		x.all[i] = nil
	}
	x.run(12)
	if a := x.all[8].ShareDivisor(x.now, 0, 10); a > 10*math.Sqrt(0.4)+1e-9 {
		t.Fatalf("four of ten divide by %.2f", a)
	}
	x.asleep[8] = true
	x.run(6)
	x.notes, x.asleep[8] = nil, false
	x.all[8].Tick(x.now)
	if a := x.all[8].ShareDivisor(x.now, 0, 10); a != 10 {
		t.Errorf("awake it divides by %.2f", a)
	}
	x.run(2)
	if !x.said("asleep for") || !x.said("given up by") {
		t.Errorf("it says %v", x.notes)
	}
	if x.wrong() != 0 {
		t.Errorf("%d wrong", x.wrong())
	}
}

// Lives: two in one tick of the clock, one whose clock went back, and mail of a former one that comes after the new one.
func TestLives(t *testing.T) {
	x := newTribe(6)
	old := x.all[3].beat('b')
	x.all[3] = nil
	x.run(4)
	x.all[3] = New(3, 6, 60, 0.1, 7)
	x.all[3].begin(x.now)
	first := x.all[3].peers[3].mark
	x.all[3] = New(3, 6, 60, 0.1, 8)
	x.all[3].begin(x.now)
	if x.all[3].peers[3].mark != first {
		t.Fatal("not the same tick")
	}
	x.run(2)
	if x.wrong() != 0 {
		t.Errorf("two lives in one tick: %d wrong", x.wrong())
	}
	x.all[0].Receive(x.now, 3, old)
	x.run(1)
	if x.wrong() != 0 || x.all[0].peers[3].mark.newer(x.all[3].peers[3].mark) {
		t.Error("mail of a former life was taken for the present one's")
	}
	x.all[3] = nil
	x.run(4)
	x.all[3] = New(3, 6, 60, 0.1, 9)
	x.all[3].begin(1000) // an hour ago
	x.all[3].last, x.all[3].beatAt = x.now, x.now
	x.run(3)
	if x.wrong() != 0 {
		t.Errorf("a clock that went back: %d wrong", x.wrong())
	}
}

// Spoilt or forged mail is dropped and counted, and changes nothing.
func TestForgedMail(t *testing.T) {
	x := newTribe(6)
	g := x.all[0]
	before := append([]peer(nil), g.peers...)
	good := x.all[2].newsText([]int{4})
	for i, text := range []string{
		"!", "!b", "!x" + good[2:], good[:len(good)-1], good + "A", "!b" + strings.Repeat("_", 7), strings.Repeat("!", 300),
		"!n" + "__" + good[4:], "!nAAAAAAB", "!\x00\xff", x.all[0].beat('b'),
	} {
		if !g.Receive(x.now, 2, text) {
			t.Errorf("%d: not taken as mail of ours", i)
		}
	}
	if g.Receive(x.now, 3, good); g.Malformed != 12 { // signed with another's number
		t.Errorf("%d bad ones", g.Malformed)
	}
	for i := range before {
		if a, b := before[i], g.peers[i]; a.mark != b.mark || a.goneAt != b.goneAt {
			t.Errorf("%d is believed otherwise", i)
		}
	}
	if g.Receive(x.now, 2, "=plan key") || g.Receive(x.now, 2, "") || (*Detector)(nil).Receive(0, 1, good) {
		t.Error("mail of others was taken")
	}
}

// Whatever is believed, in whatever order news come: a share is from its listed part to twice that, one that comes back
// counts at once, and what is gone counts less only as time goes on.
func TestSharesOverAllOrders(t *testing.T) {
	dice := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		n := 2 + dice.IntN(9)
		g := New(0, n, 60, 0.1, 1)
		g.begin(5000)
		now, last := 5000.0, float64(n)
		for range 60 {
			step := dice.Float64() * 1.5
			now += step
			k, back := 1+dice.IntN(n-1), false
			m := g.peers[k].mark + mark(2+dice.IntN(3))
			back = g.peers[k].mark.gone() && !m.gone()
			g.learn(now, (k+1)%n, entry{k, m})
			if dice.IntN(20) == 0 {
				g.ofMe(now, 1, g.peers[0].mark+1)
			}
			a := g.ShareDivisor(now, 0, n)
			if a > float64(n)+1e-9 || a < float64(n)/2-1e-9 {
				t.Fatalf("%d divide by %.3f", n, a)
			}
			// Each that is gone fades by step/fading; nothing falls faster than that.
			if floor := float64(n) * math.Sqrt(max(least, last*last/float64(n*n)-step/fading)); a < floor-1e-9 {
				t.Fatalf("from %.3f to %.3f within %.2f s", last, a, step)
			}
			if back && g.counts(now, k) != 1 {
				t.Fatal("one that is back does not count")
			}
			last = a
		}
	}
}

func FuzzRead(f *testing.F) {
	g := New(0, 40, 60, 0.1, 1)
	g.begin(5000)
	f.Add(g.beat('b'))
	f.Add(g.newsText([]int{1, 2, 3}))
	f.Add("!n")
	f.Fuzz(func(t *testing.T, s string) {
		m, ok := read(s, 40)
		if !ok {
			return
		}
		if m.who < 0 || m.who >= 40 || m.mark.gone() {
			t.Fatalf("%+v", m)
		}
		for _, e := range m.entries {
			if e.who < 0 || e.who >= 40 || e.mark >= marks {
				t.Fatalf("%+v", e)
			}
		}
		g.Receive(5001, m.who, s)
		if a := g.ShareDivisor(5001, 0, 40); a < 20 || a > 40 {
			t.Fatalf("divides by %g", a)
		}
	})
}
