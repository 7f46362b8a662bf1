package fleet

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
	"otterseam/quotastore/server"
	"otterseam/quotastore/statemachine"
)

const (
	// settleTimeout is how long dead holders may take to be given up and their unreported usage to be recovered.
	settleTimeout  = 12 * time.Second
	settleInterval = 100 * time.Millisecond
	// markerTTL is how long a marker is held, in seconds.
	markerTTL = 60
	// expiryMargin is by how much something may expire early, in seconds.
	expiryMargin = 1
	// rounding is by how much sums of units may differ.
	rounding = 1e-6
	// maxUnrecovered is asked for: one unrecovered usage is enough to wait.
	maxUnrecovered = 1

	collectAttempts = 20
	collectTimeout  = 3 * time.Second
	collectInterval = 50 * time.Millisecond
)

// Audit is what became of what the quota store acknowledged. Its JSON keys are those of the reports of earlier versions.
type Audit struct {
	Lost          []string `json:"promised_and_lost"`
	CountedTwice  []string `json:"put_back_twice"`
	SecondEffects []string `json:"second_effects"`
	Claims        int      `json:"claims"` // what was held against the store's state
	Asked         int
	Answered      int // what it had acknowledged
	Refused       int
	Unknown       int
	PutBack       int     `json:"put_back"`
	Took          float64 // seconds until the usage of dead holders was recovered
}

// String says it in one line.
func (a *Audit) String() string {
	return fmt.Sprintf("promised and lost: %d; put back twice: %d; second effects: %d (%d claims; %d asked, %d promised, %d turned away, %d not known)",
		len(a.Lost), len(a.CountedTwice), len(a.SecondEffects), a.Claims, a.Asked, a.Answered, a.Refused, a.Unknown)
}

func (a *Audit) lost(format string, args ...any) {
	a.Lost = append(a.Lost, fmt.Sprintf(format, args...))
}

func (a *Audit) countedTwice(format string, args ...any) {
	a.CountedTwice = append(a.CountedTwice, fmt.Sprintf(format, args...))
}

// groupStates are the states of all groups.
type groupStates []*statemachine.State

// of is the state of the group that a name belongs to.
func (g groupStates) of(name string) *statemachine.State {
	return g[replication.GroupOf(name, len(g))]
}

// audit waits until dead holders are given up and their usage recovered, and holds what the store has against what it acknowledged. It
// must never take for lost what may not have been made.
func (s *store) audit() *Audit {
	a := &Audit{}
	began := time.Now()
	states, err := s.settledStates(began)
	if err != nil {
		a.Lost = append(a.Lost, err.Error())
		return a
	}
	a.Took = time.Since(began).Seconds()
	o := s.observer
	o.mu.Lock()
	defer o.mu.Unlock()
	a.Asked = o.counts.Asked
	a.Answered = o.counts.Answered
	a.Refused = o.counts.Refused
	a.Unknown = o.counts.Unknown
	a.checkClaims(o, states)
	a.checkCounters(o, states)
	a.checkMarkers(o, states)
	a.checkUsage(s)
	return a
}

// errUnreadable is a store of which no snapshot can be taken at the moment.
var errUnreadable = errors.New("the state can't be read")

// settledStates are the states once dead holders are given up and their usage is recovered, or the last ones after settleTimeout. Where
// no group can be read then, all of it counts as gone.
func (s *store) settledStates(began time.Time) (groupStates, error) {
	for {
		states, settled, err := s.readStates()
		if err != nil && !errors.Is(err, errUnreadable) {
			return nil, err
		}
		if settled || time.Since(began) > settleTimeout {
			for len(states) < s.config.Groups {
				states = append(states, statemachine.New())
			}
			return states, nil
		}
		time.Sleep(settleInterval)
	}
}

// readStates reads the states of all groups; settled is whether no usage of a dead holder is to be recovered. It returns errUnreadable if
// no snapshot can be taken.
func (s *store) readStates() (states groupStates, settled bool, err error) {
	snapshot, err := server.TakeSnapshot(s.config, time.Now())
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	settled = true
	for group := range snapshot.Groups {
		state, err := statemachine.Restore(snapshot.States[group])
		if err != nil {
			return nil, false, err
		}
		states = append(states, state)
		settled = settled && !state.HasLiveHolder() && len(state.UnrecoveredUsage(maxUnrecovered)) == 0
	}
	return states, settled, nil
}

// isAlive says whether something that was made at a time and lives so many seconds can't have expired.
func isAlive(made time.Time, ttl float64) bool { return time.Since(made).Seconds() < ttl-expiryMargin }

// checkClaims checks what each holder reported of each name, and that the totals are the sums of that.
func (a *Audit) checkClaims(o *observer, states groupStates) {
	sums := map[string]float64{}
	for _, key := range slices.Sorted(maps.Keys(o.claims)) {
		c := o.claims[key]
		if !isAlive(c.first, c.ttl) {
			continue
		}
		held := states.of(c.name).HolderTotal(c.name, c.holder)
		least, most := c.bounds()
		a.Claims++
		if held < least-rounding {
			a.lost("count %s: %s was promised %g and has %g", c.name, c.holder, least, held)
		}
		if held > most+rounding {
			a.countedTwice("count %s: %s told of %g and has %g", c.name, c.holder, most, held)
		}
		sums[c.name] += held
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		if total, ok := states.of(name).Total(name); ok && math.Abs(total-sums[name]) > rounding {
			a.countedTwice("count %s: its holders have %g, its total is %g", name, sums[name], total)
		}
	}
}

// checkCounters checks the totals of names in the counter's protocol.
func (a *Audit) checkCounters(o *observer, states groupStates) {
	for _, name := range slices.Sorted(maps.Keys(o.counters)) {
		c := o.counters[name]
		if !isAlive(c.first, c.ttl) {
			continue
		}
		a.Claims++
		total, _ := states.of(name).Total(name)
		if least := c.acked + c.pendingLeast; total < least-rounding {
			a.lost("count %s: %g promised, at least %g wanted, %g there", name, c.acked, least, total)
		}
		if most := c.acked + c.pendingMost; total > most+rounding {
			a.countedTwice("count %s: %g promised, at most %g wanted, %g there", name, c.acked, most, total)
		}
	}
}

// checkMarkers checks that markers which are held are there, each with one holder.
func (a *Audit) checkMarkers(o *observer, states groupStates) {
	for _, ref := range slices.Sorted(maps.Keys(o.markers)) {
		m := o.markers[ref]
		if len(m.holders) == 0 {
			continue
		}
		a.Claims++
		if !states.of(ref).HasMarker(ref) && isAlive(m.acquired, markerTTL) {
			a.lost("the mark of %s, held for %s", ref, m.holders[0])
		}
		if len(m.holders) > 1 {
			a.SecondEffects = append(a.SecondEffects, fmt.Sprintf("%s may be delivered by %s", ref, strings.Join(m.holders, " and ")))
		}
	}
}

// bounds are between what a holder's part must lie: its last report that was acknowledged, or one of those after it; and what it had not
// reported, likewise.
func (c *claim) bounds() (least, most float64) {
	least, most = boundsOf(c.reported, c.ackedReported)
	if len(c.unreported) == 0 {
		return least, most
	}
	leastUnreported, mostUnreported := boundsOf(c.unreported, c.ackedUnreported)
	return max(least, leastUnreported), max(most, mostUnreported)
}

// boundsOf are the least and most of what may hold: amounts of the acknowledged version and later ones. Without one, none may have come.
func boundsOf(amounts []versioned, acked uint64) (least, most float64) {
	least = math.Inf(1)
	most = math.Inf(-1)
	for _, amount := range amounts {
		if amount.version >= acked {
			least = min(least, amount.units)
			most = max(most, amount.units)
		}
	}
	if acked == 0 {
		least = min(least, 0)
		most = max(most, 0)
	}
	return least, most
}

// checkUsage has all metered usage handed out, as billing does, and holds it against what was metered.
func (a *Audit) checkUsage(s *store) {
	collected := map[string]float64{}
	for batch := uint64(1); batch <= 2; batch++ { // the second acknowledges the first
		answer, err := s.collectUsage(batch)
		if err != nil {
			a.lost("use: batch %d was not handed out: %v", batch, err)
			return
		}
		for _, u := range answer.Usage {
			collected[u.Customer] += u.Units
		}
	}
	acked := map[string]float64{}
	sent := map[string]float64{}
	for _, u := range s.observer.usage {
		acked[u.customer] += u.acked
		sent[u.customer] += u.sent
	}
	for _, customer := range slices.Sorted(maps.Keys(sent)) {
		a.Claims++
		if collected[customer] < acked[customer]-rounding {
			a.lost("use of %s: %g promised, %g handed out", customer, acked[customer], collected[customer])
		}
		if collected[customer] > sent[customer]+rounding {
			a.countedTwice("use of %s: %g counted, %g handed out", customer, sent[customer], collected[customer])
		}
	}
}

// collectUsage asks one member after another for a batch of usage.
func (s *store) collectUsage(batch uint64) (answer *protocol.Admin, err error) {
	command := protocol.Admin{Operation: protocol.OperationCollectUsage, Batch: batch}
	for attempt := range collectAttempts {
		member := s.config.Members[attempt%len(s.config.Members)]
		asked := command
		if answer, err = server.SendCommand(member.PeerAddress, &asked, collectTimeout); err == nil {
			return answer, nil
		}
		time.Sleep(collectInterval)
	}
	return nil, err
}
