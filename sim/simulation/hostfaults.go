package simulation

import (
	"math"

	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
)

// drainSeconds is for how long a host that leaves goes on working, twice: first it still takes new work, then it does not.
const drainSeconds = 3

// sampleHosts picks among those that are up.
func (f *fault) sampleHosts() []*hostmodel.Host {
	var up []*hostmodel.Host
	for _, host := range f.Hosts {
		if host.State == hostmodel.Up {
			up = append(up, host)
		}
	}
	return sample(f, up)
}

func (f *fault) onHosts(do func(h *hostmodel.Host, begin bool)) (end func()) {
	return toggleEach(f.sampleHosts(), do)
}

// vanish makes a host silent; it comes back under its address, cold.
func (f *fault) vanish(host *hostmodel.Host, begin bool) {
	host.Silence(begin)
	if !begin && host.State == hostmodel.Up {
		host.Start()
		f.publish(host, model.HostActive)
	}
}

// listAsLeaving has the list say that a host leaves that does not.
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
	for range int(math.Round(f.part * float64(len(f.Hosts)))) {
		f.publish(f.addHost(f.Queue.Now()), model.HostActive)
	}
	return nil
}

// replaceHosts lets hosts leave one after another.
func (f *fault) replaceHosts() (end func()) {
	struck := f.sampleHosts()
	for i, host := range struck {
		f.Queue.ScheduleAfter(f.config.Lasts.Float()*float64(i)/float64(len(struck)), func() { f.replaceHost(host) })
	}
	return nil
}

// replaceHost lets a host drain, then leave; a cold one comes as it begins to.
func (f *fault) replaceHost(host *hostmodel.Host) {
	if host.State != hostmodel.Up {
		return
	}
	f.publish(host, model.HostLeaving)
	f.publish(f.addHost(f.Queue.Now()), model.HostActive)
	// It takes new work until all can have been told that it drains.
	f.Queue.ScheduleAfter(drainSeconds, func() { host.State = hostmodel.Draining })
	f.Queue.ScheduleAfter(2*drainSeconds, func() {
		host.Stop()
		f.publish(host, model.HostLeft)
	})
}
