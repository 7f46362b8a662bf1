package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"otterseam/harness/counterload"
)

const (
	fillRate      = 10000 // additions per second
	fillSlack     = 1.05
	loadDuration  = 4 * time.Second
	loadConns     = 4
	rejoinTimeout = 60 * time.Second
	// minFilledPercent is the share of the names that the store must hold before a member is destroyed, in percent.
	minFilledPercent = 95
)

// ErrNotFilled means that the quota store holds too few names to be measured.
var ErrNotFilled = errors.New("the quota store holds too few names")

// MeasureRejoin fills a quota store with names, destroys one member with its disk and restarts it. It returns how long the member takes to
// hold its replicas again, in seconds, and the results of additions before and during that time.
func MeasureRejoin(ctx context.Context, o Options, replicas, groups, names int, disk bool, rate float64) (took float64, before, during *counterload.Result, err error) {
	s, stop, err := startStandaloneStore(ctx, o, replicas, groups, disk)
	defer stop()
	if err != nil {
		return 0, nil, nil, err
	}
	var addresses []string // of all members but the one that is destroyed
	for _, member := range s.config.Members[:replicas-1] {
		addresses = append(addresses, member.CounterAddress)
	}
	load := counterload.Load{Addresses: addresses, Conns: loadConns, Keys: names}
	if err := s.fill(ctx, load); err != nil {
		return 0, nil, nil, err
	}
	load.Rate = rate
	load.Duration = loadDuration
	load.HotKey = true
	before = load.Run(ctx)
	if err := s.destroyMember(ctx, replicas-1); err != nil {
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
	during = load.Run(ctx)
	err = <-done
	return took, before, during, err
}

// fill adds once to each name of a load, one after the other. It returns ErrNotFilled if the store holds too few of them afterwards.
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
	if held < load.Keys*minFilledPercent/100 {
		return fmt.Errorf("%w: %d of %d", ErrNotFilled, held, load.Keys)
	}
	return nil
}

// destroyMember kills a member, removes its disk, and waits until other members lead its groups. The time for that is measured by
// MeasureTakeovers.
func (s *store) destroyMember(ctx context.Context, member int) error {
	process := s.process(member)
	process.Kill()
	removeDir(process)
	return s.waitLeaders(ctx, takeoverTimeout)
}
