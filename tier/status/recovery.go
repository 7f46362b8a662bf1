package status

import (
	"context"
	"sync"
	"time"

	"otterseam/tier/rpc"
	"otterseam/tier/timeline"
)

// Recovery is when a process reached each step after its start, in milliseconds.
type Recovery struct {
	Address string           `json:"address"`
	AfterMS map[string]int64 `json:"after_ms"`
}

// recoveryTimeout is how long a process may take to tell its timeline; one that hangs must not delay the others.
const recoveryTimeout = 300 * time.Millisecond

// readRecovery asks processes for their timelines, in the order of their addresses. Those that don't answer are left out.
func readRecovery(ctx context.Context, addresses []string) []Recovery {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	answers := make([]map[string]int64, len(addresses))
	var asking sync.WaitGroup
	for i, address := range addresses {
		asking.Go(func() {
			client := rpc.NewClient(address, nil)
			defer client.Close()
			if answer, err := client.Call(ctx, timeline.KindTimeline, nil); err == nil {
				answers[i] = timeline.Decode(answer)
			}
		})
	}
	asking.Wait()
	var all []Recovery
	for i, steps := range answers {
		if steps != nil {
			all = append(all, Recovery{addresses[i], steps})
		}
	}
	return all
}
