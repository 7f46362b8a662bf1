package tiersoak

import (
	"context"
	"fmt"
	"time"

	"otterseam/harness/misbehavior"
	"otterseam/harness/tiercluster"
)

// usageInterval is the interval between two checks of all processes.
const usageInterval = 100 * time.Millisecond

// watchProcesses checks until the context ends that no process ends by itself and that each stays within its limits.
func (s *soak) watchProcesses(ctx context.Context) {
	reported := map[string]bool{}
	for ctx.Err() == nil {
		for _, machine := range s.cluster.Machines { // none is added during a soak
			for role, limits := range processLimits {
				for _, violation := range checkProcess(machine, role, limits) {
					if key := machine.Name + role + violation.kind; !reported[key] {
						reported[key] = true
						s.addViolation(violation.text)
					}
				}
			}
		}
		sleep(ctx, usageInterval)
	}
}

func (s *soak) addViolation(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, text)
}

// violation is a broken limit of a process.
type violation struct{ kind, text string }

// checkProcess checks the machine's process with a role, if there is one that runs. A process that is being killed has no usage.
func checkProcess(machine *tiercluster.Machine, role string, limits tiercluster.Limits) []violation {
	process := machine.Process(role)
	if process == nil {
		return nil
	}
	if exited, requested, err := process.ExitState(); exited {
		if requested {
			return nil
		}
		return []violation{{"exit", fmt.Sprintf("%s ended by itself: %v", process.Name, err)}}
	}
	var found []violation
	if peak, err := misbehavior.PeakMemoryMB(process.PID()); err == nil && peak > limits.MemoryMB {
		found = append(found, violation{"memory", fmt.Sprintf("%s: peak memory %d MB of %d", process.Name, peak, limits.MemoryMB)})
	}
	if open, err := misbehavior.OpenDescriptors(process.PID()); err == nil && open > limits.MaxFDs {
		found = append(found, violation{"descriptors", fmt.Sprintf("%s: %d descriptors of %d", process.Name, open, limits.MaxFDs)})
	}
	return found
}
