package statemachine

import "testing"

// A client repeats a request at a second gateway after the first gateway died during the delivery.
func TestSecondDeliveryIsRefusedUnlessScopesMatch(t *testing.T) {
	s := New()
	for _, step := range []struct {
		name          string
		clock         float64
		kind          Kind
		holder, scope string
		want          Code
	}{
		{"the first delivery", 0, AcquireMarker, "a", "", Done},
		{"a second one", 0, AcquireMarker, "b", "", MarkerHeld},
		{"another holder releases the marker", 0, ReleaseMarker, "b", "", Done},
		{"which changes nothing", 0, AcquireMarker, "b", "", MarkerHeld},
		{"its holder releases the marker", 0, ReleaseMarker, "a", "", Done},
		{"a delivery with a scope", 0, AcquireMarker, "b", "all", Done},
		{"a second one in the same scope", 0, AcquireMarker, "c", "all", Done},
		{"a second one in another scope", 0, AcquireMarker, "c", "zone", MarkerHeld},
		{"a delivery after the marker has expired", 11, AcquireMarker, "c", "", Done},
	} {
		r := apply(s, step.clock, Command{Kind: step.kind, Key: "ref", Holder: step.holder, Scope: step.scope, TTL: 10})
		if r.Code != step.want {
			t.Fatalf("%s: %v, want %v", step.name, r.Code, step.want)
		}
	}
}
