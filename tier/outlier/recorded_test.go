package outlier

import (
	"testing"

	"otterseam/tier/internal/recorded"
)

func TestRecordedWindow(t *testing.T) {
	window := Window{
		Reporter: 0x0102030405060708, Number: 0x1112131415161718, Zone: "zone-b", Contacted: 0x21222324,
		Hosts: []Observation{
			{Host: "host-1", Counts: [failureKinds]uint32{ConnectFailed: 1, ConnectionBroken: 2, Hung: 3, ServerError: 4}},
			{Host: "host-22", Counts: [failureKinds]uint32{ConnectFailed: 0x31323334, ConnectionBroken: 6, Hung: 7, ServerError: 8}},
		},
	}
	recorded.CheckBoth(t, "window", window, Window.Encode, DecodeWindow)
}
