package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
)

// serveLinear answers a call as the operator's API does.
func (m *member) serveLinear(in linearInput, fault linearFault, answer func(linearOutput)) {
	command := m.linearCommand(in, fault)
	if fault == readsWithoutCommit && in.kind == linearRead {
		answer(linearAnswer(in, m.machine.readConfig()))
		return
	}
	var body []byte
	m.servePrimary(func(p *member, done func(codes.Code)) {
		if fault == forgetsAnswers {
			p.machine.forgetAnswers()
		}
		if fault == answersBeforeCommit && in.kind == linearOrder && p.group.IsReady() && p.machine.version() == in.base {
			p.submit(command, func(state.Result, error) {})
			done(codes.OK)
			return
		}
		p.submit(command, func(result state.Result, err error) {
			result, err = state.Settled(result, err)
			switch {
			case err == nil:
				body = result.Body
				done(result.Code)
			case fault == refusesWhatIsUnclear && in.kind == linearOrder:
				done(codes.ConfigBase)
			default:
				done(codes.Unavailable)
			}
		})
	}, func(code codes.Code) { answer(linearAnswer(in, state.Result{Code: code, Body: body})) })
}

// linearCommand is the command of a call.
func (m *member) linearCommand(in linearInput, fault linearFault) state.Command {
	if in.kind == linearRead {
		return state.ReadConfig{}
	}
	order := state.ReplaceConfig{Base: in.base, Version: in.version, Body: fmt.Appendf(nil, "%d %s", in.version, in.body)}
	if fault == takesAnyBase {
		order.Base = m.machine.version()
	}
	return order
}

func linearAnswer(in linearInput, result state.Result) linearOutput {
	code := result.Code
	switch {
	case code == codes.ConfigNone && in.kind == linearRead:
		return linearOutput{clear: true}
	case !state.IsCommitted(code):
		return linearOutput{}
	case in.kind == linearOrder:
		return linearOutput{clear: true, taken: code == codes.OK}
	}
	number, text, _ := strings.Cut(string(result.Body), " ")
	version, _ := strconv.ParseUint(number, 10, 64)
	return linearOutput{clear: true, version: version, body: text}
}
