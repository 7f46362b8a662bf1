package scenariogen

import (
	"strings"
)

// Loss is a period in which counted machines are lost, including the time that they need to catch up. Counted machines are those whose
// loss counts towards what the deployment tolerates; see Site.CountsAsLoss.
type Loss struct {
	From, To float64
	Machines int
}

// lossLedger records the losses of counted machines in a day.
type lossLedger struct {
	limit   int // maximum number of machines lost at once
	entries []Loss
}

// fits reports whether the loss can be added without exceeding the limit.
func (l *lossLedger) fits(loss Loss) bool { return l.peak(loss) <= l.limit }

// peak returns the largest number of machines lost at once during the loss, including its own. The number only rises when a loss
// begins, so it is enough to check those times.
func (l *lossLedger) peak(loss Loss) int {
	most := l.lostAt(loss.From)
	for _, other := range l.entries {
		if other.From > loss.From && other.From < loss.To {
			most = max(most, l.lostAt(other.From))
		}
	}
	return most + loss.Machines
}

// lostAt returns the number of machines that are lost at a time.
func (l *lossLedger) lostAt(at float64) int {
	sum := 0
	for _, other := range l.entries {
		if other.From <= at && at < other.To {
			sum += other.Machines
		}
	}
	return sum
}

func (l *lossLedger) add(loss Loss) { l.entries = append(l.entries, loss) }

// earliest returns the earliest time, not before loss.From, at which the loss fits. Only loss.From and the ends of recorded losses are
// candidates. If none of them fits, it returns loss.From.
func (l *lossLedger) earliest(loss Loss) float64 {
	best, found := loss.From, l.fits(loss)
	for _, other := range l.entries {
		if other.To <= loss.From || found && other.To >= best {
			continue
		}
		moved := Loss{From: other.To, To: other.To + loss.To - loss.From, Machines: loss.Machines}
		if l.fits(moved) {
			best, found = moved.From, true
		}
	}
	return best
}

// lossOf returns the loss of counted machines that a disruption causes, and whether there is one. A kill of all machines at once is
// allowed regardless of the tolerated number and is not counted.
func (s *Site) lossOf(d Disruption) (Loss, bool) {
	kind, known := kindSpecs[d.Kind]
	if !known {
		kind = kindSpec{losesMachines: d.MachineClass != "" && s.CountsAsLoss(d.MachineClass)}
	}
	if !kind.losesMachines || !s.affectsCounted(d, kind) {
		return Loss{}, false
	}
	lost := Loss{From: d.At, To: d.At + max(1, d.Duration) + s.CatchUp, Machines: max(1, min(d.Count, s.ToleratedMachines))}
	switch d.Kind {
	case kindAddNodes:
		lost.To = d.At + s.CatchUp
	case kindReplaceCore:
		lost.To = d.At + d.Magnitude + 1 + s.CatchUp
	case kindRollTerm:
		lost.To = d.At + rollingRestartSteps*d.Interval + s.CatchUp
	case kindRetire:
		if strings.Contains(d.Variant, wipingVariant) {
			lost.Machines = s.ToleratedMachines
			lost.To += s.CatchUp
		}
	}
	return lost, true
}

// affectsCounted reports whether a disruption affects counted machines. If it names no machine class, its kind decides.
func (s *Site) affectsCounted(d Disruption, kind kindSpec) bool {
	if d.MachineClass != "" {
		return s.CountsAsLoss(d.MachineClass)
	}
	return kind.affects == affectsCore || kind.affects == affectsDisks || d.Kind == kindRetire
}
