package hostmodel

import "slices"

// minCoreSpeed keeps the duration of a job finite however slow the host is.
const minCoreSpeed = 1e-6

// toleratedJobs is how many jobs of the largest size in the window may exceed the budget of a cold host.
const toleratedJobs = 2

// Submit runs, queues or rejects a job that has arrived in full.
func (h *Host) Submit(job *Job) {
	h.checkOverload(job)
	switch {
	case h.IsSilent() || h.State == Down:
	case h.State == Draining, h.busy >= h.Cores && h.queue.len() >= h.queueLimit:
		job.OnAnswer(Rejected)
	case h.busy < h.Cores:
		h.run(job)
	default:
		h.queue.push(job)
	}
}

// Cancel removes a queued job. A running job continues.
func (h *Host) Cancel(job *Job) {
	job.cancelled = true
	if job.queued {
		h.queue.remove(job)
	}
}

// run runs a job on a free core.
func (h *Host) run(job *Job) {
	h.busy++
	job.queued = false
	h.running = append(h.running, job)
	job.OnStart()
	duration := job.Work / max(minCoreSpeed, h.CoreSpeed())
	incarnation := h.Incarnation
	h.clock.ScheduleAfter(duration, func() {
		if h.Incarnation != incarnation {
			return
		}
		h.busy--
		h.BusyTime += duration
		i := slices.Index(h.running, job)
		h.running = append(h.running[:i], h.running[i+1:]...)
		h.runQueued()
		if h.answers(job) {
			job.OnAnswer(h.drawAnswer())
		}
	})
}

// runQueued runs queued jobs on the free cores.
func (h *Host) runQueued() {
	for h.busy < h.Cores && h.queue.len() > 0 && !h.IsSilent() {
		h.run(h.queue.pop())
	}
	h.queue.compact()
}

// answers draws whether a finished job is answered at all.
func (h *Host) answers(job *Job) bool {
	silenced := h.faults.silencedOperations[job.Operation]
	return !h.IsSilent() && (silenced == nil || !silenced.Any(h.random.Chance))
}

func (h *Host) drawAnswer() Answer {
	switch {
	case h.faults.failedShares.Any(h.random.Chance):
		return Failed
	case h.faults.corruptedShares.Any(h.random.Chance):
		return Corrupted
	}
	return Succeeded
}

// checkOverload records the jobs that arrive at a cold host. The host goes down, and stays down, when they exceed its budget for the
// window. Rejected jobs count as well.
func (h *Host) checkOverload(job *Job) {
	if h.State == Down || h.Warmth() >= 1 {
		h.arrivals = nil
		return
	}
	now := h.clock.Now()
	window := h.cold.Window.Float()
	h.arrivals = append(h.arrivals, Arrival{At: now, Work: job.Work, Gateway: job.Gateway})
	for len(h.arrivals) > 0 && h.arrivals[0].At < now-window {
		h.arrivals = h.arrivals[1:]
	}
	sum := 0.0
	largest := 0.0
	for _, arrival := range h.arrivals {
		sum += arrival.Work
		largest = max(largest, arrival.Work)
	}
	budget := h.cold.Factor.Float() * float64(h.Cores) * h.CoreSpeed() * window
	if sum <= budget+toleratedJobs*largest {
		return
	}
	arrivals := h.arrivals
	h.Stop()
	if h.OnOverload != nil {
		h.OnOverload(arrivals)
	}
}
