package membership

// This file owns the text of messages: printable, at most 256 bytes, read with distrust. It must never believe one.

// entries are how many a message of news may hold; window how many marks ride with a beat.
const (
	entries = 30
	window  = 20
)

const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

var valueOf = func() (v [256]int8) {
	for i := range v {
		v[i] = -1
	}
	for i, c := range []byte(digits) {
		v[c] = int8(i)
	}
	return v
}()

func put(b []byte, x uint32, places int) []byte {
	for i := places - 1; i >= 0; i-- {
		b = append(b, digits[x>>(6*i)&63])
	}
	return b
}

// take reads a number of so many places off the front; ok is false where there is none.
func take(s string, places int) (x uint32, rest string, ok bool) {
	if len(s) < places {
		return 0, s, false
	}
	for i := range places {
		v := valueOf[s[i]]
		if v < 0 {
			return 0, s, false
		}
		x = x<<6 | uint32(v)
	}
	return x, s[places:], true
}

type entry struct {
	who  int
	mark mark
}

type message struct {
	kind    byte // 'b': a beat, with a window of marks; 'a': the same, asking for one; 'c': the answer; 'n': news
	who     int
	mark    mark
	entries []entry
}

// head begins a message of a kind, with room for so many bytes more: who says it, in which life.
func (g *Detector) head(kind byte, more int) []byte {
	b := append(make([]byte, 0, 9+more), '!', kind)
	return put(put(b, uint32(g.me), 2), uint32(g.peers[g.me].mark), 5)
}

// beat is a sign of life, with some of what is known of the others.
func (g *Detector) beat(kind byte) string {
	b := put(g.head(kind, 2+5*window), uint32(g.from), 2)
	n := min(window, g.n)
	for i := range n {
		b = put(b, uint32(g.peers[(g.from+i)%g.n].mark), 5)
	}
	return string(b)
}

// newsText says what is known of some members.
func (g *Detector) newsText(of []int) string {
	b := g.head('n', 7*len(of))
	for _, k := range of {
		b = put(put(b, uint32(k), 2), uint32(g.peers[k].mark), 5)
	}
	return string(b)
}

// ofOne passes on to a member what another said of it.
func ofOne(g *Detector, e entry) string {
	return string(put(put(g.head('n', 7), uint32(e.who), 2), uint32(e.mark), 5))
}

// read reads a message among n members; what makes no sense is no message.
func read(s string, n int) (m message, ok bool) {
	if len(s) < 2 || len(s) > 256 || s[0] != '!' {
		return m, false
	}
	m.kind, s = s[1], s[2:]
	var x, y uint32
	if x, s, ok = take(s, 2); !ok || int(x) >= n {
		return m, false
	}
	if y, s, ok = take(s, 5); !ok || y <= 1 || mark(y).gone() { // nobody says that itself is gone
		return m, false
	}
	m.who, m.mark = int(x), mark(y)
	switch m.kind {
	case 'a', 'b', 'c':
		if x, s, ok = take(s, 2); !ok || int(x) >= n || len(s)%5 != 0 || len(s)/5 > n {
			return m, false
		}
		for i := int(x); len(s) > 0; i = (i + 1) % n {
			if y, s, ok = take(s, 5); !ok {
				return m, false
			}
			if y > 1 {
				m.entries = append(m.entries, entry{i, mark(y)})
			}
		}
	case 'n':
		if len(s)%7 != 0 {
			return m, false
		}
		for len(s) > 0 {
			x, s, _ = take(s, 2)
			if y, s, ok = take(s, 5); !ok || int(x) >= n || y == 0 {
				return m, false
			}
			m.entries = append(m.entries, entry{int(x), mark(y)})
		}
	default:
		return m, false
	}
	return m, true
}
