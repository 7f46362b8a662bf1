package tiercluster

import (
	"net/http"
	"strings"
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/status"
)

// control waits until the record of control is as wanted, and returns it.
func (w *world) control(what string, wanted func(consensus.Record) bool) consensus.Record {
	w.Helper()
	var state status.Status
	err := WaitUntil(limit, func() bool {
		var err error
		state, err = w.cluster.Status()
		return err == nil && wanted(state.Control)
	})
	if err != nil {
		w.Fatalf("%s: %v, control is %+v", what, err, state.Control)
	}
	return state.Control
}

func names(members []consensus.Member) string {
	var all []string
	for _, member := range members {
		all = append(all, member.Node)
	}
	return strings.Join(all, " ")
}

// wipe takes a machine's disk away and starts it again.
func (w *world) wipe(machine *Machine) {
	w.Helper()
	machine.Kill()
	if err := w.cluster.WipeDisk(machine); err != nil {
		w.Fatal(err)
	}
	w.start(machine)
}

// A core machine is replaced as planned, and the oldest of the others loses its disk right then.
func TestAWipeRightAfterAPlannedReplacement(t *testing.T) {
	w := newWorld(t, 3)
	fresh, err := w.cluster.AddMachine("core-1")
	if err != nil {
		t.Fatal(err)
	}
	w.control("the new machine holds a copy", func(r consensus.Record) bool { return strings.Contains(names(r.Learners), fresh.Name) })
	w.cluster.Machine("core-1").ShutDown()
	after := w.control("the new machine votes", func(r consensus.Record) bool {
		return strings.Contains(names(r.Members), fresh.Name) && len(r.Previous) == 0
	})
	if strings.Contains(names(after.Members), "core-1 ") || len(after.Members) != 3 {
		t.Fatalf("members: %s", names(after.Members))
	}
	w.replace(1, 2, http.StatusOK)
	w.wipe(w.cluster.Machine("core-2"))
	w.replace(2, 3, http.StatusOK)
	w.waitCopies()
}

// The leader is stopped for good, and who follows it is killed as soon as it leads.
func TestTheSuccessorIsKilledInTheHandover(t *testing.T) {
	w := newWorld(t, 3)
	before := w.control("control leads", func(r consensus.Record) bool { return len(r.InSync) == 3 })
	leader, _ := before.Member(before.Primary)
	left := make(chan struct{})
	go func() {
		w.cluster.Machine(leader.Node).ShutDown()
		close(left)
	}()
	after := w.control("another leads", func(r consensus.Record) bool { return r.Primary != before.Primary })
	successor, _ := after.Member(after.Primary)
	w.cluster.Machine(successor.Node).Kill()
	<-left
	w.start(w.cluster.Machine(successor.Node))
	w.replace(1, 2, http.StatusOK)
	w.start(w.cluster.Machine(leader.Node))
	w.waitCopies()
}

// One of three seeds is silent when the tier is founded; one of the two founders loses its disk; then the third comes.
func TestFoundingWithASilentSeedBearsAWipe(t *testing.T) {
	w := startWorld(t, Options{Controls: 3, Stores: 3, ToleratedLosses: 1, InitiallyDown: []string{"core-3"}})
	w.wipe(w.cluster.Machine("core-2"))
	w.replace(1, 2, http.StatusOK)
	w.start(w.cluster.Machine("core-3"))
	w.control("three members", func(r consensus.Record) bool {
		return len(r.Members) == 3 && len(r.InSync) == 3 && len(r.Previous) == 0
	})
	w.wipe(w.cluster.Machine("core-1"))
	w.replace(2, 3, http.StatusOK)
	w.waitCopies()
}

// Of five members two leave for good and one loses its disk.
func TestTwoLeaveAndOneIsLost(t *testing.T) {
	w := startWorld(t, Options{Controls: 5, Stores: 5, ToleratedLosses: 2})
	w.control("five members", func(r consensus.Record) bool { return len(r.Members) == 5 && len(r.InSync) == 5 })
	left := make(chan struct{})
	for _, name := range []string{"core-4", "core-5"} {
		go func() {
			w.cluster.Machine(name).ShutDown()
			left <- struct{}{}
		}()
	}
	<-left
	<-left
	w.control("three members", func(r consensus.Record) bool { return len(r.Members) == 3 && len(r.Previous) == 0 })
	w.replace(1, 2, http.StatusOK)
	w.wipe(w.cluster.Machine("core-2"))
	w.replace(2, 3, http.StatusOK)
}

// A store is retired; when it is complete it goes, and another store loses its disk right then.
func TestAWipeRightAfterARetirement(t *testing.T) {
	w := newWorld(t, 4)
	previous := w.turnOK(0, "p", "", "9000", 3, "one ")
	control := "http://" + w.cluster.ControlAddresses()[0]
	if got := Call(http.MethodPost, control+"/v1/retire/storage-1/begin", "", nil, `{"deadline_s":10}`); got.Status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	err := WaitUntil(limit, func() bool {
		return strings.Contains(Call(http.MethodGet, control+"/v1/retire/storage-1/read", "", nil, "").Body, "completed")
	})
	if err != nil {
		t.Fatal(err)
	}
	w.cluster.Machine("storage-1").Kill()
	w.wipe(w.cluster.Machine("storage-2"))
	last := w.turnOK(1, "p", previous, "9000", 3, "last")
	if runs := w.ran(last); len(runs) != 1 || runs[0].Body != "one e1\nlast" {
		t.Fatalf("the host got %+v", runs)
	}
	w.waitCopies()
}
