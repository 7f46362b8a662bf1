package tiercluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"otterseam/harness/tierhost"
)

// setAside tells whether control has set a host aside.
func (w *world) setAside(host string) bool {
	status, err := w.cluster.Status()
	_, aside := status.Ejected[host]
	return err == nil && aside
}

// lookups asks for lookups through some fronts until a condition holds.
func (w *world) lookups(fronts []int, until func() bool) {
	w.Helper()
	err := WaitUntil(limit, func() bool {
		for _, front := range fronts {
			w.call(front, http.MethodGet, "/lookup/x", nil, "")
		}
		return until()
	})
	if err != nil {
		w.Fatal(err)
	}
}

// Some gateways meet a host that fails; those that never met it send it nothing. The next judge finds the host again. Each gateway
// keeps away by itself after a failure or two, so that a few have to see it before the judge has the evidence.
func TestAHostThatFailsSomeGatewaysIsAvoidedByTheOthers(t *testing.T) {
	w := startWorld(t, Options{Controls: 3, Stores: 3, ToleratedLosses: 1, Fronts: 8})
	met, others := []int{0, 1, 2, 3}, []int{4, 5, 6, 7}
	sound := []*tierhost.Host{w.records, w.addHost("records-2", "records")}
	bad := w.addHost("records-bad", "records")
	bad.DropResponses(true)
	refuse := func(refuse bool) { // what is refused goes elsewhere, so that the bad host is met
		for _, host := range sound {
			host.Reject(refuse)
		}
	}
	reached := 0
	for version := uint64(2); ; version++ { // again with a longer term if it ended meanwhile, on a machine that is busy
		refuse(true)
		w.lookups(met, func() bool { return w.setAside(bad.ID) })
		w.waitForRoute(others, version)
		sound[1].Reject(false) // the first host that the others would take still refuses
		before := len(bad.Executions())
		for _, front := range others {
			if got, _ := w.call(front, http.MethodGet, "/lookup/x", nil, ""); got.Status != http.StatusOK {
				t.Errorf("front %d: %+v", front, got)
			}
		}
		reached = len(bad.Executions()) - before
		if w.setAside(bad.ID) {
			break
		}
	}
	if reached > 0 {
		t.Errorf("%d of %d requests reached the host that is set aside", reached, len(others))
	}

	judge := w.primaryOfControl()
	judge.Kill()
	refuse(true)
	w.lookups(met, func() bool {
		successor := w.primaryOfControl()
		return successor != nil && successor != judge && w.setAside(bad.ID)
	})
}

// waitForRoute adds a route, in the next configuration, and waits until fronts know it: what was decided before is then known there as
// well.
func (w *world) waitForRoute(fronts []int, version uint64) {
	w.Helper()
	prefix := fmt.Sprintf("/late-%d/", version)
	route := `{"name":"late","host":"try.example","path_prefix":"` + prefix + `","route_type":"safe","timeout_ms":1200,"service":"engine"},`
	config := strings.Replace(Config(version), `"routes":[`, `"routes":[`+route, 1)
	if got := w.cluster.ReplaceConfig(version-1, config, limit); got.Err != nil || got.Status != http.StatusOK {
		w.Fatalf("%+v", got)
	}
	for _, front := range fronts {
		err := WaitUntil(limit, func() bool {
			got, _ := w.call(front, http.MethodGet, prefix+"x", nil, "")
			return got.Status != http.StatusNotFound
		})
		if err != nil {
			w.Fatal(err)
		}
	}
}

// primaryOfControl is the machine that leads control, or nil while none is known.
func (w *world) primaryOfControl() *Machine {
	status, err := w.cluster.Status()
	if err != nil {
		return nil
	}
	member, _ := status.Control.Member(status.Control.Primary)
	return w.cluster.Machine(member.Node)
}

// Operators can ask control and the stores when they reached each step of their recovery.
func TestStatusTellsTheRecoveryOfProcesses(t *testing.T) {
	w := newWorld(t, 3)
	w.turnOK(0, "p", "", "60", 3, "x")
	status, err := w.cluster.Status()
	if err != nil {
		t.Fatal(err)
	}
	if len(status.Recovery) != 6 {
		t.Fatalf("%+v", status.Recovery)
	}
	led := 0
	for _, process := range status.Recovery {
		if _, reached := process.AfterMS["disk-read"]; !reached {
			t.Errorf("%+v", process)
		}
		for _, step := range []string{"primary-ready", "shard-led"} {
			if _, reached := process.AfterMS[step]; reached {
				led++
			}
		}
	}
	if led < 2 {
		t.Errorf("nobody leads control or a shard: %+v", status.Recovery)
	}
}
