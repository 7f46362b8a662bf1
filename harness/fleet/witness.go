package fleet

// This file owns what was promised to api gateways as it went by, and holds what the keepers have at the end against it. It
// must never take for promised what has no answer, nor for lost what may not have been made.

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
	"otterseam/quotastore/server"
	"otterseam/quotastore/statemachine"
)

// told is an amount that a holder told, with its order.
type told struct {
	order uint64
	units float64
}

// claim is what one holder was promised of one name.
type claim struct {
	holder, name string
	first        time.Time
	life         float64
	puts, owes   []told
	put, owe     uint64 // order of the last that was answered
}

type usage struct {
	customer    string
	acked, sent float64
}

// plain is a name in the counter's protocol, where nobody says who adds.
type plain struct {
	first            time.Time
	life             float64
	sum, least, most float64 // answered; what of the unanswered may be in it
}

// asking is something asked that has no answer yet, and its number among all that was asked.
type asking struct {
	entry  statemachine.Command
	number int
}

type witness struct {
	mu                                sync.Mutex
	streams                           int
	out                               map[[2]int]asking // by stream and number
	claims                            map[string]*claim
	marks                             map[string][]string
	marked                            map[string]time.Time // when the last was answered
	unmarked                          map[string]int       // by invocation and holder: the number of what asked to let go of it
	uses                              map[string]*usage
	plains                            map[string]*plain
	Asked, Refused, Unknown, Answered int
}

func newWitness() *witness {
	return &witness{out: map[[2]int]asking{}, claims: map[string]*claim{}, marks: map[string][]string{}, marked: map[string]time.Time{}, unmarked: map[string]int{}, uses: map[string]*usage{}, plains: map[string]*plain{}}
}

func (w *witness) stream() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams++
	return w.streams
}

func (w *witness) claim(e *statemachine.Command) *claim {
	key := e.Holder + " " + e.Key
	c := w.claims[key]
	if c == nil {
		c = &claim{holder: e.Holder, name: e.Key, first: time.Now(), life: e.TTL}
		w.claims[key] = c
	}
	return c
}

func (w *witness) asked(stream int, f *protocol.Frame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range f.Requests {
		e := f.Requests[i].Command
		w.Asked++
		w.out[[2]int{stream, int(f.Requests[i].ID)}] = asking{e, w.Asked}
		switch e.Kind {
		case statemachine.ReportUsage:
			if e.Version > 0 {
				c := w.claim(&e)
				c.puts = append(c.puts, told{e.Version, e.Amount - e.Reserved})
			}
		case statemachine.RecordUnreported:
			if e.Version > 0 {
				c := w.claim(&e)
				c.owes = append(c.owes, told{e.Version, e.Amount})
			}
		case statemachine.ReleaseMarker:
			// From here on it may have been let go of, though the answer that says so is lost on its way.
			w.marks[e.Key] = slices.DeleteFunc(w.marks[e.Key], func(h string) bool { return h == e.Holder })
			w.unmarked[e.Key+" "+e.Holder] = w.Asked
		case statemachine.MeterUsage:
			key := e.Holder + " " + e.Key
			if w.uses[key] == nil {
				w.uses[key] = &usage{customer: e.Key}
			}
			w.uses[key].sent = max(w.uses[key].sent, e.Amount)
		}
	}
}

func (w *witness) replied(stream int, f *protocol.Frame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range f.Responses {
		r := &f.Responses[i]
		key := [2]int{stream, int(r.RequestID)}
		a, ok := w.out[key]
		if !ok {
			continue
		}
		e := a.entry
		delete(w.out, key)
		switch {
		case r.NotLeader:
			w.Refused++
			continue
		case r.Unknown:
			w.Unknown++
			continue
		case r.Reply.Code != statemachine.Done:
			continue
		}
		w.Answered++
		switch e.Kind {
		case statemachine.ReportUsage:
			if e.Version > 0 {
				c := w.claim(&e)
				c.put = max(c.put, e.Version)
			}
		case statemachine.RecordUnreported:
			if e.Version > 0 {
				c := w.claim(&e)
				c.owe = max(c.owe, e.Version)
			}
		case statemachine.AcquireMarker:
			if e.Scope == "" && a.number > w.unmarked[e.Key+" "+e.Holder] {
				w.marks[e.Key] = append(w.marks[e.Key], e.Holder)
				w.marked[e.Key] = time.Now()
			}
		case statemachine.MeterUsage:
			u := w.uses[e.Holder+" "+e.Key]
			u.acked = max(u.acked, e.Amount)
		}
	}
}

// head reads the first line and the fields of a message.
func head(r *textproto.Reader) (line string, fields textproto.MIMEHeader, err error) {
	if line, err = r.ReadLine(); err == nil {
		fields, err = r.ReadMIMEHeader()
	}
	return line, fields, err
}

// calls leads the counter's protocol from an api gateway to a door and back.
func (w *witness) calls(c, up net.Conn, seen func(event string)) {
	type call struct {
		name     string
		by, life float64
	}
	orders := make(chan call, 4096)
	go func() {
		defer close(orders)
		r := textproto.NewReader(bufio.NewReader(c))
		for {
			line, fields, err := head(r)
			if err != nil {
				break
			}
			x := call{}
			if words := strings.Fields(line); len(words) > 1 {
				if u, err := url.Parse(words[1]); err == nil {
					x.name = strings.TrimPrefix(u.Path, "/counters/")
					x.by, _ = strconv.ParseFloat(u.Query().Get("by"), 64)
					x.life, _ = strconv.ParseFloat(u.Query().Get("expire_ms"), 64)
				}
			}
			seen("called")
			w.mu.Lock()
			w.Asked++
			p := w.plains[x.name]
			if p == nil {
				p = &plain{first: time.Now(), life: x.life / 1000}
				w.plains[x.name] = p
			}
			p.least, p.most = p.least+min(0, x.by), p.most+max(0, x.by)
			w.mu.Unlock()
			orders <- x
			fmt.Fprintf(up, "%s\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", line, fields.Get("Host"))
		}
		if t, ok := up.(*net.TCPConn); ok {
			t.CloseWrite()
		}
	}()
	b := bufio.NewReader(up)
	r := textproto.NewReader(b)
	for x := range orders {
		line, fields, err := head(r)
		if err != nil {
			break
		}
		n, _ := strconv.Atoi(fields.Get("Content-Length"))
		body := make([]byte, n)
		if _, err := io.ReadFull(b, body); err != nil {
			break
		}
		seen("added")
		w.mu.Lock()
		p := w.plains[x.name]
		p.least, p.most = p.least-min(0, x.by), p.most-max(0, x.by)
		if strings.Contains(line, " 200 ") {
			p.sum += x.by
			w.Answered++
		} else {
			w.Refused++
		}
		w.mu.Unlock()
		if _, err := fmt.Fprintf(c, "%s\r\nContent-Length: %d\r\n\r\n%s", line, n, body); err != nil {
			break
		}
	}
	c.Close()
	go func() { // whoever still sends must not wait
		for range orders {
		}
	}()
}

// Kept is what became of what was promised.
type Kept struct {
	Lost   []string `json:"promised_and_lost"`
	Twice  []string `json:"put_back_twice"`
	Second []string `json:"second_effects"`
	// Claims counts what was held against the keepers' state, Answered what they had promised.
	Claims                            int `json:"claims"`
	Asked, Answered, Refused, Unknown int
	PutBack                           int     `json:"put_back"`
	Took                              float64 // seconds until debts of the dead were put back
}

func (k *Kept) String() string {
	return fmt.Sprintf("promised and lost: %d; put back twice: %d; second effects: %d (%d claims; %d asked, %d promised, %d turned away, %d not known)",
		len(k.Lost), len(k.Twice), len(k.Second), k.Claims, k.Asked, k.Answered, k.Refused, k.Unknown)
}

// judge waits until dead holders are given up and their debts put back, and looks at what the keepers hold.
func (k *keepers) judge() *Kept {
	res := &Kept{}
	w := k.witness
	begun := time.Now()
	var states []*statemachine.State
	for {
		s, err := server.TakeSnapshot(k.direct, time.Now())
		states = nil
		settled := err == nil
		if err == nil {
			for g := range s.Groups {
				state, err := statemachine.Restore(s.States[g])
				if err != nil {
					res.Lost = append(res.Lost, err.Error())
					return res
				}
				states = append(states, state)
				settled = settled && !state.HasLiveHolder() && len(state.UnrecoveredUsage(1)) == 0
			}
		}
		if settled || time.Since(begun) > 12*time.Second {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	res.Took = time.Since(begun).Seconds()
	w.mu.Lock()
	defer w.mu.Unlock()
	res.Asked, res.Answered, res.Refused, res.Unknown = w.Asked, w.Answered, w.Refused, w.Unknown
	if states == nil { // no group can be read as a whole: all of it counts as gone
		for range k.direct.Groups {
			states = append(states, statemachine.New())
		}
	}
	at := func(name string) *statemachine.State { return states[replication.GroupOf(name, len(states))] }
	sums := map[string]float64{}
	lives := func(first time.Time, life float64) bool { return time.Since(first).Seconds() < life-1 }
	for _, key := range slices.Sorted(maps.Keys(w.claims)) {
		c := w.claims[key]
		if !lives(c.first, c.life) {
			continue // its name has lapsed, as it should
		}
		own := at(c.name).HolderTotal(c.name, c.holder)
		least, most := c.bounds()
		res.Claims++
		if own < least-1e-6 {
			res.Lost = append(res.Lost, fmt.Sprintf("count %s: %s was promised %g and has %g", c.name, c.holder, least, own))
		}
		if own > most+1e-6 {
			res.Twice = append(res.Twice, fmt.Sprintf("count %s: %s told of %g and has %g", c.name, c.holder, most, own))
		}
		sums[c.name] += own
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		if total, ok := at(name).Total(name); ok && math.Abs(total-sums[name]) > 1e-6 {
			res.Twice = append(res.Twice, fmt.Sprintf("count %s: its holders have %g, its total is %g", name, sums[name], total))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.plains)) {
		p := w.plains[name]
		if !lives(p.first, p.life) {
			continue
		}
		res.Claims++
		total, _ := at(name).Total(name)
		if total < p.sum+p.least-1e-6 {
			res.Lost = append(res.Lost, fmt.Sprintf("count %s: %g promised, at least %g wanted, %g there", name, p.sum, p.sum+p.least, total))
		}
		if total > p.sum+p.most+1e-6 {
			res.Twice = append(res.Twice, fmt.Sprintf("count %s: %g promised, at most %g wanted, %g there", name, p.sum, p.sum+p.most, total))
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(w.marks)) {
		if len(w.marks[ref]) == 0 {
			continue
		}
		res.Claims++
		if !at(ref).HasMarker(ref) && lives(w.marked[ref], 60) {
			res.Lost = append(res.Lost, fmt.Sprintf("the mark of %s, held for %s", ref, w.marks[ref][0]))
		}
		if len(w.marks[ref]) > 1 {
			res.Second = append(res.Second, fmt.Sprintf("%s may be delivered by %s", ref, strings.Join(w.marks[ref], " and ")))
		}
	}
	k.billed(res)
	return res
}

// bounds are between what a holder's part must lie: its last word that was answered, or one of those after it; and what
// it owed, likewise.
func (c *claim) bounds() (least, most float64) {
	low := func(all []told, acked uint64) (lo, hi float64, any bool) {
		lo, hi = math.Inf(1), math.Inf(-1)
		for _, t := range all {
			if t.order >= acked {
				lo, hi, any = min(lo, t.units), max(hi, t.units), true
			}
		}
		if acked == 0 { // none of it may have come
			lo, hi, any = min(lo, 0), max(hi, 0), true
		}
		return lo, hi, any
	}
	plo, phi, _ := low(c.puts, c.put)
	olo, ohi, _ := low(c.owes, c.owe)
	if len(c.owes) == 0 {
		return plo, phi
	}
	return max(plo, olo), max(phi, ohi)
}

// billed has all use handed out, as who bills would, and holds it against what was counted.
func (k *keepers) billed(res *Kept) {
	got := map[string]float64{}
	for batch := uint64(1); batch <= 2; batch++ { // the second says that the first was taken over
		var a *protocol.Admin
		var err error
		for try := range 20 {
			spot := k.direct.Members[try%len(k.direct.Members)]
			if a, err = server.SendCommand(spot.PeerAddress, &protocol.Admin{Operation: protocol.OperationCollectUsage, Batch: batch}, 3*time.Second); err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if err != nil {
			res.Lost = append(res.Lost, fmt.Sprintf("use: batch %d was not handed out: %v", batch, err))
			return
		}
		for _, u := range a.Usage {
			got[u.Customer] += u.Units
		}
	}
	acked, sent := map[string]float64{}, map[string]float64{}
	for _, u := range k.witness.uses {
		acked[u.customer] += u.acked
		sent[u.customer] += u.sent
	}
	for _, who := range slices.Sorted(maps.Keys(sent)) {
		res.Claims++
		if got[who] < acked[who]-1e-6 {
			res.Lost = append(res.Lost, fmt.Sprintf("use of %s: %g promised, %g handed out", who, acked[who], got[who]))
		}
		if got[who] > sent[who]+1e-6 {
			res.Twice = append(res.Twice, fmt.Sprintf("use of %s: %g counted, %g handed out", who, sent[who], got[who]))
		}
	}
}
