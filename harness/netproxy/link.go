package netproxy

import (
	"sync"
	"time"

	"otterseam/sim/randstream"
)

// Link is the way between two processes, from the one that opens connections to the other.
type Link struct {
	From string
	To   string

	listener *listener // of streams; nil: the link has none

	mu          sync.Mutex // guards all below
	changed     *sync.Cond // faults, connections or the link's end
	faults      [directionCount]map[*Fault]bool
	random      randstream.Stream
	connections map[*connection]bool
	closed      bool
}

// NewLink makes a link without faults. seed fixes its random draws, together with the names of both ends.
func NewLink(from, to string, seed uint64) *Link {
	l := &Link{
		From:        from,
		To:          to,
		random:      randstream.New(seed, from+">"+to),
		connections: map[*connection]bool{},
	}
	l.changed = sync.NewCond(&l.mu)
	for direction := range l.faults {
		l.faults[direction] = map[*Fault]bool{}
	}
	return l
}

// Name names the link by its ends.
func (l *Link) Name() string { return l.From + " > " + l.To }

// AddFault puts a fault in force for one direction, until RemoveFault is called with the same pointer.
func (l *Link) AddFault(direction Direction, fault *Fault) {
	l.mu.Lock()
	l.faults[direction][fault] = true
	l.mu.Unlock()
	l.faultsChanged()
}

// RemoveFault takes a fault back. What it stalled goes on.
func (l *Link) RemoveFault(direction Direction, fault *Fault) {
	l.mu.Lock()
	delete(l.faults[direction], fault)
	l.mu.Unlock()
	l.faultsChanged()
}

func (l *Link) faultsChanged() {
	l.changed.Broadcast()
	if l.listener != nil {
		l.listener.update()
	}
}

// faultLocked is all that is in force for a direction. Called with mu held.
func (l *Link) faultLocked(direction Direction) Fault {
	var total Fault
	for fault := range l.faults[direction] {
		total.add(fault)
	}
	return total
}

// connectFaults tells whether new connections are blocked without notice, and whether they are refused.
func (l *Link) connectFaults() (blocked, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	forward := l.faultLocked(Forward)
	backward := l.faultLocked(Backward)
	return forward.BlockConnects || backward.BlockConnects, forward.RefuseConnects || backward.RefuseConnects
}

// waitToPass waits until size bytes that arrived at a moment may go on. It returns false if the link or the connection, as isClosed
// tells, has ended meanwhile.
func (l *Link) waitToPass(direction Direction, size int, arrived time.Time, isClosed func() bool) bool {
	l.mu.Lock()
	fault := l.faultLocked(direction)
	delay := fault.Delay
	if fault.Jitter > 0 {
		delay += l.random.Exponential(fault.Jitter)
	}
	l.mu.Unlock()
	if fault.Rate > 0 {
		arrived = time.Now() // one piece after another
		delay += float64(size) / fault.Rate
	}
	if delay > 0 {
		time.Sleep(time.Until(arrived.Add(seconds(delay))))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.faultLocked(direction).Stall && !l.closed && !isClosed() {
		l.changed.Wait()
	}
	return !l.closed && !isClosed()
}

func seconds(s float64) time.Duration { return time.Duration(s * 1e9) }

// Connections is how many connections lead over the link.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// forEachConnection calls do for all connections that there are now, and returns their number.
func (l *Link) forEachConnection(do func(c *connection)) int {
	l.mu.Lock()
	var all []*connection
	for c := range l.connections {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		do(c)
	}
	return len(all)
}

// ResetConnections resets each connection in the middle of the next message of a direction, or after a time in seconds if none
// comes until then. It returns how many connections there are.
func (l *Link) ResetConnections(direction Direction, within float64) int {
	return l.forEachConnection(func(c *connection) {
		c.pipes[direction].truncateNext()
		time.AfterFunc(seconds(within), func() { c.close(true) })
	})
}

// HalfOpenConnections closes the end of each connection that a direction leads to. The other end isn't told and goes on waiting. It
// returns how many connections there are.
func (l *Link) HalfOpenConnections(direction Direction) int {
	return l.forEachConnection(func(c *connection) { c.closeEnd(direction.opposite()) })
}

// Close ends the link with its listener and connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.changed.Broadcast()
	if l.listener != nil {
		l.listener.close()
	}
	l.forEachConnection(func(c *connection) { c.close(true) })
}
