package tiercluster

import (
	"net/http"
	"strings"
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/status"
)

// waitControl waits until the record of control satisfies wanted, and returns it.
func (c *testCluster) waitControl(what string, wanted func(consensus.Record) bool) consensus.Record {
	c.Helper()
	var state status.Status
	err := WaitUntil(limit, func() bool {
		var err error
		state, err = c.cluster.Status()
		return err == nil && wanted(state.Control)
	})
	if err != nil {
		c.Fatalf("%s: %v, control is %+v", what, err, state.Control)
	}
	return state.Control
}

func nodeNames(members []consensus.Member) string {
	var all []string
	for _, member := range members {
		all = append(all, member.Node)
	}
	return strings.Join(all, " ")
}

// restartWithEmptyDisk kills a machine, deletes its disk and starts it again.
func (c *testCluster) restartWithEmptyDisk(machine *Machine) {
	c.Helper()
	machine.Kill()
	if err := c.cluster.WipeDisk(machine); err != nil {
		c.Fatal(err)
	}
	c.start(machine)
}

// Guards against data loss when a control machine is replaced as planned and, right afterwards, the oldest of the others loses its disk.
func TestDiskLossRightAfterPlannedReplacement(t *testing.T) {
	c := newTestCluster(t, 3)
	added, err := c.cluster.AddMachine("core-1")
	if err != nil {
		t.Fatal(err)
	}
	c.waitControl("new machine is a learner", func(r consensus.Record) bool { return strings.Contains(nodeNames(r.Learners), added.Name) })
	c.cluster.Machine("core-1").ShutDown()
	after := c.waitControl("new machine is a member", func(r consensus.Record) bool {
		return strings.Contains(nodeNames(r.Members), added.Name) && len(r.Previous) == 0
	})
	if strings.Contains(nodeNames(after.Members), "core-1 ") || len(after.Members) != 3 {
		t.Fatalf("members: %s", nodeNames(after.Members))
	}
	c.replace(1, 2, http.StatusOK)
	c.restartWithEmptyDisk(c.cluster.Machine("core-2"))
	c.replace(2, 3, http.StatusOK)
	c.waitInSync()
}

// Guards against a tier without a primary when the primary shuts down and its successor is killed as soon as it takes over.
func TestSuccessorKilledDuringHandover(t *testing.T) {
	c := newTestCluster(t, 3)
	before := c.waitControl("all replicas in sync", func(r consensus.Record) bool { return len(r.InSync) == 3 })
	leader, _ := before.Member(before.Primary)
	exited := make(chan struct{})
	go func() {
		c.cluster.Machine(leader.Node).ShutDown()
		close(exited)
	}()
	after := c.waitControl("another primary", func(r consensus.Record) bool { return r.Primary != before.Primary })
	successor, _ := after.Member(after.Primary)
	c.cluster.Machine(successor.Node).Kill()
	<-exited
	c.start(c.cluster.Machine(successor.Node))
	c.replace(1, 2, http.StatusOK)
	c.start(c.cluster.Machine(leader.Node))
	c.waitInSync()
}

// Guards against data loss when the tier bootstraps with one of three seeds down, and one of the other two loses its disk before the
// third starts.
func TestDiskLossAfterBootstrapWithASeedDown(t *testing.T) {
	c := startTestCluster(t, Options{Controls: 3, Stores: 3, ToleratedLosses: 1, InitiallyDown: []string{"core-3"}})
	c.restartWithEmptyDisk(c.cluster.Machine("core-2"))
	c.replace(1, 2, http.StatusOK)
	c.start(c.cluster.Machine("core-3"))
	c.waitControl("three members", func(r consensus.Record) bool {
		return len(r.Members) == 3 && len(r.InSync) == 3 && len(r.Previous) == 0
	})
	c.restartWithEmptyDisk(c.cluster.Machine("core-1"))
	c.replace(2, 3, http.StatusOK)
	c.waitInSync()
}

// Checks that control still accepts changes after two of five members left for good and one of the other three lost its disk.
func TestDiskLossAfterTwoMembersLeave(t *testing.T) {
	c := startTestCluster(t, Options{Controls: 5, Stores: 5, ToleratedLosses: 2})
	c.waitControl("five members", func(r consensus.Record) bool { return len(r.Members) == 5 && len(r.InSync) == 5 })
	exited := make(chan struct{})
	for _, name := range []string{"core-4", "core-5"} {
		go func() {
			c.cluster.Machine(name).ShutDown()
			exited <- struct{}{}
		}()
	}
	<-exited
	<-exited
	c.waitControl("three members", func(r consensus.Record) bool { return len(r.Members) == 3 && len(r.Previous) == 0 })
	c.replace(1, 2, http.StatusOK)
	c.restartWithEmptyDisk(c.cluster.Machine("core-2"))
	c.replace(2, 3, http.StatusOK)
}

// Guards against data loss when a store shuts down after its completed retirement and, right afterwards, another store loses its disk.
func TestDiskLossRightAfterRetirement(t *testing.T) {
	c := newTestCluster(t, 4)
	previous := c.turnOK(0, "p", "", "9000", 3, "one ")
	control := "http://" + c.cluster.ControlAddresses()[0]
	if got := Call(http.MethodPost, control+"/v1/retire/storage-1/begin", "", nil, `{"deadline_s":10}`); got.Status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	err := WaitUntil(limit, func() bool {
		return strings.Contains(Call(http.MethodGet, control+"/v1/retire/storage-1/read", "", nil, "").Body, "completed")
	})
	if err != nil {
		t.Fatal(err)
	}
	c.cluster.Machine("storage-1").Kill()
	c.restartWithEmptyDisk(c.cluster.Machine("storage-2"))
	last := c.turnOK(1, "p", previous, "9000", 3, "last")
	if runs := c.executions(last); len(runs) != 1 || runs[0].Body != "one e1\nlast" {
		t.Fatalf("hosts executed %+v", runs)
	}
	c.waitInSync()
}
