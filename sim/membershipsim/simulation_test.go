package membershipsim

import (
	"encoding/json"
	"strings"
	"testing"
)

// Deaths are known to nearly all within two seconds and nobody alive is accused; the same scenario gives the same result.
func TestDeathsAreDetectedAndNobodyIsAccused(t *testing.T) {
	scenario := Scenario{
		Members: 60, Duration: 60, MessageRate: 60, MembershipShare: 0.1, MeanDelay: 0.005, Loss: 0.05,
		DeathInterval: 5, Downtime: 8, Seed: 3,
	}
	got, again := Run(scenario), Run(scenario)
	got.MassDetect90, again.MassDetect90 = 0, 0 // not a number where there was no mass death
	if *got != *again {
		t.Errorf("two runs differ: %+v %+v", got, again)
	}
	if got.Deaths == 0 || got.DetectP99 > 2.2 || got.FalseAccusations > 0 || got.WrongBeliefs > 0 || got.MessagesPerSecond > 8 {
		t.Errorf("%+v", got)
	}
}

// Where nothing was measured the JSON has null.
func TestResultsWithoutACrashAreJSON(t *testing.T) {
	got := Run(Scenario{Members: 3, Duration: 20, MessageRate: 60, MembershipShare: 0.1, MeanDelay: 0.005, Seed: 3})
	text, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), `"p50":null`) || !strings.Contains(string(text), `"mass_90":null`) {
		t.Fatalf("%s", text)
	}
}

// Two sides of a partition use at most the root of two together, and agree after it.
func TestPartitionBoundsShares(t *testing.T) {
	got := Run(Scenario{
		Members: 60, Duration: 60, MessageRate: 60, MembershipShare: 0.1, MeanDelay: 0.005,
		PartitionAt: 20, PartitionEnds: 40, PartitionShare: 0.5, Seed: 3,
	})
	if got.MaxShares > 1.4143 || got.MaxShares < 1.3 || got.WrongBeliefs > 0 {
		t.Errorf("%+v", got)
	}
}
