package tiercluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Checks that acknowledged data survives the kill of any control or store machine, the loss of one disk of each class, and a kill of all
// machines at once.
func TestAcknowledgedDataSurvivesKillsAndDiskLosses(t *testing.T) {
	c := newTestCluster(t, 3)
	previous := c.turnOK(0, "p", "", "9000", 3, "one ")
	c.replace(1, 2, http.StatusOK)
	version := uint64(2)
	want := "one e1\n"
	killAndRestart := func(name string, wipe bool) {
		machine := c.cluster.Machine(name)
		machine.Kill()
		if wipe {
			if err := c.cluster.WipeDisk(machine); err != nil {
				t.Fatal(err)
			}
		}
		previous = c.turnOK(1, "p", previous, "9000", 3, name+" ")
		want += name + " e1\n"
		c.replace(version, version+1, http.StatusOK)
		version++
		if err := c.cluster.StartMachine(machine); err != nil {
			t.Fatal(err)
		}
		c.waitInSync()
	}
	killAndRestart("storage-1", false)
	killAndRestart("core-1", false)
	killAndRestart("storage-2", true)
	killAndRestart("core-2", true)
	killAndRestart("storage-3", false)
	killAndRestart("core-3", false)
	for _, machine := range c.cluster.Machines {
		machine.Kill()
	}
	for _, machine := range c.cluster.Machines {
		if err := c.cluster.StartMachine(machine); err != nil {
			t.Fatal(err)
		}
	}
	last := c.turnOK(0, "p", previous, "9000", 3, "last")
	if runs := c.executions(last); len(runs) != 1 || runs[0].Body != want+"last" {
		t.Fatalf("hosts executed %+v, want %q", runs, want+"last")
	}
	c.replace(version, version+1, http.StatusOK)
}

// Checks that after all control and store machines were killed, the tier serves again without one machine of each class.
func TestTierRestartsWithoutOneControlAndOneStore(t *testing.T) {
	c := newTestCluster(t, 3)
	previous := c.turnOK(0, "p", "", "9000", 3, "one ")
	version := uint64(1)
	for missing := 1; missing <= 3; missing++ {
		lost := map[string]bool{fmt.Sprintf("core-%d", missing): true, fmt.Sprintf("storage-%d", missing): true}
		var down []*Machine
		for _, machine := range c.cluster.Machines {
			if strings.HasPrefix(machine.Name, "front-") {
				continue
			}
			machine.Kill()
			down = append(down, machine)
		}
		for _, machine := range down {
			if !lost[machine.Name] {
				c.start(machine)
			}
		}
		c.replace(version, version+1, http.StatusOK)
		version++
		previous = c.turnOK(0, "p", previous, "9000", 3, "again ")
		for _, machine := range down {
			if lost[machine.Name] {
				c.start(machine)
			}
		}
		c.waitInSync()
	}
}
