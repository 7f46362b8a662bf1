package netproxy

// Direction is one of the two directions of a link.
type Direction int

// Directions of a link.
const (
	Forward  Direction = iota // from the process that opens connections to the one that accepts them
	Backward                  // the opposite direction
	directionCount
)

// opposite returns the other direction. As the number of a connection's end, it is the end that receives the data of direction d.
func (d Direction) opposite() Direction { return 1 - d }

// Fault describes the network faults of one direction of a link. Several may be in force at once: their delays and jitters add up, and
// the lowest rate and the highest of each probability apply.
type Fault struct {
	Stall                bool    // no data is forwarded until the fault is removed; datagrams are lost
	BlockConnects        bool    // new connections are never established, without an error to the connecting process
	RefuseConnects       bool    // new connections are refused
	Delay                float64 // seconds
	Jitter               float64 // mean of an additional, exponentially distributed delay, seconds
	Rate                 float64 // bytes per second; 0: no limit
	LossProbability      float64 // of a datagram
	DuplicateProbability float64 // of a datagram
	ReorderProbability   float64 // of a datagram, which is then delayed by Delay; the others aren't delayed
}

// add combines another fault with this one.
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
