package scenariogen

import (
	"strings"
)

// Loss is a span in which counted machines are lost, with the time that they need to catch up.
type Loss struct {
	From, To float64
	Machines int
}

// lossLedger holds the losses of counted machines in a day.
type lossLedger struct {
	limit   int // machines that may be lost at once
	entries []Loss
}

// fits reports whether the ledger stays within what is tolerated when the loss is added.
func (l *lossLedger) fits(loss Loss) bool { return l.peak(loss) <= l.limit }

// peak is the largest number of machines lost at one moment of the span, the span's own included. The sum of losses only
// rises where one begins, so those moments are enough.
func (l *lossLedger) peak(loss Loss) int {
	most := l.lostAt(loss.From)
	for _, other := range l.entries {
		if other.From > loss.From && other.From < loss.To {
			most = max(most, l.lostAt(other.From))
		}
	}
	return most + loss.Machines
}

// lostAt is how many machines are lost at a moment.
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

// earliest is the first moment from a given one on at which the loss fits, found among the ends of others.
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

// lossOf is the span in which an entry has counted machines lost, with their time to catch up. A kill of all at once may come
// whatever is tolerated and is not counted.
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

// affectsCounted reports whether an entry's machines are counted ones: by their class, or by the kind where it names none.
func (s *Site) affectsCounted(d Disruption, kind kindSpec) bool {
	if d.MachineClass != "" {
		return s.CountsAsLoss(d.MachineClass)
	}
	return kind.affects == affectsCore || kind.affects == affectsDisks || d.Kind == kindRetire
}
