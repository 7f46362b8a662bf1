package server

import (
	"otterseam/gateway/policy"
	quotaclient "otterseam/quotastore/client"
)

// report tells the store of a call to the counter; false: it can't be told now.
func (s *StoreStream) report(call *counterCall, life float64) (ok bool) {
	if !s.isConnected() {
		return false
	}
	call.storeRequest, call.slotsHeld, ok = s.client.ReportUsage(s.loop.now, quotaName(call.name), call.amount, s.loop.policy.CountedSlots(call.name), life)
	if !ok {
		call.storeRequest = 0
		return false
	}
	s.reports[call.storeRequest] = call
	s.send(s.client.TakeRequests(s.loop.now))
	return true
}

// retract takes back a reported call that got no total, as the policy will count it again. The slots of one that timed out stay, as
// the policy takes them for added.
func (s *StoreStream) retract(call *counterCall, outcome policy.Outcome) {
	if call.storeRequest == 0 || outcome == policy.Succeeded {
		return
	}
	delete(s.reports, call.storeRequest)
	s.client.RetractUsage(quotaName(call.name), call.amount, call.slotsHeld, outcome == policy.TimedOut)
}

// usageReported hands a call its total. The policy takes the answers for a name in their order, so older calls on it time out.
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

// noteUnreported tells the store's client what was admitted and is in no count yet.
func (s *StoreStream) noteUnreported(now float64) {
	if !s.holdsCounts {
		return
	}
	s.client.ClearUnreported()
	s.loop.policy.UnreportedUnits(func(name uint64, units, life float64) {
		s.client.SetUnreported(now, quotaName(name), units, life)
	})
}

// invocationEnded notes that an invocation has its final answer.
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
