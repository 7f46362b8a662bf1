package membershipsim

import (
	"encoding/json"
	"math"
)

// Scenario holds the parameters of a simulation.
type Scenario struct {
	Members         int     `json:"members"`
	Duration        float64 `json:"length"`
	MessageRate     float64 `json:"mail"`     // messages a second that a member can receive
	MembershipShare float64 `json:"part"`     // fraction of MessageRate for membership
	MeanDelay       float64 `json:"delay"`    // of a message
	Loss            float64 `json:"loss"`     // fraction of the messages
	StarvedShare    float64 `json:"starved"`  // fraction of the members that run for only a tenth of each second
	DeathInterval   float64 `json:"every"`    // between deaths of single members; 0 for none
	Downtime        float64 `json:"down"`     // until a dead member restarts without its former state; 0 for never
	MassDeathAt     float64 `json:"mass_at"`  // when many members die at once; 0 for never
	MassDeathShare  float64 `json:"mass"`     // fraction of the members
	PartitionAt     float64 `json:"cut_at"`   // when some members are partitioned from the others; 0 for never
	PartitionEnds   float64 `json:"cut_ends"` // when the partition heals
	PartitionShare  float64 `json:"cut"`      // fraction of the members
	Seed            uint64  `json:"seed"`
}

// Result holds the measurements of a simulation. Quantiles are NaN if nothing was measured.
type Result struct {
	Scenario
	Deaths int `json:"deaths"`
	// DetectP50 and DetectP99 are quantiles of the time until another member detected a death.
	DetectP50 Quantile `json:"p50"`
	DetectP99 Quantile `json:"p99"`
	// DetectedShare is the fraction of the other members that detected a death within detectLimit.
	DetectedShare float64 `json:"reached"`
	// ReturnP50 and ReturnP99 are quantiles of the time until another member detected a restart.
	ReturnP50 Quantile `json:"back_p50"`
	ReturnP99 Quantile `json:"back_p99"`
	// FalseDeaths is how often per hour a member reported a live member as dead, over all pairs. FalseAccusations counts those for
	// which no other member reported that member as dead.
	FalseDeaths      float64 `json:"false"`
	FalseAccusations float64 `json:"accused"`
	// MessagesPerSecond and BytesPerSecond are the rates that a member receives. DroppedShare is the fraction of the messages that
	// exceeded the MessageRate of their receiver.
	MessagesPerSecond float64 `json:"messages"`
	BytesPerSecond    float64 `json:"bytes"`
	DroppedShare      float64 `json:"dropped"`
	// WrongBeliefs is in how many pairs of members one reports a wrong state of the other at the end.
	WrongBeliefs int `json:"wrong"`
	// MaxShares is the largest sum of all members' shares. A sum of 1 is the whole.
	MaxShares float64 `json:"share"`
	// MassDetect90 is the time after the mass death until 90 % of the states reported about the dead members were correct.
	MassDetect90 Quantile `json:"mass_90"`
}

// Quantile is a quantile of times in seconds. It is NaN if nothing was measured, which is encoded as null in JSON.
type Quantile float64

// MarshalJSON encodes the quantile, and NaN as null.
func (q Quantile) MarshalJSON() ([]byte, error) {
	if math.IsNaN(float64(q)) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(q))
}
