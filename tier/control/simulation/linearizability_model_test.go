package simulation

import (
	"fmt"
	"sort"
	"strings"

	"github.com/anishathalye/porcupine"
)

type callKind int

const (
	replaceCall callKind = iota
	readCall
)

// configCall is a call of an operator.
type configCall struct {
	kind    callKind
	base    uint64
	version uint64
	body    string
}

// configResult is what the operator saw.
type configResult struct {
	definite bool // there was a clear answer
	applied  bool
	version  uint64 // that was read
	body     string
}

// registerState is the sequential register: what is in place, and the orders that were answered.
type registerState struct {
	version uint64
	body    string
	results string // "+version/body" of taken orders, "-base/version/body" of refused ones, in a fixed order
}

func (s registerState) has(result string) bool { return strings.Contains(s.results, result+" ") }

func (s registerState) with(result string) registerState {
	if s.has(result) {
		return s
	}
	entries := append(strings.Fields(s.results), result)
	sort.Strings(entries)
	s.results = strings.Join(entries, " ") + " "
	return s
}

func (i configCall) appliedKey() string { return fmt.Sprintf("+%d/%s", i.version, i.body) }

func (i configCall) rejectedKey() string { return fmt.Sprintf("-%d/%d/%s", i.base, i.version, i.body) }

// apply is the specification of an order.
func (s registerState) apply(in configCall) (registerState, bool) {
	switch {
	case in.base < in.version && s.has(in.appliedKey()):
		return s, true
	case s.has(in.rejectedKey()):
		return s, false
	case in.base != s.version || in.version <= s.version:
		return s.with(in.rejectedKey()), false
	}
	next := s.with(in.appliedKey())
	next.version, next.body = in.version, in.body
	return next, true
}

var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(before, input, output any) (bool, any) {
		state, in, out := before.(registerState), input.(configCall), output.(configResult)
		if in.kind == readCall {
			return !out.definite || (out.version == state.version && out.body == state.body), state
		}
		next, applied := state.apply(in)
		return !out.definite || applied == out.applied, next
	},
}
