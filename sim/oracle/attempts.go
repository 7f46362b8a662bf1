package oracle

import (
	"fmt"

	"otterseam/sim/model"
)

// AttemptSent checks an attempt when an api gateway sends it.
func (o *Oracle) AttemptSent(attempt *model.Attempt) {
	invocation := attempt.Invocation
	now := o.now()
	if invocation.Outcome != model.Pending {
		o.addViolation(ruleOneAnswer, invocation.Ref, "%s is sent to a host after its final answer", invocation.Ref)
	}
	if now > invocation.GiveUpAt+Tolerance {
		o.addViolation(ruleOneAnswer, invocation.Ref, "%s is sent to a host after its client gave up", invocation.Ref)
	}
	last, known := o.hostStates[invocation.Gateway][attempt.Host]
	if known && last.state != model.HostActive && now > last.learnedAt+o.scenario.Gateway.DrainGrace.Float()+Tolerance {
		o.addViolation(ruleLeavingHosts, invocation.Ref, "%s is sent to host %d, %s for %.3f s",
			invocation.Ref, attempt.Host, last.state, now-last.learnedAt)
	}
	for _, other := range invocation.Attempts {
		if other != attempt && !other.Ended && !o.AllowsHedging {
			o.ConcurrentAttempts(invocation)
		}
	}
	o.CheckRetry(attempt)
}

// ConcurrentAttempts reports two attempts of one invocation in flight at once. Callers other than AttemptSent report overlaps that
// AttemptSent cannot detect, such as two attempts at the hosts for longer than message delays explain.
func (o *Oracle) ConcurrentAttempts(invocation *model.Invocation) {
	o.addViolation(ruleEffect, invocation.Ref, "%s has two deliveries out at once", invocation.Ref)
}

// CheckRetry checks only whether an attempt may follow the earlier ones. It is the only check that applies to an attempt that was
// delayed on its way.
func (o *Oracle) CheckRetry(attempt *model.Attempt) {
	if fault := o.retryFault(attempt); fault != "" {
		invocation := attempt.Invocation
		o.addViolation(ruleEffect, invocation.Ref, "%s, %s, is sent on again %s", invocation.Ref, invocation.Request.Operation.Effect, fault)
	}
}

// retryFault describes why a further attempt is not allowed. It returns "" if the attempt is allowed.
func (o *Oracle) retryFault(attempt *model.Attempt) string {
	operation := attempt.Invocation.Request.Operation
	for _, earlier := range attempt.Invocation.Attempts {
		if earlier == attempt || earlier.ProvenNotRun {
			continue
		}
		switch operation.Effect {
		case model.EffectNonIdempotent:
			return fmt.Sprintf("though delivery %d may have run", earlier.Number)
		case model.EffectTokened:
			if o.now() > earlier.SentAt+operation.TokenTime.Float() {
				return fmt.Sprintf("%.3f s after delivery %d, which may have run", o.now()-earlier.SentAt, earlier.Number)
			}
		}
	}
	return ""
}

// CheckGroup checks that a tokened invocation is not sent outside the group of a host where it may have run. sameGroup reports
// whether two hosts share tokens.
func (o *Oracle) CheckGroup(attempt *model.Attempt, sameGroup func(a, b int) bool) {
	invocation := attempt.Invocation
	if invocation.Request.Operation.Effect != model.EffectTokened {
		return
	}
	for _, earlier := range invocation.Attempts {
		if earlier != attempt && !earlier.ProvenNotRun && !sameGroup(earlier.Host, attempt.Host) {
			o.addViolation(ruleEffect, invocation.Ref, "%s, tokened, is sent outside its group, from host %d to %d",
				invocation.Ref, earlier.Host, attempt.Host)
		}
	}
}

// AttemptStarted checks an attempt that a host has begun to run.
func (o *Oracle) AttemptStarted(attempt *model.Attempt) {
	invocation := attempt.Invocation
	for _, other := range invocation.Attempts {
		if other != attempt && other.Started && invocation.Request.Operation.Effect == model.EffectNonIdempotent {
			o.addViolation(ruleEffect, invocation.Ref, "%s, non-idempotent, has run twice: deliveries %d and %d",
				invocation.Ref, other.Number, attempt.Number)
		}
	}
	attempt.Started = true
}

// InvocationAnswered checks a final answer of an api gateway.
func (o *Oracle) InvocationAnswered(invocation *model.Invocation, outcome model.Outcome) {
	if invocation.Outcome != model.Pending {
		o.addViolation(ruleOneAnswer, invocation.Ref, "%s gets a second final answer: %s after %s",
			invocation.Ref, model.OutcomeNames[outcome], model.OutcomeNames[invocation.Outcome])
		return
	}
	invocation.Outcome = outcome
	if o.now() > invocation.GiveUpAt+Tolerance {
		o.addViolation(ruleOneAnswer, invocation.Ref, "%s is answered %.3f s after its client gave up",
			invocation.Ref, o.now()-invocation.GiveUpAt)
	}
	if outcome == model.Throttled {
		o.checkThrottling(invocation)
	}
}

// checkThrottling checks that an invocation is throttled only if a retry is safe, because a throttled client may retry. Each attempt
// must be proven not to have run unless the operation may run again.
func (o *Oracle) checkThrottling(invocation *model.Invocation) {
	operation := invocation.Request.Operation
	mayRunAgain := operation.Effect != model.EffectNonIdempotent &&
		(operation.Effect != model.EffectTokened || operation.Group == model.GroupAll)
	for _, attempt := range invocation.Attempts {
		if !attempt.ProvenNotRun && !mayRunAgain {
			o.addViolation(ruleEffect, invocation.Ref, "%s, %s, is throttled though delivery %d may have run",
				invocation.Ref, operation.Effect, attempt.Number)
		}
	}
}

// ClientGaveUp checks that an invocation was answered before its client timed out.
func (o *Oracle) ClientGaveUp(invocation *model.Invocation) {
	if invocation.Outcome == model.Pending {
		o.addViolation(ruleOneAnswer, invocation.Ref, "%s was accepted and got no final answer before its client gave up", invocation.Ref)
		invocation.Outcome = model.Unanswered
	}
}

// ConnectionDropped reports that an api gateway closed a client's connection without an answer although it had not stopped.
func (o *Oracle) ConnectionDropped(invocation *model.Invocation) {
	o.addViolation(ruleOneAnswer, invocation.Ref, "%s was accepted, and its client's connection ended without an answer", invocation.Ref)
}

// ForeignContent reports that a client or a host received content that was meant for another.
func (o *Oracle) ForeignContent(ref, text string) { o.addViolation(ruleOneAnswer, ref, "%s", text) }
