package upstream

import (
	"bytes"
	"time"

	"otterseam/tier/memorybudget"
)

// The estimated memory of a head: for each line and byte that is read while it is expected.
const (
	headLineCost = 128
	headByteCost = 2
)

const (
	// FreeHeadBytes is how much of the memory of heads a response may use without a reservation. It suffices for ordinary heads.
	FreeHeadBytes = 12 << 10
	// headReservation is the smallest step in which further memory is reserved.
	headReservation = 16 << 10
	// headPatience is how long a connection is not read while there is no memory for the head that it brings.
	headPatience = 500 * time.Millisecond
)

// headMemory reserves the memory of the heads of one response, including those of interim and unsolicited responses before it.
type headMemory struct {
	claim    *memorybudget.Claim // nil for no limit
	cost     int64
	reserved int64
}

func newHeadMemory(claim *memorybudget.Claim) headMemory {
	return headMemory{claim: claim, reserved: FreeHeadBytes}
}

// add adds bytes that were read, and reserves their memory. The error is one of memorybudget.
func (m *headMemory) add(data []byte) error {
	if m.claim == nil {
		return nil
	}
	m.cost += int64(len(data))*headByteCost + int64(bytes.Count(data, []byte("\n")))*headLineCost
	missing := m.cost - m.reserved
	if missing <= 0 {
		return nil
	}
	missing = max(missing, headReservation)
	if err := m.claim.Await(missing, headPatience); err != nil {
		return err
	}
	m.reserved += missing
	return nil
}
