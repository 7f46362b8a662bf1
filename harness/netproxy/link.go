package netproxy

import (
	"sync"
	"time"

	"otterseam/sim/randstream"
)

// Link is the network path between two processes. From is the process that opens connections, To the one that accepts them.
type Link struct {
	From string
	To   string

	listener *listener // accepts streams; nil: the link has no listener

	mu          sync.Mutex // guards all below
	changed     *sync.Cond // broadcasts changes of faults, connections and closed
	faults      [directionCount]map[*Fault]bool
	random      randstream.Stream
	connections map[*connection]bool
	closed      bool
}

// NewLink returns a link without faults. Its random draws depend only on seed and the names of both ends.
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

// Name returns a name made of the names of both ends.
func (l *Link) Name() string { return l.From + " > " + l.To }

// AddFault puts a fault in force for one direction, until RemoveFault is called with the same pointer.
func (l *Link) AddFault(direction Direction, fault *Fault) {
	l.mu.Lock()
	l.faults[direction][fault] = true
	l.mu.Unlock()
	l.faultsChanged()
}

// RemoveFault removes a fault. Data that it stalled is forwarded.
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

// faultLocked returns the combination of all faults in force for a direction. The caller holds mu.
func (l *Link) faultLocked(direction Direction) Fault {
	var total Fault
	for fault := range l.faults[direction] {
		total.add(fault)
	}
	return total
}

// connectFaults reports whether new connections are blocked and whether they are refused.
func (l *Link) connectFaults() (blocked, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	forward := l.faultLocked(Forward)
	backward := l.faultLocked(Backward)
	return forward.BlockConnects || backward.BlockConnects, forward.RefuseConnects || backward.RefuseConnects
}

// waitToForward waits until the faults allow size bytes that arrived at a given time to be forwarded. It returns false if the link was
// closed meanwhile, or the connection as reported by isClosed.
func (l *Link) waitToForward(direction Direction, size int, arrived time.Time, isClosed func() bool) bool {
	l.mu.Lock()
	fault := l.faultLocked(direction)
	delay := fault.Delay
	if fault.Jitter > 0 {
		delay += l.random.Exponential(fault.Jitter)
	}
	l.mu.Unlock()
	if fault.Rate > 0 {
		arrived = time.Now() // segments are sent one after another
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

// Connections returns the number of connections over the link.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// forEachConnection calls do for each current connection and returns their number.
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

// ResetConnections resets each connection in the middle of the next segment of a direction, or after within seconds if no segment comes
// before then. It returns the number of connections.
func (l *Link) ResetConnections(direction Direction, within float64) int {
	return l.forEachConnection(func(c *connection) {
		c.pipes[direction].truncateNext()
		time.AfterFunc(seconds(within), func() { c.close(true) })
	})
}

// HalfOpenConnections closes the end of each connection that receives the data of a direction. The other end isn't notified and stays
// open. It returns the number of connections.
func (l *Link) HalfOpenConnections(direction Direction) int {
	return l.forEachConnection(func(c *connection) { c.closeEnd(direction.opposite()) })
}

// Close closes the link with its listener and connections.
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
