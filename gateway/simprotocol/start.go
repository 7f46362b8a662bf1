package simprotocol

import (
	"fmt"

	"otterseam/gateway/membership"
	"otterseam/gateway/overload"
	"otterseam/gateway/policy"
)

// Start holds the start-up settings, as the line protocol and the configuration of an api gateway both carry them;
// unknown keys are skipped.
type Start struct {
	Balancers int    `json:"balancers"`
	Slot      int    `json:"slot_no"`
	Locality  string `json:"locality"`
	Caps      struct {
		Cancel       bool    `json:"cancel"`
		MayProbe     bool    `json:"may_probe"`
		PeerMessages bool    `json:"peer_messages"`
		SecondCopies bool    `json:"second_copies"`
		TryLimit     int     `json:"try_limit"`
		Idle         float64 `json:"idle_close"`
		Connect      float64 `json:"dial_timeout"`
	} `json:"caps"`
	Classes  []Class `json:"classes"`
	Contract struct {
		Start  float64 `json:"start_capacity"`
		Warm   float64 `json:"warm_up"`
		Factor float64 `json:"overload_factor"`
	} `json:"contract"`
	Extra struct {
		Counter bool    `json:"counter"`
		Limit   float64 `json:"count_limit"`
		Settles bool    `json:"settles"`
		Most    float64 `json:"most_units"`
		Mail    float64 `json:"mail_per_s"`
	} `json:"extra"`
	Plans    []Plan `json:"plans"`
	Registry string `json:"registry_mode"`
	// Members is the part of the mail that membership may use in quiet times, as the operator wishes it; 0: it is off.
	Members float64 `json:"-"`
	// Damps says that what all api gateways do while hosts don't answer is bounded, as the operator wishes it.
	Damps bool `json:"-"`
}

// Class is an operation as the settings have it.
type Class struct {
	Name     string  `json:"name"`
	Goal     float64 `json:"goal_time"`
	Limit    float64 `json:"deadline"`
	Gain     float64 `json:"gain"`
	Late     float64 `json:"late_worth"`
	Effect   string  `json:"effect"`
	Group    string  `json:"group"`
	KeyTTL   float64 `json:"key_ttl"`
	Streamed bool    `json:"streamed"`
}

// Plan is a plan as the settings have it.
type Plan struct {
	Name      string  `json:"name"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	MaxOut    int     `json:"max_out"`
	NeverOver float64 `json:"never_over_rate"`
	HardBurst float64 `json:"hard_burst"`
}

var effects = map[string]policy.Effect{
	"idempotent": policy.Idempotent, "deduplicated": policy.Deduplicated,
	"at_most_once": policy.NonIdempotent,
}

// Module makes the deciding module as the settings want it.
func (s *Start) Module(seed uint64, out policy.Output) (*policy.Gateway, error) {
	var ops []policy.Operation
	for _, k := range s.Classes {
		e, ok := effects[k.Effect]
		if !ok {
			return nil, fmt.Errorf("settings: unknown effect %q", k.Effect)
		}
		ops = append(ops, policy.Operation{
			Name: k.Name, LatencyTarget: k.Goal, Value: k.Gain, LateValue: k.Late, Effect: e,
			DedupScope: k.Group, DedupWindow: k.KeyTTL,
		})
	}
	var plans []policy.Plan
	for _, t := range s.Plans {
		plans = append(plans, policy.Plan{
			Name: t.Name, Rate: t.Rate, Burst: t.Burst, MaxConcurrent: t.MaxOut,
			CeilingRate: t.NeverOver, CeilingBurst: t.HardBurst,
		})
	}
	var peers *membership.Detector
	if s.Members > 0 && s.Caps.PeerMessages && s.Balancers > 1 && s.Slot >= 0 && s.Slot < s.Balancers && s.Extra.Mail > 0 {
		peers = membership.New(membership.Config{
			Self: s.Slot, Members: s.Balancers, MessageRate: s.Extra.Mail, Part: s.Members, Seed: seed,
		})
	}
	var bound *overload.Controller
	if s.Damps {
		t := overload.Config{Gateways: s.Balancers, Seed: seed}
		if s.Caps.PeerMessages {
			t.MessageRate = s.Extra.Mail
		}
		bound = overload.New(t)
	}
	return policy.New(policy.Instance{Gateways: s.Balancers, Zone: s.Locality, Seed: seed, Peers: peers, Overload: bound}, ops, plans,
		policy.CounterConfig{Present: s.Extra.Counter, Timeout: s.Extra.Limit, SettlesUnits: s.Extra.Settles, MaxUnits: s.Extra.Most},
		policy.SlowStart{InitialCapacity: s.Contract.Start, Duration: s.Contract.Warm, OverloadFactor: s.Contract.Factor},
		policy.Limits{
			MaxAttempts: s.Caps.TryLimit, CanCancel: s.Caps.Cancel,
			PeerMessages: s.Caps.PeerMessages, PeerMessageRate: s.Extra.Mail,
		},
		out), nil
}

// Accepts says whether an invocation is one that the settings know, and for how long a client may wait for it at most.
// An operation that may run again changes nothing, which its method tells.
func (s *Start) Accepts(operation, method, plan string, units float64, width, first int) (limit float64, ok bool) {
	for _, k := range s.Classes {
		if k.Name == operation {
			ok = (method == "GET") == (effects[k.Effect] == policy.Idempotent) && (method == "GET" || method == "POST")
			limit = k.Limit
		}
	}
	known := len(s.Plans) == 0
	for _, p := range s.Plans {
		known = known || p.Name == plan
	}
	return limit, ok && known && (s.Extra.Most <= 0 || units <= s.Extra.Most) && width <= s.Balancers && first < s.Balancers
}
