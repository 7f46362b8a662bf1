package timeline_test

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"otterseam/tier/timeline"
)

// A process records the steps that it reaches, and a reader finds them by name.
func ExampleTimeline() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	recovery := timeline.New(logrus.NewEntry(log))
	recovery.Reach(timeline.DiskRead)

	steps := timeline.Decode(recovery.Encode())
	_, read := steps[timeline.DiskRead.String()]
	_, led := steps[timeline.ShardLed.String()]
	fmt.Println(read, led)
	// Output:
	// true false
}
