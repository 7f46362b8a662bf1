package simprotocol

import (
	"fmt"

	"otterseam/gateway/membership"
	"otterseam/gateway/overload"
	"otterseam/gateway/policy"
)

// Settings are the start settings of a gateway, as the line protocol and the configuration of a gateway on sockets both carry
// them. Unknown keys are skipped.
type Settings struct {
	Gateways      int         `json:"balancers"` // of the fleet's list
	Slot          int         `json:"slot_no"`   // this gateway's number in it
	Zone          string      `json:"locality"`
	Caps          Caps        `json:"caps"`
	Operations    []Operation `json:"classes"`
	SlowStart     SlowStart   `json:"contract"`
	Shared        Shared      `json:"extra"`
	Plans         []Plan      `json:"plans"`
	DiscoveryMode string      `json:"registry_mode"`

	// MembershipShare is the part of the messages that membership may use in quiet times, as the operator sets it; 0: it is off.
	MembershipShare float64 `json:"-"`
	// OverloadControl has package overload bound what all gateways do while hosts don't answer, as the operator sets it.
	OverloadControl bool `json:"-"`
}

// Caps are what a deployment lets a gateway do.
type Caps struct {
	Cancel       bool    `json:"cancel"`        // it may cancel attempts
	MayProbe     bool    `json:"may_probe"`     // it may check the health of hosts
	PeerMessages bool    `json:"peer_messages"` // gateways may send each other messages
	Hedging      bool    `json:"second_copies"` // two attempts of one invocation may run at once
	MaxAttempts  int     `json:"try_limit"`     // of an invocation
	IdleTimeout  float64 `json:"idle_close"`    // after which a host closes an idle connection
	DialTimeout  float64 `json:"dial_timeout"`
}

// Operation is an operation as the settings have it.
type Operation struct {
	Name          string  `json:"name"`
	LatencyTarget float64 `json:"goal_time"`
	Timeout       float64 `json:"deadline"` // after which its clients give up at the latest
	Value         float64 `json:"gain"`
	LateValue     float64 `json:"late_worth"`
	Effect        string  `json:"effect"` // a key of effects
	DedupScope    string  `json:"group"`
	DedupWindow   float64 `json:"key_ttl"`
	Streamed      bool    `json:"streamed"`
}

// SlowStart is how much hosts that have just started may be given.
type SlowStart struct {
	InitialCapacity float64 `json:"start_capacity"`
	Duration        float64 `json:"warm_up"`
	OverloadFactor  float64 `json:"overload_factor"`
}

// Shared is what the gateways of the fleet share: the quota counter, and messages to each other.
type Shared struct {
	Counter         bool    `json:"counter"`     // there is one
	CounterTimeout  float64 `json:"count_limit"` // of a call to it
	SettlesUnits    bool    `json:"settles"`     // the units that an invocation really took are known after it
	MaxUnits        float64 `json:"most_units"`  // of an invocation; 0: any
	PeerMessageRate float64 `json:"mail_per_s"`  // that a gateway takes in from all others
}

// Plan is a plan as the settings have it.
type Plan struct {
	Name          string  `json:"name"`
	Rate          float64 `json:"rate"`
	Burst         float64 `json:"burst"`
	MaxConcurrent int     `json:"max_out"`
	CeilingRate   float64 `json:"never_over_rate"`
	CeilingBurst  float64 `json:"hard_burst"`
}

// effects are the policy's by the settings' names.
var effects = map[string]policy.Effect{
	"idempotent":   policy.Idempotent,
	"deduplicated": policy.Deduplicated,
	"at_most_once": policy.NonIdempotent,
}

// UnknownEffectError says that an operation has an effect that is not known.
type UnknownEffectError struct{ Effect string }

func (e *UnknownEffectError) Error() string {
	return fmt.Sprintf("settings: unknown effect %q", e.Effect)
}

// NewPolicy makes the policy of a gateway. Errors are *UnknownEffectError.
func (s *Settings) NewPolicy(seed uint64, output policy.Output) (*policy.Gateway, error) {
	operations, err := s.policyOperations()
	if err != nil {
		return nil, err
	}
	config := policy.Config{
		Instance: policy.Instance{
			Gateways: s.Gateways, Zone: s.Zone, Seed: seed,
			Peers: s.newDetector(seed), Overload: s.newOverloadController(seed),
		},
		Operations: operations,
		Plans:      s.policyPlans(),
		Counter: policy.CounterConfig{
			Present: s.Shared.Counter, Timeout: s.Shared.CounterTimeout,
			SettlesUnits: s.Shared.SettlesUnits, MaxUnits: s.Shared.MaxUnits,
		},
		SlowStart: policy.SlowStart{
			InitialCapacity: s.SlowStart.InitialCapacity, Duration: s.SlowStart.Duration, OverloadFactor: s.SlowStart.OverloadFactor,
		},
		Limits: policy.Limits{
			MaxAttempts: s.Caps.MaxAttempts, CanCancel: s.Caps.Cancel,
			PeerMessages: s.Caps.PeerMessages, PeerMessageRate: s.Shared.PeerMessageRate,
		},
	}
	return policy.New(config, output), nil
}

func (s *Settings) policyOperations() (operations []policy.Operation, err error) {
	for _, o := range s.Operations {
		effect, known := effects[o.Effect]
		if !known {
			return nil, &UnknownEffectError{Effect: o.Effect}
		}
		operations = append(operations, policy.Operation{
			Name: o.Name, LatencyTarget: o.LatencyTarget, Value: o.Value, LateValue: o.LateValue, Effect: effect,
			DedupScope: o.DedupScope, DedupWindow: o.DedupWindow,
		})
	}
	return operations, nil
}

func (s *Settings) policyPlans() (plans []policy.Plan) {
	for _, p := range s.Plans {
		plans = append(plans, policy.Plan{
			Name: p.Name, Rate: p.Rate, Burst: p.Burst, MaxConcurrent: p.MaxConcurrent,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst,
		})
	}
	return plans
}

// newDetector gives nil where membership is off, or can't work.
func (s *Settings) newDetector(seed uint64) *membership.Detector {
	listed := s.Gateways > 1 && s.Slot >= 0 && s.Slot < s.Gateways
	heard := s.Caps.PeerMessages && s.Shared.PeerMessageRate > 0
	if s.MembershipShare <= 0 || !listed || !heard {
		return nil
	}
	return membership.New(membership.Config{
		Self: s.Slot, Members: s.Gateways, MessageRate: s.Shared.PeerMessageRate, Part: s.MembershipShare, Seed: seed,
	})
}

// newOverloadController gives nil where overload control is off.
func (s *Settings) newOverloadController(seed uint64) *overload.Controller {
	if !s.OverloadControl {
		return nil
	}
	config := overload.Config{Gateways: s.Gateways, Seed: seed}
	if s.Caps.PeerMessages {
		config.MessageRate = s.Shared.PeerMessageRate
	}
	return overload.New(config)
}

// Accepts says whether an invocation is one that the settings know, and for how long a client may wait for it at most.
func (s *Settings) Accepts(
	operation, method, plan string, units float64, gatewayCount, firstGateway int,
) (timeout float64, ok bool) {
	timeout, ok = s.acceptsOperation(operation, method)
	ok = ok && s.knowsPlan(plan) &&
		(s.Shared.MaxUnits <= 0 || units <= s.Shared.MaxUnits) &&
		gatewayCount <= s.Gateways && firstGateway < s.Gateways
	return timeout, ok
}

// acceptsOperation holds an operation to its method: one that may run again changes nothing, so it is asked for by GET.
func (s *Settings) acceptsOperation(name, method string) (timeout float64, ok bool) {
	for _, o := range s.Operations {
		if o.Name == name {
			idempotent := effects[o.Effect] == policy.Idempotent
			ok = method == "GET" && idempotent || method == "POST" && !idempotent
			timeout = o.Timeout
		}
	}
	return timeout, ok
}

func (s *Settings) knowsPlan(name string) bool {
	if len(s.Plans) == 0 {
		return true
	}
	for _, p := range s.Plans {
		if p.Name == name {
			return true
		}
	}
	return false
}
