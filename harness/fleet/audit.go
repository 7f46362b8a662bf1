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
	// settleTimeout limits the wait until dead holders are expired and their unreported usage is recovered.
	settleTimeout  = 12 * time.Second
	settleInterval = 100 * time.Millisecond
	// markerTTL is how long a marker is held, in seconds.
	markerTTL = 60
	// expiryMargin is how much early something may expire, in seconds.
	expiryMargin = 1
	// amountTolerance is how much sums of units may differ, since they are rounded.
	amountTolerance = 1e-6
	// unrecoveredLimit is how many unrecovered usages are queried: one is enough to keep waiting.
	unrecoveredLimit = 1

	collectAttempts = 20
	collectTimeout  = 3 * time.Second
	collectInterval = 50 * time.Millisecond
)

// Audit compares what the quota store acknowledged with what it holds. Its JSON keys are those of the reports of earlier versions.
type Audit struct {
	Lost          []string `json:"promised_and_lost"`
	CountedTwice  []string `json:"put_back_twice"`
	SecondEffects []string `json:"second_effects"`
	Claims        int      `json:"claims"` // number of claims checked against the store's state
	Asked         int
	Answered      int // requests that were acknowledged
	Refused       int
	Unknown       int
	PutBack       int     `json:"put_back"`
	Took          float64 // seconds until the usage of dead holders was recovered
}

// String returns a summary in one line.
func (a *Audit) String() string {
	return fmt.Sprintf("promised and lost: %d; put back twice: %d; second effects: %d (%d claims; %d asked, %d promised, %d turned away, %d not known)",
		len(a.Lost), len(a.CountedTwice), len(a.SecondEffects), a.Claims, a.Asked, a.Answered, a.Refused, a.Unknown)
}

func (a *Audit) addLost(format string, args ...any) {
	a.Lost = append(a.Lost, fmt.Sprintf(format, args...))
}

func (a *Audit) addCountedTwice(format string, args ...any) {
	a.CountedTwice = append(a.CountedTwice, fmt.Sprintf(format, args...))
}

// groupStates are the states of all groups, by group.
type groupStates []*statemachine.State

// stateOf returns the state of the group that a name belongs to.
func (g groupStates) stateOf(name string) *statemachine.State {
	return g[replication.GroupOf(name, len(g))]
}

// audit waits until dead holders are expired and their usage is recovered, and compares what the store holds with what it acknowledged. It
// must never report as lost what may never have been stored.
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

// errUnreadable is returned if no snapshot of the store can be taken at the moment.
var errUnreadable = errors.New("can't read the state of the quota store")

// settledStates returns the states once dead holders are expired and their usage is recovered, or the last states read after settleTimeout.
// If no snapshot can be taken then, all groups count as empty.
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

// readStates reads the states of all groups. settled reports whether no group has a live holder or usage of a dead one to recover. It
// returns errUnreadable if no snapshot can be taken.
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
		settled = settled && !state.HasLiveHolder() && len(state.UnrecoveredUsage(unrecoveredLimit)) == 0
	}
	return states, settled, nil
}

// isLive reports whether something that was made at a time, with a TTL in seconds, can't have expired.
func isLive(made time.Time, ttl float64) bool { return time.Since(made).Seconds() < ttl-expiryMargin }

// checkClaims checks what the store holds for each holder and name against the holder's reports, and that each total is the sum over its
// holders.
func (a *Audit) checkClaims(o *observer, states groupStates) {
	sums := map[string]float64{}
	for _, key := range slices.Sorted(maps.Keys(o.claims)) {
		c := o.claims[key]
		if !isLive(c.first, c.ttl) {
			continue
		}
		held := states.stateOf(c.name).HolderTotal(c.name, c.holder)
		least, most := c.bounds()
		a.Claims++
		if held < least-amountTolerance {
			a.addLost("count %s: %s was promised %g and has %g", c.name, c.holder, least, held)
		}
		if held > most+amountTolerance {
			a.addCountedTwice("count %s: %s told of %g and has %g", c.name, c.holder, most, held)
		}
		sums[c.name] += held
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		if total, ok := states.stateOf(name).Total(name); ok && math.Abs(total-sums[name]) > amountTolerance {
			a.addCountedTwice("count %s: its holders have %g, its total is %g", name, sums[name], total)
		}
	}
}

// checkCounters checks the totals of names in the counter's protocol.
func (a *Audit) checkCounters(o *observer, states groupStates) {
	for _, name := range slices.Sorted(maps.Keys(o.counters)) {
		c := o.counters[name]
		if !isLive(c.first, c.ttl) {
			continue
		}
		a.Claims++
		total, _ := states.stateOf(name).Total(name)
		if least := c.acked + c.pendingLeast; total < least-amountTolerance {
			a.addLost("count %s: %g promised, at least %g wanted, %g there", name, c.acked, least, total)
		}
		if most := c.acked + c.pendingMost; total > most+amountTolerance {
			a.addCountedTwice("count %s: %g promised, at most %g wanted, %g there", name, c.acked, most, total)
		}
	}
}

// checkMarkers checks that each marker with a holder exists, and that it has no more than one holder.
func (a *Audit) checkMarkers(o *observer, states groupStates) {
	for _, ref := range slices.Sorted(maps.Keys(o.markers)) {
		m := o.markers[ref]
		if len(m.holders) == 0 {
			continue
		}
		a.Claims++
		if !states.stateOf(ref).HasMarker(ref) && isLive(m.acquired, markerTTL) {
			a.addLost("the mark of %s, held for %s", ref, m.holders[0])
		}
		if len(m.holders) > 1 {
			a.SecondEffects = append(a.SecondEffects, fmt.Sprintf("%s may be delivered by %s", ref, strings.Join(m.holders, " and ")))
		}
	}
}

// bounds returns the least and the most that the store may hold for the holder. Its reported and unreported amounts may each be that of the
// last acknowledged report or of a later one. The larger of the two counts.
func (c *claim) bounds() (least, most float64) {
	least, most = boundsOf(c.reported, c.ackedReported)
	if len(c.unreported) == 0 {
		return least, most
	}
	leastUnreported, mostUnreported := boundsOf(c.unreported, c.ackedUnreported)
	return max(least, leastUnreported), max(most, mostUnreported)
}

// boundsOf returns the least and the most among the amounts of the acknowledged version and later ones. Without an acknowledged version, it
// includes 0, since none may have arrived.
func boundsOf(amounts []versionedAmount, acked uint64) (least, most float64) {
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

// checkUsage collects all metered usage, as billing does, and compares it with what was metered.
func (a *Audit) checkUsage(s *store) {
	collected := map[string]float64{}
	for batch := uint64(1); batch <= 2; batch++ { // the second acknowledges the first
		answer, err := s.collectUsage(batch)
		if err != nil {
			a.addLost("use: batch %d was not handed out: %v", batch, err)
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
		if collected[customer] < acked[customer]-amountTolerance {
			a.addLost("use of %s: %g promised, %g handed out", customer, acked[customer], collected[customer])
		}
		if collected[customer] > sent[customer]+amountTolerance {
			a.addCountedTwice("use of %s: %g counted, %g handed out", customer, sent[customer], collected[customer])
		}
	}
}

// collectUsage requests a batch of usage from one member after another until one answers.
func (s *store) collectUsage(batch uint64) (answer *protocol.Admin, err error) {
	command := protocol.Admin{Operation: protocol.OperationCollectUsage, Batch: batch}
	for attempt := range collectAttempts {
		member := s.config.Members[attempt%len(s.config.Members)]
		request := command
		if answer, err = server.SendCommand(member.PeerAddress, &request, collectTimeout); err == nil {
			return answer, nil
		}
		time.Sleep(collectInterval)
	}
	return nil, err
}
