package simprotocol

import (
	"fmt"

	"otterseam/gateway/membership"
	"otterseam/gateway/overload"
	"otterseam/gateway/policy"
)

// Settings are the start settings of a gateway. Both the line protocol and the configuration of cmd/otterseam contain them.
// Unknown keys are ignored.
type Settings struct {
	Gateways      int         `json:"balancers"` // number of gateways in the fleet
	Slot          int         `json:"slot_no"`   // index of this gateway in the fleet
	Zone          string      `json:"locality"`
	Caps          Caps        `json:"caps"`
	Operations    []Operation `json:"classes"`
	SlowStart     SlowStart   `json:"contract"`
	Shared        Shared      `json:"extra"`
	Plans         []Plan      `json:"plans"`
	DiscoveryMode string      `json:"registry_mode"`

	// MembershipShare is the fraction of the message rate that membership may use while nothing fails, or 0 if membership is
	// disabled. It comes from the operator's file.
	MembershipShare float64 `json:"-"`
	// OverloadControl enables the limits of package overload on the combined load that all gateways cause while hosts don't
	// respond. It comes from the operator's file.
	OverloadControl bool `json:"-"`
}

// Caps are the capabilities and limits that a deployment grants to a gateway.
type Caps struct {
	Cancel       bool    `json:"cancel"`        // the gateway may cancel attempts
	MayProbe     bool    `json:"may_probe"`     // the gateway may check the health of hosts
	PeerMessages bool    `json:"peer_messages"` // gateways may send messages to each other
	Hedging      bool    `json:"second_copies"` // two attempts of one invocation may run concurrently
	MaxAttempts  int     `json:"try_limit"`     // maximum number of attempts of an invocation
	IdleTimeout  float64 `json:"idle_close"`    // time after which a host closes an idle connection
	DialTimeout  float64 `json:"dial_timeout"`
}

// Operation is the configuration of an operation.
type Operation struct {
	Name          string  `json:"name"`
	LatencyTarget float64 `json:"goal_time"`
	Timeout       float64 `json:"deadline"` // longest time for which a client waits
	Value         float64 `json:"gain"`
	LateValue     float64 `json:"late_worth"`
	Effect        string  `json:"effect"` // a key of effects
	DedupScope    string  `json:"group"`
	DedupWindow   float64 `json:"key_ttl"`
	Streamed      bool    `json:"streamed"`
}

// SlowStart limits the load on hosts that have just started.
type SlowStart struct {
	InitialCapacity float64 `json:"start_capacity"`
	Duration        float64 `json:"warm_up"`
	OverloadFactor  float64 `json:"overload_factor"`
}

// Shared configures what the gateways of the fleet share: the quota counter, and the messages between them.
type Shared struct {
	Counter         bool    `json:"counter"`     // a quota counter exists
	CounterTimeout  float64 `json:"count_limit"` // timeout of a call to the counter
	SettlesUnits    bool    `json:"settles"`     // the units that an invocation actually consumed are known after it
	MaxUnits        float64 `json:"most_units"`  // maximum units of an invocation, or 0 for no limit
	PeerMessageRate float64 `json:"mail_per_s"`  // messages per second that a gateway accepts from all others together
}

// Plan is the configuration of a plan.
type Plan struct {
	Name          string  `json:"name"`
	Rate          float64 `json:"rate"`
	Burst         float64 `json:"burst"`
	MaxConcurrent int     `json:"max_out"`
	CeilingRate   float64 `json:"never_over_rate"`
	CeilingBurst  float64 `json:"hard_burst"`
}

// effects maps the names used in the settings to the effects of the policy.
var effects = map[string]policy.Effect{
	"idempotent":   policy.Idempotent,
	"deduplicated": policy.Deduplicated,
	"at_most_once": policy.NonIdempotent,
}

// UnknownEffectError reports an operation with an unknown effect.
type UnknownEffectError struct{ Effect string }

func (e *UnknownEffectError) Error() string {
	return fmt.Sprintf("settings: unknown effect %q", e.Effect)
}

// NewPolicy creates the policy of a gateway. Its errors are of type *UnknownEffectError.
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

// newDetector returns nil if membership is disabled or the settings don't allow it to work.
func (s *Settings) newDetector(seed uint64) *membership.Detector {
	listed := s.Gateways > 1 && s.Slot >= 0 && s.Slot < s.Gateways
	canExchange := s.Caps.PeerMessages && s.Shared.PeerMessageRate > 0
	if s.MembershipShare <= 0 || !listed || !canExchange {
		return nil
	}
	return membership.New(membership.Config{
		Self: s.Slot, Members: s.Gateways, MessageRate: s.Shared.PeerMessageRate, Part: s.MembershipShare, Seed: seed,
	})
}

// newOverloadController returns nil if overload control is disabled.
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

// Accepts reports whether the settings allow an invocation, and returns the longest time for which a client may wait for it.
func (s *Settings) Accepts(
	operation, method, plan string, units float64, gatewayCount, firstGateway int,
) (timeout float64, ok bool) {
	timeout, ok = s.acceptsOperation(operation, method)
	ok = ok && s.hasPlan(plan) &&
		(s.Shared.MaxUnits <= 0 || units <= s.Shared.MaxUnits) &&
		gatewayCount <= s.Gateways && firstGateway < s.Gateways
	return timeout, ok
}

// acceptsOperation reports whether an operation exists and is called with the right method: GET for idempotent operations, which
// change nothing and may run again, and POST for all others.
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

func (s *Settings) hasPlan(name string) bool {
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
