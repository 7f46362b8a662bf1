package simulation

import (
	"math"

	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
)

// drainSeconds is the length of each of the two phases of a host that leaves: in the first it still accepts new work, in the second it
// only completes what it has.
const drainSeconds = 3

// sampleHosts draws the fault's share of the hosts that are up.
func (f *fault) sampleHosts() []*hostmodel.Host {
	var up []*hostmodel.Host
	for _, host := range f.Hosts {
		if host.State == hostmodel.Up {
			up = append(up, host)
		}
	}
	return sample(f, up)
}

func (f *fault) onHosts(apply func(h *hostmodel.Host, begin bool)) (end func()) {
	return toggleEach(f.sampleHosts(), apply)
}

// vanish makes a host silent. At the end of the fault the host comes back cold under the same address.
func (f *fault) vanish(host *hostmodel.Host, begin bool) {
	host.Silence(begin)
	if !begin && host.State == hostmodel.Up {
		host.Start()
		f.publish(host, model.HostActive)
	}
}

// listAsLeaving publishes a host as leaving although it stays.
func (f *fault) listAsLeaving(host *hostmodel.Host, begin bool) {
	if host.State != hostmodel.Up {
		return
	}
	if begin {
		f.publish(host, model.HostLeaving)
	} else {
		f.publish(host, model.HostActive)
	}
}

// growFleet adds cold hosts.
func (f *fault) growFleet() (end func()) {
	for range int(math.Round(f.share * float64(len(f.Hosts)))) {
		f.publish(f.addHost(f.Queue.Now()), model.HostActive)
	}
	return nil
}

// replaceHosts replaces hosts one after another.
func (f *fault) replaceHosts() (end func()) {
	targets := f.sampleHosts()
	for i, host := range targets {
		f.Queue.ScheduleAfter(f.config.Lasts.Float()*float64(i)/float64(len(targets)), func() { f.replaceHost(host) })
	}
	return nil
}

// replaceHost drains a host and then stops it. A cold host is added when the draining is announced.
func (f *fault) replaceHost(host *hostmodel.Host) {
	if host.State != hostmodel.Up {
		return
	}
	f.publish(host, model.HostLeaving)
	f.publish(f.addHost(f.Queue.Now()), model.HostActive)
	// The host accepts new work until the change has had time to reach all api gateways.
	f.Queue.ScheduleAfter(drainSeconds, func() { host.State = hostmodel.Draining })
	f.Queue.ScheduleAfter(2*drainSeconds, func() {
		host.Stop()
		f.publish(host, model.HostLeft)
	})
}
