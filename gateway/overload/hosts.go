package overload

// This file owns what api gateways tell each other of single hosts: that one was set aside, that it answers, that it answers
// again. It must never set a host aside by words alone.

import (
	"slices"
	"strings"
)

const (
	// single is how many trials a second all together make of one host that is set aside.
	single = 4.0
	// lasting is for how long a word on a host counts, in seconds; repeated, the part of failed trials after which it is said
	// again.
	lasting, repeated = 30.0, 0.1
	// flapped is within how many seconds a host set aside again was not back, so that whose word brought it is doubted.
	flapped = 5.0
	// letterGap is the least time between two letters on hosts, in seconds, and perLetter how many hosts one names.
	letterGap, perLetter = 0.5, 12
)

// sight is what was said of a host.
type sight struct {
	bad, good map[int]float64 // by whom, and when
	askedAt   float64         // a peer said it was bad, and no answer has come here since to what was sent later; 0: none
	backAt    float64         // when a peer said that it answers again
	backBy    int
	cameAt    float64 // when that was believed here
	cameBy    int
}

func (f *Controller) sight(host string) *sight {
	s := f.hosts[host]
	if s == nil {
		s = &sight{bad: map[int]float64{}, good: map[int]float64{}, cameAt: -1e9}
		f.hosts[host] = s
	}
	return s
}

// talks says whether words on hosts are exchanged at all.
func (f *Controller) talks() bool { return f != nil && f.mail > 0 && f.all > 1 }

func count(by map[int]float64, now, within float64) (n int) {
	for _, at := range by { // counted: the order does not show
		if now-at < within {
			n++
		}
	}
	return n
}

// Aside: a host was set aside here, or its trial failed; again: it was aside already. false: nothing is said by this way.
func (f *Controller) HostEjected(now float64, host string, again bool) bool {
	if !f.talks() {
		return false
	}
	s := f.sight(host)
	if now-s.cameAt < flapped { // guards against good words that are wrong
		f.doubt[s.cameBy] = now + doubted
	}
	if !again && f.among() || again && f.chance() < repeated {
		f.queue("-" + host)
	}
	return true
}

// Answers: a host answered what was sent then; aside: it is set aside here. false: nothing is said by this way.
func (f *Controller) HostAnswered(host string, sent float64, aside bool) bool {
	if !f.talks() {
		return false
	}
	s := f.hosts[host]
	if s == nil && !aside {
		return true
	}
	if aside {
		if f.unsay("-" + host); s != nil {
			clear(s.bad)
		}
		f.queue("+" + host)
	} else if s.askedAt > 0 && sent >= s.askedAt {
		if s.askedAt = 0; f.among() {
			f.queue("=" + host)
		}
	}
	return true
}

// Agreed says that peers have set a host aside too, by what they saw themselves.
func (f *Controller) EjectionConfirmed(now float64, host string) bool {
	if !f.talks() || f.hosts[host] == nil {
		return false
	}
	s := f.hosts[host]
	bad := count(s.bad, now, lasting)
	return bad >= quorum && bad > 2*count(s.good, now, fresh)
}

// Trial is until the next trial of a host that is set aside, gap what one alone would wait: longer where all have it aside, so
// that all together try it as often at any number of them. One who alone has it aside may be wrong, and waits for itself.
func (f *Controller) ProbeInterval(now float64, host string, gap float64) float64 {
	if gap == 0 || !f.EjectionConfirmed(now, host) {
		return gap
	}
	return max(gap, 2*f.live/single*f.chance()) // from the first moment on some are due
}

// Believed says that a host answers again by a peer's word, once for each.
func (f *Controller) TakeRecovery(now float64, host string) bool {
	if !f.talks() || f.hosts[host] == nil {
		return false
	}
	s := f.hosts[host]
	if s.backAt == 0 || now < f.doubt[s.backBy] {
		return false
	}
	fine := now-s.backAt < fresh
	if s.backAt = 0; fine {
		s.cameAt, s.cameBy = now, s.backBy
	}
	return fine
}

// queue has a word on a host go with the next letter.
func (f *Controller) queue(word string) {
	if !slices.Contains(f.words, word) && len(f.words) < 4*perLetter {
		f.words = append(f.words, word)
	}
}

// unsay takes a word back that has not gone yet and is no longer so.
func (f *Controller) unsay(word string) {
	f.words = slices.DeleteFunc(f.words, func(x string) bool { return x == word })
}

// write puts words on hosts into a letter, where it is time.
func (f *Controller) write(now float64) {
	if len(f.words) == 0 || now < f.wordsAt {
		return
	}
	n, text := 0, "~"
	for n < len(f.words) && n < perLetter && len(text)+len(f.words[n])+1 <= 250 {
		text += f.words[n] + " "
		n++
	}
	f.words = append(f.words[:0], f.words[max(1, n):]...)
	if n > 0 {
		f.letters = append(f.letters, strings.TrimSuffix(text, " "))
	}
	f.wordsAt = now + letterGap
}

// read takes a peer's letter on hosts.
func (f *Controller) read(now float64, from int, text string) {
	for _, word := range strings.Fields(text) {
		if len(word) < 2 {
			continue
		}
		host := word[1:]
		if f.hosts[host] == nil && len(f.hosts) >= 4*max(8, f.listed) { // names that nobody knows fill no memory
			continue
		}
		s := f.sight(host)
		switch word[0] {
		case '-':
			s.bad[from] = now
			if delete(s.good, from); s.askedAt == 0 {
				s.askedAt = now
			}
		case '=':
			s.good[from] = now
			delete(s.bad, from)
		case '+':
			s.good[from] = now
			clear(s.bad) // those who had it aside hear it too
			f.unsay("-" + host)
			s.backAt, s.backBy = now, from
		}
	}
}

// forget lets go of hosts of which nothing was said for long.
func (f *Controller) forget(now float64) {
	if now < f.forgetAt {
		return
	}
	f.forgetAt = now + lasting
	for host, s := range f.hosts { // each by itself: the order does not show
		if count(s.bad, now, lasting)+count(s.good, now, lasting) == 0 {
			delete(f.hosts, host)
		}
	}
}
