package fleet

// This file owns two measurements of keepers on real processes: how long a group is without an answer when the process that
// leads it is killed, and how long a machine with an empty disk takes to hold its part again.

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"otterseam/harness/counterload"
	"otterseam/quotastore/replication"
	"otterseam/sim/scenario"
)

// bare starts keepers without api gateways.
func bare(ctx context.Context, o Options, copies, groups int, disk bool) (*keepers, func(), error) {
	d := &scenario.Scenario{Name: "bare", QuotaStore: scenario.QuotaStore{Disk: disk, Holds: "adds"}}
	d.QuotaStore.Count.Lo, d.QuotaStore.Replicas.Lo, d.QuotaStore.Groups.Lo, d.QuotaStore.Lost.Lo = float64(copies), float64(copies), float64(groups), 30
	o.direct = true // a link of ours would take connections for a process that is gone
	r := newRig(d, 1)
	k, err := newKeepers(ctx, r, o, &d.QuotaStore, 1)
	return k, func() { k.end(); r.close() }, err
}

// probe asks a door for one add to a name, and says whether it was answered.
func probe(addr, name string, limit time.Duration) bool {
	c, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(limit))
	fmt.Fprintf(c, "POST /counters/%s?by=1&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n", name)
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && len(line) > 12 && line[9:12] == "200"
}

// Takeovers kills the keeper that leads most groups so many times, and gives for each group that it led how long nobody got
// an answer, in seconds; and how many probes were turned away or cut off meanwhile.
func Takeovers(ctx context.Context, o Options, copies, groups, times int, disk bool) (took []float64, failed int, err error) {
	k, end, err := bare(ctx, o, copies, groups, disk)
	defer end()
	if err != nil {
		return nil, 0, err
	}
	names := make([]string, groups)
	for i := 0; slices.Contains(names, ""); i++ {
		name := fmt.Sprint("probe-", i)
		names[replication.GroupOf(name, groups)] = name
	}
	for range times {
		leader, lost := k.leading()
		door := k.direct.Members[(leader+1)%copies].CounterAddress
		p := k.process(leader)
		begin := time.Now()
		p.Kill()
		var mu sync.Mutex
		var all sync.WaitGroup
		for _, h := range lost {
			all.Go(func() {
				for ctx.Err() == nil && time.Since(begin) < 20*time.Second {
					if probe(door, names[h.Group], 2*time.Second) {
						break
					}
					mu.Lock()
					failed++
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
				}
				mu.Lock()
				took = append(took, time.Since(begin).Seconds())
				mu.Unlock()
			})
		}
		all.Wait()
		if err := ctx.Err(); err != nil {
			return took, failed, err
		}
		k.back(leader, 0)
		if err := k.restored(ctx, 20*time.Second); err != nil {
			return took, failed, err
		}
	}
	slices.Sort(took)
	return took, failed, nil
}

// restored waits until every group is held by as many keepers as there should be, each in the life it has now, as all of
// them know.
func (k *keepers) restored(ctx context.Context, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		all, ok := k.who(), true
		leaders := 0
		for _, a := range all {
			ok = ok && a != nil
			for _, h := range led(a) {
				leaders++
				ok = ok && h.Stable && h.AllInSync && len(h.Replicas) == k.direct.Replicas
				for _, id := range h.Replicas {
					b := all[id.Number()]
					ok = ok && b != nil && b.Incarnation == id.Incarnation() && b.Health[h.Group].Stable && slices.Equal(b.Health[h.Group].Replicas, h.Replicas)
				}
			}
		}
		if ok && leaders == k.direct.Groups {
			return nil
		}
	}
	return fmt.Errorf("the keepers do not hold everything again after %v", limit)
}

// Recopied fills keepers with names, takes one machine with its disk, and gives how long it takes to hold its part again, and
// what adds took before and meanwhile.
func Recopied(ctx context.Context, o Options, copies, groups, names int, disk bool, rate float64) (took float64, calm, meanwhile *counterload.Result, err error) {
	k, end, err := bare(ctx, o, copies, groups, disk)
	defer end()
	if err != nil {
		return 0, nil, nil, err
	}
	var doors []string
	for _, spot := range k.direct.Members[:copies-1] {
		doors = append(doors, spot.CounterAddress)
	}
	run := func(turn bool, rate float64, length time.Duration) *counterload.Result {
		l := counterload.Load{Addresses: doors, Rate: rate, Duration: length, Conns: 4, Keys: names, HotKey: !turn, RoundRobin: turn}
		return l.Run(ctx)
	}
	run(true, 10000, time.Duration(float64(names)/10000*1.05e9))
	held := 0
	for _, a := range k.who() {
		for _, h := range led(a) {
			held += h.Counters
		}
	}
	if held < names*95/100 {
		return 0, nil, nil, fmt.Errorf("only %d of %d names are held", held, names)
	}
	calm = run(false, rate, 4*time.Second)
	p := k.process(copies - 1)
	p.Kill()
	<-p.Done()
	p.RemoveDir()
	if err = k.whole(ctx, 20*time.Second); err != nil { // how long others take to lead is another measurement
		return 0, nil, nil, err
	}
	begin := time.Now()
	k.back(copies-1, 0)
	done := make(chan error, 1)
	go func() { done <- k.restored(ctx, 60*time.Second); took = time.Since(begin).Seconds() }()
	meanwhile = run(false, rate, 4*time.Second)
	err = <-done
	return took, calm, meanwhile, err
}
