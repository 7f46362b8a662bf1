package outlier_test

import (
	"fmt"

	"otterseam/tier/outlier"
)

// Two gateways see one of four hosts break connections. The detector ejects the host, for longer the second time.
func ExampleDetector() {
	fleet := outlier.Fleet{"chat": {{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}}
	gateways := []*outlier.Collector{outlier.NewCollector(1, "zone-1"), outlier.NewCollector(2, "zone-2")}
	detector := outlier.NewDetector()
	for _, now := range []int64{1_000_000, 1_010_000} {
		for _, gateway := range gateways {
			for _, host := range fleet["chat"] {
				gateway.RecordRequest(host.ID)
			}
			for range 5 {
				gateway.RecordFailure("b", outlier.ConnectionBroken)
			}
			detector.Add(gateway.Flush(), now)
		}
		fmt.Println(detector.Decide(fleet, now))
	}
	// Output:
	// [{b 2000}]
	// [{b 4000}]
}
