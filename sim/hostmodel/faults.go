package hostmodel

import "otterseam/sim/overlap"

// faults are those in force at a host now.
type faults struct {
	silences           int
	slowdowns          overlap.Values
	failedShares       overlap.Values
	corruptedShares    overlap.Values
	connectionFactors  overlap.Values
	silencedOperations map[int]*overlap.Values
}

// The methods below begin a fault, or end one that began with the same arguments. Faults overlap and end in any order.

// Silence makes the host answer nothing. Jobs that wait go on waiting; those that end meanwhile are never answered.
func (h *Host) Silence(begin bool) {
	if begin {
		h.faults.silences++
		return
	}
	h.faults.silences--
	if h.faults.silences == 0 {
		h.runQueued()
	}
}

// SlowDown makes the host so many times slower.
func (h *Host) SlowDown(factor float64, begin bool) { h.faults.slowdowns.Toggle(factor, begin) }

// FailShare makes the host answer a share of the jobs with an error.
func (h *Host) FailShare(share float64, begin bool) { h.faults.failedShares.Toggle(share, begin) }

// CorruptShare makes a share of the host's answers unreadable.
func (h *Host) CorruptShare(share float64, begin bool) { h.faults.corruptedShares.Toggle(share, begin) }

// ScaleConnectionLimit leaves the host a part of its connections.
func (h *Host) ScaleConnectionLimit(factor float64, begin bool) {
	h.faults.connectionFactors.Toggle(factor, begin)
}

// SilenceOperation leaves a share of one operation's jobs unanswered.
func (h *Host) SilenceOperation(operation int, share float64, begin bool) {
	if h.faults.silencedOperations[operation] == nil {
		h.faults.silencedOperations[operation] = &overlap.Values{}
	}
	h.faults.silencedOperations[operation].Toggle(share, begin)
}
