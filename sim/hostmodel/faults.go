package hostmodel

import "otterseam/sim/overlap"

// faults holds the faults in force at a host.
type faults struct {
	silences           int
	slowdowns          overlap.Values
	failedShares       overlap.Values
	corruptedShares    overlap.Values
	connectionFactors  overlap.Values
	silencedOperations map[int]*overlap.Values
}

// The methods below begin a fault, or end one that began with the same arguments. Faults may overlap and end in any order.

// Silence stops all answers of the host. Queued jobs stay queued, and jobs that end during the fault are never answered.
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

// SlowDown divides the speed of the host by factor.
func (h *Host) SlowDown(factor float64, begin bool) { h.faults.slowdowns.Toggle(factor, begin) }

// FailShare makes the host answer a share of the jobs with an error.
func (h *Host) FailShare(share float64, begin bool) { h.faults.failedShares.Toggle(share, begin) }

// CorruptShare corrupts a share of the host's answers, so that they cannot be parsed.
func (h *Host) CorruptShare(share float64, begin bool) { h.faults.corruptedShares.Toggle(share, begin) }

// ScaleConnectionLimit multiplies the host's connection limit by factor.
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
