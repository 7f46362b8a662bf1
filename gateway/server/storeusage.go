package server

import (
	"otterseam/gateway/policy"
	quotaclient "otterseam/quotastore/client"
)

// report reports a counter call to the store. It returns false if the store can't be reached now.
func (s *StoreStream) report(call *counterCall, life float64) (ok bool) {
	if !s.isConnected() {
		return false
	}
	call.storeRequest, call.slotsHeld, ok = s.client.ReportUsage(s.loop.now, quotaKey(call.name), call.amount, s.loop.policy.CountedSlots(call.name), life)
	if !ok {
		call.storeRequest = 0
		return false
	}
	s.reports[call.storeRequest] = call
	s.send(s.client.TakeRequests(s.loop.now))
	return true
}

// retract withdraws a reported call that received no total, as the policy will count its amount again. If the call timed out, its
// slots stay reported, because the policy assumes that they were added.
func (s *StoreStream) retract(call *counterCall, outcome policy.Outcome) {
	if call.storeRequest == 0 || outcome == policy.Succeeded {
		return
	}
	delete(s.reports, call.storeRequest)
	s.client.RetractUsage(quotaKey(call.name), call.amount, call.slotsHeld, outcome == policy.TimedOut)
}

// usageReported passes the total to a call. The policy expects the replies for a name in order, so older pending calls on that name
// are reported as timed out first.
func (s *StoreStream) usageReported(outcome quotaclient.Outcome) {
	call := s.reports[outcome.RequestID]
	if call == nil || call.reported {
		return
	}
	delete(s.reports, outcome.RequestID)
	counter := s.loop.counter
	for _, older := range counter.pending {
		if older == call {
			break
		}
		if !older.reported && older.name == call.name {
			counter.report(older, policy.TimedOut, 0)
		}
	}
	switch {
	case outcome.Rejected:
		counter.report(call, policy.Rejected, outcome.Total)
	case outcome.Unknown:
		counter.report(call, policy.Reset, outcome.Total)
	default:
		counter.report(call, policy.Succeeded, outcome.Total)
	}
}

// updateUnreported passes the amounts that were admitted but are in no count yet to the store's client.
func (s *StoreStream) updateUnreported(now float64) {
	if !s.holdsCounts {
		return
	}
	s.client.ClearUnreported()
	s.loop.policy.UnreportedUnits(func(name uint64, units, life float64) {
		s.client.SetUnreported(now, quotaKey(name), units, life)
	})
}

// invocationEnded records that an invocation has received its final response.
func (s *StoreStream) invocationEnded(inv *invocation, status int) {
	if s == nil {
		return
	}
	if inv.markerHeld && !inv.delivered {
		s.client.ReleaseMarker(inv.Ref)
	}
	if s.metersUsage && status == 200 {
		s.client.MeterUsage(inv.Plan+" "+inv.Customer, inv.Units)
	}
}
