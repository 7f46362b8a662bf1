package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
)

// serveConfigCall answers an operator's call as the API does, apart from the injected fault.
func (m *member) serveConfigCall(in configCall, fault protocolFault, answer func(configResult)) {
	command := m.commandOf(in, fault)
	if fault == readsWithoutCommit && in.kind == readCall {
		answer(resultOf(in, m.machine.readConfig()))
		return
	}
	var body []byte
	m.serveAtPrimary(func(p *member, done func(codes.Code)) {
		if fault == forgetsAnswers {
			p.machine.forgetAnswers()
		}
		if fault == answersBeforeCommit && in.kind == replaceCall && p.group.IsReady() && p.machine.version() == in.base {
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
			case fault == rejectsUncertainChanges && in.kind == replaceCall:
				done(codes.ConfigBase)
			default:
				done(codes.Unavailable)
			}
		})
	}, func(code codes.Code) { answer(resultOf(in, state.Result{Code: code, Body: body})) })
}

// commandOf returns the command for a call.
func (m *member) commandOf(in configCall, fault protocolFault) state.Command {
	if in.kind == readCall {
		return state.ReadConfig{}
	}
	replace := state.ReplaceConfig{Base: in.base, Version: in.version, Body: fmt.Appendf(nil, "%d %s", in.version, in.body)}
	if fault == ignoresBase {
		replace.Base = m.machine.version()
	}
	return replace
}

func resultOf(in configCall, result state.Result) configResult {
	code := result.Code
	switch {
	case code == codes.ConfigNone && in.kind == readCall:
		return configResult{definite: true}
	case !state.IsCommitted(code):
		return configResult{}
	case in.kind == replaceCall:
		return configResult{definite: true, applied: code == codes.OK}
	}
	number, text, _ := strings.Cut(string(result.Body), " ")
	version, _ := strconv.ParseUint(number, 10, 64)
	return configResult{definite: true, version: version, body: text}
}
