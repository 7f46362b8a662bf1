package membershipsim

import (
	"encoding/json"
	"strings"
	"testing"
)

// Nearly all members detect a death within about two seconds and no live member is reported dead. The same scenario gives the same
// result.
func TestDeathsAreDetectedWithoutFalseDeaths(t *testing.T) {
	scenario := Scenario{
		Members: 60, Duration: 60, MessageRate: 60, MembershipShare: 0.1, MeanDelay: 0.005, Loss: 0.05,
		DeathInterval: 5, Downtime: 8, Seed: 3,
	}
	got, again := Run(scenario), Run(scenario)
	got.MassDetect90, again.MassDetect90 = 0, 0 // NaN without a mass death
	if *got != *again {
		t.Errorf("two runs differ: %+v %+v", got, again)
	}
	if got.Deaths == 0 || got.DetectP99 > 2.2 || got.FalseAccusations > 0 || got.WrongBeliefs > 0 || got.MessagesPerSecond > 8 {
		t.Errorf("%+v", got)
	}
}

// Quantiles without measurements are encoded as null in JSON.
func TestUnmeasuredQuantilesAreNullInJSON(t *testing.T) {
	got := Run(Scenario{Members: 3, Duration: 20, MessageRate: 60, MembershipShare: 0.1, MeanDelay: 0.005, Seed: 3})
	text, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), `"p50":null`) || !strings.Contains(string(text), `"mass_90":null`) {
		t.Fatalf("%s", text)
	}
}

// During a partition into two halves the sum of the shares is at most the square root of two. After it all members agree again.
func TestPartitionBoundsShares(t *testing.T) {
	got := Run(Scenario{
		Members: 60, Duration: 60, MessageRate: 60, MembershipShare: 0.1, MeanDelay: 0.005,
		PartitionAt: 20, PartitionEnds: 40, PartitionShare: 0.5, Seed: 3,
	})
	if got.MaxShares > 1.4143 || got.MaxShares < 1.3 || got.WrongBeliefs > 0 {
		t.Errorf("%+v", got)
	}
}
