package main

import (
	"fmt"
	"net"
	"sort"
	"time"

	"otterseam/harness/tiercluster"
)

const copies = 3

// measureTakeovers kills the primary of control again and again, and prints how long it took until the next configuration was
// acknowledged, and until a turn was served after a store was killed.
func measureTakeovers(rig *tiercluster.Rig, times int) error {
	var control, store []time.Duration
	version := uint64(1)
	for i := range times {
		if err := tiercluster.Until(startLimit, func() bool { return rig.InSync(copies) }); err != nil {
			return fmt.Errorf("copies are missing: %w", err)
		}
		machine, err := controlPrimary(rig)
		if err != nil {
			return err
		}
		killed := time.Now()
		machine.Kill()
		if answer := rig.Replace(version, tiercluster.Config(version+1), startLimit); answer.Err != nil || answer.Status != 200 {
			return fmt.Errorf("configuration %d: status %d, %w", version+1, answer.Status, answer.Err)
		}
		control = append(control, time.Since(killed))
		version++
		if err := rig.StartMachine(machine); err != nil {
			return err
		}
		took, err := storeTakeover(rig, i)
		if err != nil {
			return err
		}
		store = append(store, took)
	}
	printTimes("next acknowledged configuration after the primary of control was killed", control)
	printTimes("turns of 24 programs after a store was killed", store)
	return nil
}

func controlPrimary(rig *tiercluster.Rig) (*tiercluster.Machine, error) {
	state, err := rig.Status()
	if err != nil {
		return nil, err
	}
	member, _ := state.Control.Member(state.Control.Primary)
	host, _, err := net.SplitHostPort(member.Address)
	if err != nil {
		return nil, err
	}
	for _, machine := range rig.Machines {
		if machine.IP == host {
			return machine, nil
		}
	}
	return nil, fmt.Errorf("no machine has the address %s of the primary", host)
}

// storeTakeover kills a store and measures until turns of so many programs that all shards take part are served.
func storeTakeover(rig *tiercluster.Rig, round int) (time.Duration, error) {
	if err := tiercluster.Until(startLimit, func() bool { return rig.InSync(copies) }); err != nil {
		return 0, fmt.Errorf("copies are missing: %w", err)
	}
	machine := rig.Machine(fmt.Sprintf("storage-%d", round%copies+1))
	killed := time.Now()
	machine.Kill()
	const programs = 24
	for program := range programs {
		err := tiercluster.Until(startLimit, func() bool {
			header := map[string]string{
				"X-Request-Id": fmt.Sprintf("%x", time.Now().UnixNano()), "Program": fmt.Sprintf("p-%d-%d", round, program),
				"X-Token-Count": "10,3", "Budget": "600",
			}
			answer := tiercluster.Call("POST", "http://"+rig.Fronts()[0]+"/chat/1", "try.example", header, "x")
			return answer.Err == nil && answer.Status == 200
		})
		if err != nil {
			return 0, err
		}
	}
	took := time.Since(killed)
	return took, rig.StartMachine(machine)
}

func printTimes(what string, times []time.Duration) {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	at := func(share float64) time.Duration {
		return times[int(share*float64(len(times)-1))].Round(time.Millisecond)
	}
	fmt.Printf("%s: n %d, p50 %v, p90 %v, longest %v\n", what, len(times), at(0.5), at(0.9), at(1))
}
