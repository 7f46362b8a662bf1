package tierrig

import (
	"net/http"
	"testing"

	"otterseam/lab/tierhost"
)

// setAside tells whether control has set a host aside.
func (w *world) setAside(host string) bool {
	status, err := w.rig.Status()
	_, aside := status.Aside[host]
	return err == nil && aside
}

// lookups asks for lookups through some fronts until a condition holds.
func (w *world) lookups(fronts []int, until func() bool) {
	w.Helper()
	err := Until(limit, func() bool {
		for _, front := range fronts {
			w.call(front, http.MethodGet, "/lookup/x", nil, "")
		}
		return until()
	})
	if err != nil {
		w.Fatal(err)
	}
}

// Some gateways meet a host that fails; one that never met it sends it nothing. So it is under the next judge too. Each gateway keeps
// away by itself after a failure or two, so that a few have to see it before the judge has the evidence.
func TestAHostThatFailsSomeGatewaysIsAvoidedByTheOthers(t *testing.T) {
	w := startWorld(t, Options{Controls: 3, Stores: 3, Tolerate: 1, Fronts: 6})
	met := []int{0, 1, 2, 3, 4}
	const other = 5
	w.addHost("records-2", "records")
	w.addHost("records-3", "records")
	bad := w.addHost("records-bad", "records")
	bad.Mute(true)
	w.lookups(met, func() bool { return w.setAside(bad.ID) })
	w.avoidedBy(other, bad)

	judge := w.primaryOfControl()
	judge.Kill()
	w.lookups(met, func() bool {
		status, err := w.rig.Status()
		return err == nil && status.Control.Primary != 0 && w.primaryOfControl() != judge && w.setAside(bad.ID)
	})
	w.avoidedBy(other, bad)
}

// avoidedBy checks that a front sends a host nothing.
func (w *world) avoidedBy(front int, host *tierhost.Host) {
	w.Helper()
	const requests = 20
	before := len(host.Runs())
	for range requests {
		if got, _ := w.call(front, http.MethodGet, "/lookup/x", nil, ""); got.Status != http.StatusOK {
			w.Errorf("%+v", got)
		}
	}
	if met := len(host.Runs()) - before; met > 0 {
		w.Errorf("%d of %d requests reached the host that is set aside", met, requests)
	}
}

// primaryOfControl is the machine that leads control, or nil while none is known.
func (w *world) primaryOfControl() *Machine {
	status, err := w.rig.Status()
	if err != nil {
		return nil
	}
	member, _ := status.Control.Member(status.Control.Primary)
	return w.rig.Machine(member.Node)
}
