package netproxy

// Direction is one of the two directions of a link.
type Direction int

// Directions of a link.
const (
	Forward  Direction = iota // from the process that opens connections to the one that takes them
	Backward                  // the other way
	directionCount
)

// opposite is the other direction. As the number of an end of a connection it is the end that a direction leads to.
func (d Direction) opposite() Direction { return 1 - d }

// Fault is what happens to one direction of a link while it is set there. Several may be set at once: delays and jitters add up, of
// rates the lowest counts, of probabilities the highest.
type Fault struct {
	Stall                bool    // nothing passes until the fault is removed; datagrams are lost
	BlockConnects        bool    // new connections are never established, and nobody is told
	RefuseConnects       bool    // new connections are refused
	Delay                float64 // seconds
	Jitter               float64 // mean of an exponentially distributed delay on top, seconds
	Rate                 float64 // bytes per second; 0: no limit
	LossProbability      float64 // of a datagram
	DuplicateProbability float64 // of a datagram
	ReorderProbability   float64 // of a datagram, which then comes later by Delay; the others aren't delayed
}

// add puts another fault in force beside this one.
func (f *Fault) add(other *Fault) {
	f.Stall = f.Stall || other.Stall
	f.BlockConnects = f.BlockConnects || other.BlockConnects
	f.RefuseConnects = f.RefuseConnects || other.RefuseConnects
	f.Delay += other.Delay
	f.Jitter += other.Jitter
	if other.Rate > 0 && (f.Rate == 0 || other.Rate < f.Rate) {
		f.Rate = other.Rate
	}
	f.LossProbability = max(f.LossProbability, other.LossProbability)
	f.DuplicateProbability = max(f.DuplicateProbability, other.DuplicateProbability)
	f.ReorderProbability = max(f.ReorderProbability, other.ReorderProbability)
}
