package simulation

import (
	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/lease"
)

// callPrimary makes a single attempt to call the presumed primary, which executes work there.
func callPrimary[A any](m *member, work func(primary *member, answer func(A)), done func(A, bool)) {
	to := m.presumedPrimary
	type reply struct {
		answer      A
		leads       bool
		primaryHint process
	}
	if to == m.process {
		m.presumedPrimary = process((int(to) + 1) % len(m.s.members))
		to = m.presumedPrimary
	}
	call(m.s, m.process, to, lease.PrimaryAttemptTimeout, func(answer func(reply)) {
		p := m.s.members[to]
		if p.status().MayDecide(p.clock()) != nil {
			answer(reply{primaryHint: p.primaryHint()})
			return
		}
		work(p, func(a A) { answer(reply{answer: a, leads: true}) })
	}, func(got reply, ok bool) {
		if !ok || !got.leads {
			m.presumedPrimary = process((int(to) + 1) % len(m.s.members))
			if ok && got.primaryHint >= 0 && got.primaryHint != to {
				m.presumedPrimary = got.primaryHint
			}
		}
		done(got.answer, ok && got.leads)
	})
}

// primaryHint returns the current primary as far as this member knows, or -1.
func (m *member) primaryHint() process {
	if m.group.IsPrimary() || !m.status().HasLease(m.clock()) {
		return -1
	}
	return process(m.group.View().Primary) - 1
}

// serveCommand submits a command at this member if it is the primary, and otherwise at the primary.
func (m *member) serveCommand(command state.Command, answer func(codes.Code)) {
	submit := func(p *member, done func(codes.Code)) {
		p.submit(command, func(result state.Result, err error) {
			if err != nil {
				done(codes.Unavailable)
			} else {
				done(result.Code)
			}
		})
	}
	m.serveAtPrimary(submit, answer)
}

func (m *member) serveAtPrimary(work func(*member, func(codes.Code)), answer func(codes.Code)) {
	switch {
	case m.status().MayForward(m.clock()) != nil:
		answer(codes.Unavailable)
	case m.group.IsReady():
		work(m, answer)
	default:
		callPrimary(m, work, func(code codes.Code, ok bool) {
			if !ok {
				code = codes.Unavailable
			}
			answer(code)
		})
	}
}

// serveRead answers with the version of the current configuration, or 0 on failure.
func (m *member) serveRead(answer func(uint64)) {
	version := uint64(0)
	m.serveAtPrimary(func(p *member, done func(codes.Code)) {
		p.submit(state.ReadConfig{}, func(_ state.Result, err error) {
			if err != nil {
				done(codes.Unavailable)
				return
			}
			version = p.machine.version()
			done(codes.OK)
		})
	}, func(code codes.Code) {
		if code != codes.OK {
			version = 0
		}
		answer(version)
	})
}
