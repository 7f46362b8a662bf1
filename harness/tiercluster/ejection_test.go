package tiercluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"otterseam/harness/tierhost"
)

// isEjected reports whether control has ejected a host.
func (c *testCluster) isEjected(host string) bool {
	status, err := c.cluster.Status()
	_, aside := status.Ejected[host]
	return err == nil && aside
}

// lookUpUntil sends lookup requests through some fronts until a condition holds.
func (c *testCluster) lookUpUntil(fronts []int, until func() bool) {
	c.Helper()
	err := WaitUntil(limit, func() bool {
		for _, front := range fronts {
			c.call(front, http.MethodGet, "/lookup/x", nil, "")
		}
		return until()
	})
	if err != nil {
		c.Fatal(err)
	}
}

// Guards against gateways that send requests to a host that only other gateways saw fail. The ejection has to reach gateways that never
// used the host, and a new primary has to eject it again. Several gateways report the failures because each one stops using the host
// after one or two, which isn't enough evidence for an ejection.
func TestHostFailingForSomeGatewaysIsEjectedForAll(t *testing.T) {
	c := startTestCluster(t, Options{Controls: 3, Stores: 3, ToleratedLosses: 1, Fronts: 8})
	observing, others := []int{0, 1, 2, 3}, []int{4, 5, 6, 7}
	healthy := []*tierhost.Host{c.records, c.addHost("records-2", "records")}
	failing := c.addHost("records-bad", "records")
	failing.DropResponses(true)
	rejectOnHealthy := func(reject bool) { // rejected requests are retried on other hosts, so that some reach the failing one
		for _, host := range healthy {
			host.Reject(reject)
		}
	}
	reached := 0
	for version := uint64(2); ; version++ { // repeats, with a longer ejection, if the ejection ended meanwhile on a busy machine
		rejectOnHealthy(true)
		c.lookUpUntil(observing, func() bool { return c.isEjected(failing.ID) })
		c.applyRoute(others, version)
		healthy[1].Reject(false) // healthy[0], which the others would choose first, still rejects requests
		before := len(failing.Executions())
		for _, front := range others {
			if got, _ := c.call(front, http.MethodGet, "/lookup/x", nil, ""); got.Status != http.StatusOK {
				t.Errorf("front %d: %+v", front, got)
			}
		}
		reached = len(failing.Executions()) - before
		if c.isEjected(failing.ID) {
			break
		}
	}
	if reached > 0 {
		t.Errorf("%d of %d requests reached the ejected host", reached, len(others))
	}

	primary := c.controlPrimary()
	primary.Kill()
	rejectOnHealthy(true)
	c.lookUpUntil(observing, func() bool {
		successor := c.controlPrimary()
		return successor != nil && successor != primary && c.isEjected(failing.ID)
	})
}

// applyRoute adds a route in the next configuration and waits until the fronts apply it. Earlier decisions of control, such as
// ejections, have then reached the fronts too.
func (c *testCluster) applyRoute(fronts []int, version uint64) {
	c.Helper()
	prefix := fmt.Sprintf("/late-%d/", version)
	route := `{"name":"late","host":"try.example","path_prefix":"` + prefix + `","route_type":"safe","timeout_ms":1200,"service":"engine"},`
	config := strings.Replace(Config(version), `"routes":[`, `"routes":[`+route, 1)
	if got := c.cluster.ReplaceConfig(version-1, config, limit); got.Err != nil || got.Status != http.StatusOK {
		c.Fatalf("%+v", got)
	}
	for _, front := range fronts {
		err := WaitUntil(limit, func() bool {
			got, _ := c.call(front, http.MethodGet, prefix+"x", nil, "")
			return got.Status != http.StatusNotFound
		})
		if err != nil {
			c.Fatal(err)
		}
	}
}

// controlPrimary returns the primary machine of control, or nil while none is known.
func (c *testCluster) controlPrimary() *Machine {
	status, err := c.cluster.Status()
	if err != nil {
		return nil
	}
	member, _ := status.Control.Member(status.Control.Primary)
	return c.cluster.Machine(member.Node)
}

// Checks that the status lists the recovery steps that control and store processes have reached.
func TestStatusReportsProcessRecovery(t *testing.T) {
	c := newTestCluster(t, 3)
	c.turnOK(0, "p", "", "60", 3, "x")
	status, err := c.cluster.Status()
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
		t.Errorf("no process leads control or a shard: %+v", status.Recovery)
	}
}
