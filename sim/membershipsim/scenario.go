package membershipsim

import (
	"encoding/json"
	"math"
)

// Scenario is what is simulated.
type Scenario struct {
	Members         int     `json:"members"`
	Duration        float64 `json:"length"`
	MessageRate     float64 `json:"mail"`     // messages a second that a member takes in
	MembershipShare float64 `json:"part"`     // of it for membership
	MeanDelay       float64 `json:"delay"`    // of a message
	Loss            float64 `json:"loss"`     // part of the messages
	StarvedShare    float64 `json:"starved"`  // part of the members that runs for a tenth of each second only
	DeathInterval   float64 `json:"every"`    // between deaths of one member; 0: none dies
	Downtime        float64 `json:"down"`     // until a dead member is back, having kept nothing; 0: never
	MassDeathAt     float64 `json:"mass_at"`  // when many die at once; 0: never
	MassDeathShare  float64 `json:"mass"`     // part of the members
	PartitionAt     float64 `json:"cut_at"`   // when a part is cut off from the others; 0: never
	PartitionEnds   float64 `json:"cut_ends"` // when it heals
	PartitionShare  float64 `json:"cut"`      // part of the members
	Seed            uint64  `json:"seed"`
}

// Result is what was measured. Quantiles are NaN where nothing was measured.
type Result struct {
	Scenario
	Deaths int `json:"deaths"`
	// DetectP50 and DetectP99 are quantiles of the time until another member knew of a death.
	DetectP50 Quantile `json:"p50"`
	DetectP99 Quantile `json:"p99"`
	// DetectedShare is the part of the others that knew of a death within detectLimit.
	DetectedShare float64 `json:"reached"`
	// ReturnP50 and ReturnP99 are quantiles of the time until another member knew of a return.
	ReturnP50 Quantile `json:"back_p50"`
	ReturnP99 Quantile `json:"back_p99"`
	// FalseDeaths is how many beliefs an hour that a live member is dead there were, over all pairs; FalseAccusations how many
	// of them were the first of that member.
	FalseDeaths      float64 `json:"false"`
	FalseAccusations float64 `json:"accused"`
	// MessagesPerSecond and BytesPerSecond are what a member takes in; DroppedShare the part of the messages that came too many
	// at once.
	MessagesPerSecond float64 `json:"messages"`
	BytesPerSecond    float64 `json:"bytes"`
	DroppedShare      float64 `json:"dropped"`
	// WrongBeliefs is how many pairs believe what is not so at the end.
	WrongBeliefs int `json:"wrong"`
	// MaxShares is the largest sum of shares, 1 being the whole.
	MaxShares float64 `json:"share"`
	// MassDetect90 is the time after the mass death until nine in ten beliefs about the dead were right.
	MassDetect90 Quantile `json:"mass_90"`
}

// Quantile is a quantile of times in seconds, NaN where nothing was measured, which JSON has as null.
type Quantile float64

// MarshalJSON encodes the quantile.
func (q Quantile) MarshalJSON() ([]byte, error) {
	if math.IsNaN(float64(q)) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(q))
}
