package simulation

import (
	"otterseam/gateway/simprotocol"
	"otterseam/sim/model"
	"otterseam/sim/scenario"
)

// protocolEffects maps the effects of operations to their names in the simulator's protocol.
var protocolEffects = map[string]string{
	model.EffectIdempotent:    "idempotent",
	model.EffectTokened:       "deduplicated",
	model.EffectNonIdempotent: "at_most_once",
}

// StartSettings returns the start settings of an api gateway of a scenario, as the platform would supply them.
func StartSettings(day *scenario.Scenario, slot int) simprotocol.Settings {
	var settings simprotocol.Settings
	settings.Gateways = day.Fleet.Gateways.Int()
	settings.Slot = slot
	settings.Zone = ZoneName(slot % day.Fleet.Zones.Int())
	settings.Caps.Cancel = day.Gateway.Cancel
	settings.Caps.PeerMessages = day.Peers.Allowed
	settings.Caps.MaxAttempts = day.Gateway.MaxAttempts.Int()
	settings.Caps.IdleTimeout = day.Network.IdleTimeout.Float()
	settings.Caps.DialTimeout = day.Network.DialTimeout.Float()
	for i := range day.Operations {
		settings.Operations = append(settings.Operations, operationSettings(&day.Operations[i]))
	}
	for i := range day.Plans {
		settings.Plans = append(settings.Plans, planSettings(&day.Plans[i]))
	}
	settings.SlowStart.InitialCapacity = day.Cold.Share.Float()
	settings.SlowStart.Duration = day.Cold.Warm.Float()
	settings.SlowStart.OverloadFactor = day.Cold.Factor.Float()
	settings.Shared.Counter = day.Counter.Present
	settings.Shared.CounterTimeout = day.Counter.Timeout.Float()
	settings.Shared.SettlesUnits = day.Counter.Settles
	settings.Shared.MaxUnits = day.Clients.Units.Float()
	if day.Peers.Allowed {
		settings.Shared.PeerMessageRate = day.Peers.MessageRate.Float()
	}
	return settings
}

func operationSettings(operation *scenario.Operation) simprotocol.Operation {
	return simprotocol.Operation{
		Name:          operation.Name,
		LatencyTarget: operation.Objective.Float(),
		Timeout:       operation.Timeout.Float(),
		Value:         operation.Value.Float(),
		LateValue:     operation.Late.Float(),
		Effect:        protocolEffects[operation.Effect],
		DedupScope:    operation.Group,
		DedupWindow:   operation.TokenTime.Float(),
	}
}

func planSettings(plan *scenario.Plan) simprotocol.Plan {
	return simprotocol.Plan{
		Name:          plan.Name,
		Rate:          plan.Rate.Float(),
		Burst:         plan.Burst.Float(),
		MaxConcurrent: plan.MaxConcurrent.Int(),
		CeilingRate:   plan.CeilingRate.Float(),
		CeilingBurst:  plan.CeilingBurst.Float(),
	}
}
