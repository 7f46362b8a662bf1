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

// configCall is an operator's call that replaces or reads the configuration.
type configCall struct {
	kind    callKind
	base    uint64
	version uint64
	body    string
}

// configResult is the answer that the operator received.
type configResult struct {
	definite bool // whether the answer was definite; the other fields are meaningless otherwise
	applied  bool
	version  uint64 // the version that was read
	body     string
}

// registerState is the state of the sequential register: the current configuration and the results of all changes.
type registerState struct {
	version uint64
	body    string
	results string // "+version/body" of each applied change and "-base/version/body" of each rejected one, sorted
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

// apply is the sequential specification of a change. It reports whether the change is applied.
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
