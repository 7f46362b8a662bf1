package status

import (
	"context"
	"sync"
	"time"

	"otterseam/tier/rpc"
	"otterseam/tier/timeline"
)

// Recovery contains the milliseconds from the start of a process to each recovery step that it has reached, by the name of the step.
type Recovery struct {
	Address string           `json:"address"`
	AfterMS map[string]int64 `json:"after_ms"`
}

// recoveryTimeout is the time limit for reading the timelines, so that a process that hangs does not delay the status.
const recoveryTimeout = 300 * time.Millisecond

// readRecovery returns the timelines of processes, in the order of their addresses. Processes that don't answer are omitted.
func readRecovery(ctx context.Context, addresses []string) []Recovery {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	answers := make([]map[string]int64, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			client := rpc.NewClient(address, nil)
			defer client.Close()
			if answer, err := client.Call(ctx, timeline.KindTimeline, nil); err == nil {
				answers[i] = timeline.Decode(answer)
			}
		})
	}
	calls.Wait()
	var all []Recovery
	for i, steps := range answers {
		if steps != nil {
			all = append(all, Recovery{addresses[i], steps})
		}
	}
	return all
}
