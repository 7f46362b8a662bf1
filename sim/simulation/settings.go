package simulation

import (
	"otterseam/gateway/simprotocol"
	"otterseam/sim/model"
	"otterseam/sim/scenario"
)

// protocolEffects are the names of effects in the simulator's protocol.
var protocolEffects = map[string]string{
	model.EffectIdempotent:    "idempotent",
	model.EffectTokened:       "deduplicated",
	model.EffectNonIdempotent: "at_most_once",
}

// StartSettings are the start settings of an api gateway of a scenario, as the platform would give them.
func StartSettings(day *scenario.Day, slot int) simprotocol.Settings {
	var settings simprotocol.Settings
	settings.Gateways = day.Fleet.Gateways.N()
	settings.Slot = slot
	settings.Zone = ZoneName(slot % day.Fleet.Zones.N())
	settings.Caps.Cancel = day.Gateway.Cancel
	settings.Caps.PeerMessages = day.Peers.Allowed
	settings.Caps.MaxAttempts = day.Gateway.Deliveries.N()
	settings.Caps.IdleTimeout = day.Network.Idle.V()
	settings.Caps.DialTimeout = day.Network.Dial.V()
	for i := range day.Operations {
		settings.Operations = append(settings.Operations, operationSettings(&day.Operations[i]))
	}
	for i := range day.Plans {
		settings.Plans = append(settings.Plans, planSettings(&day.Plans[i]))
	}
	settings.SlowStart.InitialCapacity = day.Cold.Share.V()
	settings.SlowStart.Duration = day.Cold.Warm.V()
	settings.SlowStart.OverloadFactor = day.Cold.Factor.V()
	settings.Shared.Counter = day.Counter.Present
	settings.Shared.CounterTimeout = day.Counter.Limit.V()
	settings.Shared.SettlesUnits = day.Counter.Settles
	settings.Shared.MaxUnits = day.Clients.Units.V()
	if day.Peers.Allowed {
		settings.Shared.PeerMessageRate = day.Peers.Mail.V()
	}
	return settings
}

func operationSettings(operation *scenario.Operation) simprotocol.Operation {
	return simprotocol.Operation{
		Name:          operation.Name,
		LatencyTarget: operation.Objective.V(),
		Timeout:       operation.Timeout.V(),
		Value:         operation.Value.V(),
		LateValue:     operation.Late.V(),
		Effect:        protocolEffects[operation.Effect],
		DedupScope:    operation.Group,
		DedupWindow:   operation.TokenTime.V(),
	}
}

func planSettings(plan *scenario.Plan) simprotocol.Plan {
	return simprotocol.Plan{
		Name:          plan.Name,
		Rate:          plan.Rate.V(),
		Burst:         plan.Burst.V(),
		MaxConcurrent: plan.MaxOut.N(),
		CeilingRate:   plan.CeilingRate.V(),
		CeilingBurst:  plan.CeilingBurst.V(),
	}
}
