package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"otterseam/harness/counterload"
)

const (
	fillRate      = 10000 // additions a second
	fillSlack     = 1.05
	loadTime      = 4 * time.Second
	loadConns     = 4
	rejoinTimeout = 60 * time.Second
	// leastFilled is the part of the names that has to be held before a machine is taken, in percent.
	leastFilled = 95
)

// ErrNotFilled is a quota store that holds too few names to be measured.
var ErrNotFilled = errors.New("too few names are held")

// MeasureRejoin fills a quota store with names, takes one machine with its disk, and returns how long it takes until it holds its replicas
// again, in seconds, and what additions met before and meanwhile.
func MeasureRejoin(ctx context.Context, o Options, replicas, groups, names int, disk bool, rate float64) (took float64, before, meanwhile *counterload.Result, err error) {
	s, end, err := startBareStore(ctx, o, replicas, groups, disk)
	defer end()
	if err != nil {
		return 0, nil, nil, err
	}
	var addresses []string // of all but the machine that is taken
	for _, member := range s.config.Members[:replicas-1] {
		addresses = append(addresses, member.CounterAddress)
	}
	load := counterload.Load{Addresses: addresses, Conns: loadConns, Keys: names}
	if err := s.fill(ctx, load); err != nil {
		return 0, nil, nil, err
	}
	load.Rate = rate
	load.Duration = loadTime
	load.HotKey = true
	before = load.Run(ctx)
	if err := s.takeMachine(ctx, replicas-1); err != nil {
		return 0, nil, nil, err
	}
	began := time.Now()
	s.restartAfter(replicas-1, 0)
	done := make(chan error, 1)
	go func() {
		err := s.waitReplicas(ctx, rejoinTimeout)
		took = time.Since(began).Seconds()
		done <- err
	}()
	meanwhile = load.Run(ctx)
	err = <-done
	return took, before, meanwhile, err
}

// fill adds to all names of a load once, one after the other. It returns ErrNotFilled if too few are held then.
func (s *store) fill(ctx context.Context, load counterload.Load) error {
	load.Rate = fillRate
	load.Duration = time.Duration(float64(load.Keys) / fillRate * fillSlack * 1e9)
	load.RoundRobin = true
	load.Run(ctx)
	held := 0
	for _, status := range s.statuses() {
		for _, group := range ledGroups(status) {
			held += group.Counters
		}
	}
	if held < load.Keys*leastFilled/100 {
		return fmt.Errorf("%w: %d of %d", ErrNotFilled, held, load.Keys)
	}
	return nil
}

// takeMachine kills a member, removes its disk, and waits until others lead its groups: how long that takes is another measurement.
func (s *store) takeMachine(ctx context.Context, member int) error {
	process := s.process(member)
	process.Kill()
	removeDir(process)
	return s.waitLeaders(ctx, takeoverTimeout)
}
