package tiercluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// All that was acknowledged outlives any one machine with a disk, and all of them being killed at once.
func TestWhatWasAcknowledgedOutlivesKillsAndALostDisk(t *testing.T) {
	w := newWorld(t, 3)
	previous := w.turnOK(0, "p", "", "9000", 3, "one ")
	w.replace(1, 2, http.StatusOK)
	version := uint64(2)
	want := "one e1\n"
	strike := func(name string, wipe bool) {
		machine := w.cluster.Machine(name)
		machine.Kill()
		if wipe {
			if err := w.cluster.WipeDisk(machine); err != nil {
				t.Fatal(err)
			}
		}
		previous = w.turnOK(1, "p", previous, "9000", 3, name+" ")
		want += name + " e1\n"
		w.replace(version, version+1, http.StatusOK)
		version++
		if err := w.cluster.StartMachine(machine); err != nil {
			t.Fatal(err)
		}
		w.waitCopies()
	}
	strike("storage-1", false)
	strike("core-1", false)
	strike("storage-2", true)
	strike("core-2", true)
	strike("storage-3", false)
	strike("core-3", false)
	for _, machine := range w.cluster.Machines {
		machine.Kill()
	}
	for _, machine := range w.cluster.Machines {
		if err := w.cluster.StartMachine(machine); err != nil {
			t.Fatal(err)
		}
	}
	last := w.turnOK(0, "p", previous, "9000", 3, "last")
	if runs := w.ran(last); len(runs) != 1 || runs[0].Body != want+"last" {
		t.Fatalf("the host got %+v, not %q", runs, want+"last")
	}
	w.replace(version, version+1, http.StatusOK)
}

// After all of control and all stores were stopped, they serve again without any one of them.
func TestTheTierComesBackWithoutOneOfEach(t *testing.T) {
	w := newWorld(t, 3)
	previous := w.turnOK(0, "p", "", "9000", 3, "one ")
	version := uint64(1)
	for missing := 1; missing <= 3; missing++ {
		lost := map[string]bool{fmt.Sprintf("core-%d", missing): true, fmt.Sprintf("storage-%d", missing): true}
		var down []*Machine
		for _, machine := range w.cluster.Machines {
			if strings.HasPrefix(machine.Name, "front-") {
				continue
			}
			machine.Kill()
			down = append(down, machine)
		}
		for _, machine := range down {
			if !lost[machine.Name] {
				w.start(machine)
			}
		}
		w.replace(version, version+1, http.StatusOK)
		version++
		previous = w.turnOK(0, "p", previous, "9000", 3, "again ")
		for _, machine := range down {
			if lost[machine.Name] {
				w.start(machine)
			}
		}
		w.waitCopies()
	}
}
