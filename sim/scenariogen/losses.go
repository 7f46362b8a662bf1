package scenariogen

import "strings"

// Loss is a span in which counted machines are lost, with the time that they need to catch up.
type Loss struct {
	From, To float64
	Machines int
}

// losses is a ledger of the counted machines that a day loses.
type losses struct {
	most int // that may be lost at once
	held []Loss
}

// fits says whether the ledger stays within what is tolerated when the loss is added.
func (l *losses) fits(loss Loss) bool { return l.mostAt(loss) <= l.most }

// mostAt is the largest number of machines lost at one moment of the span, the span's own included. The sum of losses only
// rises where one begins, so those moments are enough.
func (l *losses) mostAt(loss Loss) int {
	most := l.sumAt(loss.From)
	for _, other := range l.held {
		if other.From > loss.From && other.From < loss.To {
			most = max(most, l.sumAt(other.From))
		}
	}
	return most + loss.Machines
}

func (l *losses) sumAt(at float64) (sum int) {
	for _, other := range l.held {
		if other.From <= at && at < other.To {
			sum += other.Machines
		}
	}
	return sum
}

func (l *losses) add(loss Loss) { l.held = append(l.held, loss) }

// earliest is the first moment from a given one on at which the loss fits, found among the ends of others.
func (l *losses) earliest(loss Loss) float64 {
	best, found := loss.From, l.fits(loss)
	for _, other := range l.held {
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
// whatever is tolerated and is not booked.
func (s *Site) lossOf(d Disruption) (Loss, bool) {
	sp, known := specs[d.Kind]
	if !known {
		sp = spec{loses: d.On != "" && s.Counted(d.On)}
	}
	counted := s.Counted(d.On) || d.On == "" && (sp.target == targetCore || sp.target == targetDisks || d.Kind == kindRetire)
	if !sp.loses || !counted {
		return Loss{}, false
	}
	lost := Loss{From: d.At, To: d.At + max(1, d.ForS) + s.CatchUpS, Machines: max(1, min(d.Count, s.Machines))}
	switch d.Kind {
	case kindAddNodes:
		lost.To = d.At + s.CatchUpS
	case kindReplaceCore:
		lost.To = d.At + d.X + 1 + s.CatchUpS
	case kindRollTerm:
		lost.To = d.At + 3*d.GapS + s.CatchUpS
	case kindRetire:
		if strings.Contains(d.How, wipingVariant) {
			lost.Machines = s.Machines
			lost.To += s.CatchUpS
		}
	}
	return lost, true
}
