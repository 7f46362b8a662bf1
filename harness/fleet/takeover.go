package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
	"otterseam/sim/scenario"
)

const (
	probeTimeout    = 2 * time.Second
	probeInterval   = 5 * time.Millisecond
	takeoverTimeout = 20 * time.Second
	replicaInterval = 20 * time.Millisecond
	// replaceAfter is how long a member may be absent before another replaces it, in seconds. It is longer than any measurement.
	replaceAfter = 30
)

// startStandaloneStore starts a quota store without api gateways and without links between its members, since a link would accept
// connections for a process that has exited. The function stop ends the store and must be called also on an error.
func startStandaloneStore(ctx context.Context, o Options, replicas, groups int, disk bool) (s *store, stop func(), err error) {
	script := &scenario.Scenario{Name: "bare", QuotaStore: scenario.QuotaStore{Disk: disk, Holds: "adds"}}
	script.QuotaStore.Count.Lo = float64(replicas)
	script.QuotaStore.Replicas.Lo = float64(replicas)
	script.QuotaStore.Groups.Lo = float64(groups)
	script.QuotaStore.Lost.Lo = replaceAfter
	o.directPeers = true
	f := newInjector(script, 1)
	s, err = startStore(ctx, f, o, &script.QuotaStore, 1)
	stop = func() {
		s.stop()
		f.close()
	}
	return s, stop, err
}

// probe requests one addition to a counter from a member, and reports whether it was acknowledged.
func probe(address, name string) bool {
	c, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		return false
	}
	if _, err := fmt.Fprintf(c, "POST /counters/%s?by=1&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n", name); err != nil {
		return false
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "HTTP/1.1 200")
}

// takeoverResult is the result of the probes of all takeovers.
type takeoverResult struct {
	mu     sync.Mutex
	took   []float64 // seconds, for each group
	failed int
}

// MeasureTakeovers kills the member that leads the most groups the given number of times. It returns how long each group that it led gave
// no answer, in seconds and sorted, and how many probes were rejected or cut off in that time.
func MeasureTakeovers(ctx context.Context, o Options, replicas, groups, kills int, disk bool) (took []float64, failed int, err error) {
	s, stop, err := startStandaloneStore(ctx, o, replicas, groups, disk)
	defer stop()
	if err != nil {
		return nil, 0, err
	}
	result := &takeoverResult{}
	names := counterNamePerGroup(groups)
	for range kills {
		if err := s.measureTakeover(ctx, names, result); err != nil {
			return result.took, result.failed, err
		}
	}
	slices.Sort(result.took)
	return result.took, result.failed, nil
}

// counterNamePerGroup returns a counter name for each group.
func counterNamePerGroup(groups int) []string {
	names := make([]string, groups)
	for i := 0; slices.Contains(names, ""); i++ {
		name := fmt.Sprint("probe-", i)
		names[replication.GroupOf(name, groups)] = name
	}
	return names
}

// measureTakeover kills the member that leads the most groups, probes each of these until it answers, and waits until the member holds its
// replicas again.
func (s *store) measureTakeover(ctx context.Context, names []string, result *takeoverResult) error {
	leader, led := s.memberLeadingMost()
	address := s.config.Members[(leader+1)%len(s.config.Members)].CounterAddress
	process := s.process(leader)
	began := time.Now()
	process.Kill()
	var probes sync.WaitGroup
	for _, group := range led {
		probes.Go(func() { result.probeUntilAnswered(ctx, address, names[group.Group], began) })
	}
	probes.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	s.restartAfter(leader, 0)
	return s.waitReplicas(ctx, takeoverTimeout)
}

func (r *takeoverResult) probeUntilAnswered(ctx context.Context, address, name string, began time.Time) {
	for ctx.Err() == nil && time.Since(began) < takeoverTimeout {
		if probe(address, name) {
			break
		}
		r.mu.Lock()
		r.failed++
		r.mu.Unlock()
		time.Sleep(probeInterval)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took = append(r.took, time.Since(began).Seconds())
}

// NotReplicatedError means that the members of the quota store do not hold all replicas within a timeout.
type NotReplicatedError struct {
	Timeout time.Duration
}

// Error includes the timeout.
func (e *NotReplicatedError) Error() string {
	return fmt.Sprintf("the keepers do not hold all replicas after %v", e.Timeout)
}

// waitReplicas waits until every group has its full number of replicas, each in the current incarnation of its member, and all replicas
// agree on that. It returns a *NotReplicatedError if that takes longer than the timeout.
func (s *store) waitReplicas(ctx context.Context, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(replicaInterval) {
		if s.isReplicated(s.statuses()) {
			return nil
		}
	}
	return &NotReplicatedError{Timeout: timeout}
}

// isReplicated reports whether all members answer, and all groups have a leader and all replicas.
func (s *store) isReplicated(statuses []*protocol.Admin) bool {
	if slices.Contains(statuses, nil) {
		return false
	}
	leaders := 0
	for _, status := range statuses {
		for _, group := range ledGroups(status) {
			leaders++
			if !s.isGroupReplicated(&group, statuses) {
				return false
			}
		}
	}
	return leaders == s.config.Groups
}

// isGroupReplicated reports whether a group is complete according to its leader and all its replicas.
func (s *store) isGroupReplicated(group *protocol.GroupHealth, statuses []*protocol.Admin) bool {
	if !group.Stable || !group.AllInSync || len(group.Replicas) != s.config.Replicas {
		return false
	}
	for _, id := range group.Replicas {
		status := statuses[id.Number()]
		if status.Incarnation != id.Incarnation() {
			return false
		}
		if own := &status.Health[group.Group]; !own.Stable || !slices.Equal(own.Replicas, group.Replicas) {
			return false
		}
	}
	return true
}
