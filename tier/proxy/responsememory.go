package proxy

import (
	"net/http"
	"sync"
	"time"

	"otterseam/tier/memorybudget"
	"otterseam/tier/upstream"
)

const (
	// attemptBytes is the memory of an attempt whose response has a head of ordinary size: the head and the buffer of its connection.
	attemptBytes = upstream.FreeHeadBytes + 4<<10
	// responsePatience is how long a response isn't read while there is no memory for it.
	responsePatience = 500 * time.Millisecond
)

// newResponseBudget returns the budget for what a proxy holds for the responses of hosts. A response of ordinary size never has to yield.
func newResponseBudget(limit int64) *memorybudget.Budget {
	budget := memorybudget.NewBudget(limit)
	budget.MinEvictionBytes = attemptBytes + firstBodyBytes
	return budget
}

// responseMemory is the memory that a request holds for the responses of hosts, during one attempt after another. If an attempt has to
// yield, its connection is closed, and so is that of a client that doesn't read the response.
type responseMemory struct {
	claim   memorybudget.Claim
	starved bool // the current attempt failed because there was no memory for the head of its response

	mu     sync.Mutex          // guards the fields below
	open   bool                // an attempt may have to yield
	lease  *upstream.Lease     // of the attempt; nil before there is one
	client http.ResponseWriter // nil while nothing is being written to the client
}

// begin reserves the memory of an attempt and returns that of the attempt before. It returns an error if there is none.
func (m *responseMemory) begin(budget *memorybudget.Budget) error {
	m.end()
	m.starved = false
	m.mu.Lock()
	m.open = true
	m.mu.Unlock()
	budget.Open(&m.claim, time.Now(), m.yield)
	if err := m.claim.Await(attemptBytes, responsePatience); err != nil {
		m.end()
		return err
	}
	return nil
}

// end gives back the memory of the current attempt, if there is one.
func (m *responseMemory) end() {
	m.mu.Lock()
	m.open = false
	m.lease = nil
	m.mu.Unlock()
	m.claim.Close()
}

// yield ends the attempt, so that its memory is given back.
func (m *responseMemory) yield() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.open {
		return
	}
	if m.lease != nil {
		m.lease.Abort()
	}
	if m.client != nil {
		_ = http.NewResponseController(m.client).SetWriteDeadline(time.Now())
	}
}

// attach sets the lease of the attempt.
func (m *responseMemory) attach(lease *upstream.Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = lease
}

// hasYielded reports whether the current attempt had to yield.
func (m *responseMemory) hasYielded() bool { return m.claim.Evicted() }

// tryReserve reserves memory for the response if there is some now.
func (m *responseMemory) tryReserve(bytes int64) bool { return m.claim.TryReserve(bytes) == nil }

// reserve reserves memory for the response and waits for it if there is none now. It reports whether there was some.
func (m *responseMemory) reserve(bytes int64) bool {
	return m.claim.Await(bytes, responsePatience) == nil
}

// release gives back a part of the memory for the response.
func (m *responseMemory) release(bytes int64) { m.claim.Release(bytes) }

// writing runs a function that writes to the client, which is disconnected if it doesn't read while the attempt has to yield.
func (m *responseMemory) writing(client http.ResponseWriter, write func() error) error {
	m.setClient(client)
	defer m.setClient(nil)
	if m.hasYielded() {
		return memorybudget.ErrEvicted
	}
	return write()
}

func (m *responseMemory) setClient(client http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.client = client
}
