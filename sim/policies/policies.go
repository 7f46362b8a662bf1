package policies

import (
	"fmt"
	"slices"
	"strings"

	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/sim/gatewaymodel"
	"otterseam/sim/randstream"
	"otterseam/sim/simulation"
)

// The names of the policies.
const (
	module     = "module"
	members    = "members"
	damped     = "damped"
	random     = "random"
	share      = "share"
	design     = "design"
	omniscient = "omniscient"
)

// Names lists the policies that New accepts.
var Names = []string{module, members, damped, random, share, design, omniscient}

// membershipShare is the fraction of a peer's message rate that membership may use if it is enabled.
const membershipShare = 0.1

// UnknownError reports a name that is not the name of a policy.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown decider %q; there are %s, and wire:PATH for a program that speaks the line protocol",
		e.Name, strings.Join(Names, ", "))
}

// New returns the source of the policies of a name, or an *UnknownError.
func New(name string) (simulation.PolicySource, error) {
	if !slices.Contains(Names, name) {
		return nil, &UnknownError{Name: name}
	}
	return source(name), nil
}

// source creates the policies of the name that is its value.
type source string

func (s source) Name() string { return string(s) }

func (s source) Err() error { return nil }

func (s source) Close() {}

func (s source) NewPolicy(
	run *simulation.Simulation, slot int, seed uint64, out policydriver.Output,
) (gatewaymodel.Policy, error) {
	switch s {
	case module, members, damped:
		settings := simulation.StartSettings(run.Day, slot)
		if s != module {
			settings.MembershipShare = membershipShare
		}
		settings.OverloadControl = s == damped
		return policydriver.New(out, func(output policy.Output) (*policy.Gateway, error) {
			return settings.NewPolicy(seed, output)
		})
	}
	return newBaseline(string(s), run, out, randstream.New(seed, "policy")), nil
}
