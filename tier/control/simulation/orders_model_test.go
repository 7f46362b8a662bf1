package simulation

import (
	"fmt"
	"sort"
	"strings"

	"github.com/anishathalye/porcupine"
)

type linearKind int

const (
	linearOrder linearKind = iota
	linearRead
)

// linearInput is a call of an operator.
type linearInput struct {
	kind    linearKind
	base    uint64
	version uint64
	body    string
}

// linearOutput is what the operator saw.
type linearOutput struct {
	clear   bool // there was a clear answer
	taken   bool
	version uint64 // that was read
	body    string
}

// linearState is the sequential register: what is in place, and the orders that were answered.
type linearState struct {
	version  uint64
	body     string
	answered string // "+version/body" of taken orders, "-base/version/body" of refused ones, in a fixed order
}

func (s linearState) has(answer string) bool { return strings.Contains(s.answered, answer+" ") }

func (s linearState) with(answer string) linearState {
	if s.has(answer) {
		return s
	}
	answers := append(strings.Fields(s.answered), answer)
	sort.Strings(answers)
	s.answered = strings.Join(answers, " ") + " "
	return s
}

func (i linearInput) taken() string { return fmt.Sprintf("+%d/%s", i.version, i.body) }

func (i linearInput) refused() string { return fmt.Sprintf("-%d/%d/%s", i.base, i.version, i.body) }

// decide is the specification of an order.
func (s linearState) decide(in linearInput) (linearState, bool) {
	switch {
	case in.base < in.version && s.has(in.taken()):
		return s, true
	case s.has(in.refused()):
		return s, false
	case in.base != s.version || in.version <= s.version:
		return s.with(in.refused()), false
	}
	next := s.with(in.taken())
	next.version, next.body = in.version, in.body
	return next, true
}

var linearModel = porcupine.Model{
	Init: func() any { return linearState{} },
	Step: func(before, input, output any) (bool, any) {
		held, in, out := before.(linearState), input.(linearInput), output.(linearOutput)
		if in.kind == linearRead {
			return !out.clear || (out.version == held.version && out.body == held.body), held
		}
		next, taken := held.decide(in)
		return !out.clear || taken == out.taken, next
	},
}
