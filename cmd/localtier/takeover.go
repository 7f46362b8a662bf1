package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"otterseam/harness/tiercluster"
)

const (
	// replicas is the number of replicas of control and of each shard.
	replicas = 3
	// takeoverPrograms is the number of agent programs that send a turn after a store was killed. It is large enough to reach all
	// shards.
	takeoverPrograms = 24
)

var errNoPrimary = errors.New("no machine has the address of the primary")

// measureTakeovers kills the primary of control and a store, a number of times each. It prints the times until the next
// configuration was acknowledged and until turns were served.
func measureTakeovers(cluster *tiercluster.Cluster, times int) error {
	var control, store []time.Duration
	for round := range times {
		took, err := controlTakeover(cluster, uint64(round+1))
		if err != nil {
			return err
		}
		control = append(control, took)
		if took, err = storeTakeover(cluster, round); err != nil {
			return err
		}
		store = append(store, took)
	}
	printTimes("next acknowledged configuration after the primary of control was killed", control)
	printTimes(fmt.Sprintf("turns of %d programs after a store was killed", takeoverPrograms), store)
	return nil
}

func waitInSync(cluster *tiercluster.Cluster) error {
	if err := tiercluster.WaitUntil(startTimeout, func() bool { return cluster.IsInSync(replicas) }); err != nil {
		return fmt.Errorf("not all replicas are in sync: %w", err)
	}
	return nil
}

// controlTakeover kills the primary of control and returns the time until the configuration after version is acknowledged.
func controlTakeover(cluster *tiercluster.Cluster, version uint64) (time.Duration, error) {
	if err := waitInSync(cluster); err != nil {
		return 0, err
	}
	machine, err := controlPrimary(cluster)
	if err != nil {
		return 0, err
	}
	killed := time.Now()
	machine.Kill()
	if err := replaceConfig(cluster, version); err != nil {
		return 0, err
	}
	took := time.Since(killed)
	return took, cluster.StartMachine(machine)
}

func controlPrimary(cluster *tiercluster.Cluster) (*tiercluster.Machine, error) {
	state, err := cluster.Status()
	if err != nil {
		return nil, err
	}
	member, _ := state.Control.Member(state.Control.Primary)
	host, _, err := net.SplitHostPort(member.Address)
	if err != nil {
		return nil, err
	}
	for _, machine := range cluster.Machines {
		if machine.IP == host {
			return machine, nil
		}
	}
	return nil, fmt.Errorf("%w: %s", errNoPrimary, host)
}

// storeTakeover kills a store and returns the time until turns of takeoverPrograms programs are served.
func storeTakeover(cluster *tiercluster.Cluster, round int) (time.Duration, error) {
	if err := waitInSync(cluster); err != nil {
		return 0, err
	}
	machine := cluster.Machine(fmt.Sprintf("storage-%d", round%replicas+1))
	front := cluster.FrontAddresses()[0]
	killed := time.Now()
	machine.Kill()
	for program := range takeoverPrograms {
		name := fmt.Sprintf("p-%d-%d", round, program)
		if err := tiercluster.WaitUntil(startTimeout, func() bool { return isTurnServed(front, name) }); err != nil {
			return 0, err
		}
	}
	took := time.Since(killed)
	return took, cluster.StartMachine(machine)
}

// isTurnServed sends a turn of an agent program and reports whether it succeeded.
func isTurnServed(front, program string) bool {
	header := map[string]string{
		"X-Request-Id":  fmt.Sprintf("%x", time.Now().UnixNano()),
		"Program":       program,
		"X-Token-Count": "10,3",
		"Budget":        "600",
	}
	response := tiercluster.Call(http.MethodPost, "http://"+front+"/chat/1", tiercluster.ExampleHost, header, "x")
	return response.Err == nil && response.Status == http.StatusOK
}

// printTimes prints the number of times, their median, their 90th percentile and their maximum.
func printTimes(label string, times []time.Duration) {
	slices.Sort(times)
	quantile := func(q float64) time.Duration {
		return times[int(q*float64(len(times)-1))].Round(time.Millisecond)
	}
	fmt.Printf("%s: n %d, p50 %v, p90 %v, longest %v\n", label, len(times), quantile(0.5), quantile(0.9), quantile(1))
}
