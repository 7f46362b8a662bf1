package simulation

// This file lets the troubles of a day begin and end. Each picks what it strikes by a stream of its own, so that one
// trouble more moves no other.

import (
	"math"

	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// trouble sets when one trouble begins and ends.
func (w *Simulation) trouble(n int, t *scenario.Trouble) {
	d := randstream.New(w.Seed, "trouble", n)
	w.Queue.ScheduleAfter(t.At.V(), func() {
		end := w.begin(n, t, d)
		if end != nil {
			w.Queue.ScheduleAfter(t.Lasts.V(), end)
		}
	})
}

// begin lets a trouble begin. What it gives ends it.
func (w *Simulation) begin(n int, t *scenario.Trouble, d randstream.Stream) (end func()) {
	size, part := t.Size.V(), t.Part.V()
	hosts := func(do func(h *hostmodel.Host, begin bool)) func() {
		return toggle(w.struckHosts(d, part), do)
	}
	customers := func(do func(c *model.Customer, begin bool)) func() {
		var struck []*model.Customer
		for i, in := range d.SampleShare(len(w.Workload.Customers), part) {
			if in {
				struck = append(struck, w.Workload.Customers[i])
			}
		}
		return toggle(struck, do)
	}
	whole := func(do func(begin bool)) func() {
		do(true)
		return func() { do(false) }
	}
	operation := 0
	for i, o := range w.Day.Operations {
		if o.Name == t.Operation {
			operation = i
		}
	}
	switch t.Kind {
	case "slow":
		return hosts(func(h *hostmodel.Host, b bool) { h.SlowDown(size, b) })
	case "silent":
		return hosts(func(h *hostmodel.Host, b bool) { h.Silence(b) })
	case "vanish":
		return hosts(func(h *hostmodel.Host, b bool) {
			if h.Silence(b); !b && h.State == hostmodel.Up { // back under its address, cold
				h.Start()
				w.list.Publish(w.listed(h, "active"))
			}
		})
	case "operation-silent":
		return hosts(func(h *hostmodel.Host, b bool) { h.SilenceOperation(operation, size, b) })
	case "errors":
		return hosts(func(h *hostmodel.Host, b bool) { h.FailShare(size, b) })
	case "spoilt":
		return hosts(func(h *hostmodel.Host, b bool) { h.CorruptShare(size, b) })
	case "refuse":
		return hosts(func(h *hostmodel.Host, b bool) { h.ScaleConnectionLimit(size, b) })
	case "replace":
		w.replace(w.struckHosts(d, part), t.Lasts.V())
	case "grow":
		for range int(math.Round(part * float64(len(w.Hosts)))) {
			w.list.Publish(w.listed(w.newHost(w.Queue.Now()), "active"))
		}
	case "reset":
		return whole(func(b bool) { w.net.ResetConnections(size, b) })
	case "delay":
		return whole(func(b bool) { w.net.ScaleDelays(size, b) })
	case "half-open":
		return whole(func(b bool) { w.net.LoseAnswers(size, b) })
	case "cut": // never the first zone, where the counter stands
		zones := w.Day.Fleet.Zones.N()
		return whole(func(b bool) {
			for z := zones - 1; z >= 1 && z >= zones-max(1, int(math.Round(part*float64(zones)))); z-- {
				w.net.IsolateZone(z, b)
			}
		})
	case "counter-silent":
		return w.counterAway(t, w.Counter.Silence)
	case "counter-refuse":
		return w.counterAway(t, w.Counter.RefuseConnections)
	case "counter-small":
		return whole(func(b bool) { w.Counter.ScaleCapacity(size, b) })
	case "counter-drop":
		return whole(func(b bool) { w.Counter.DropAnswers(size, b) })
	case "counter-takeover":
		led := d.Uint64()
		return whole(func(b bool) { w.Counter.Takeover(led, part, b) })
	case "counter-split":
		struck := d.SampleShare(w.Day.Fleet.Gateways.N(), part)
		return whole(func(b bool) {
			w.Counter.Split(b)
			for i, in := range struck {
				if i < len(w.Gateways) {
					w.Gateways[i].SeesSplitCopy = b && in
				}
			}
		})
	case "counter-replaced":
		w.Counter.Restore("empty")
	case "list-late":
		return whole(func(b bool) { w.list.SlowDown(size, b) })
	case "list-silent":
		return whole(w.list.Pause)
	case "list-wrong":
		return hosts(func(h *hostmodel.Host, b bool) {
			if state := map[bool]string{true: "leaving", false: "active"}[b]; h.State == hostmodel.Up {
				w.list.Publish(w.listed(h, state))
			}
		})
	case "mail-loss":
		return whole(func(b bool) { w.peerNetwork.SetLoss(size, b) })
	case "burst":
		return customers(func(c *model.Customer, b bool) { w.Workload.ScaleRate(c, size, b) })
	case "gather":
		return customers(w.Workload.Concentrate)
	case "move":
		customers(func(c *model.Customer, b bool) { w.Workload.Relocate(c) })
	case "ignore":
		return customers(func(c *model.Customer, b bool) { w.Workload.RetryAtOnce(c, int(math.Round(size)), b) })
	case "impatient":
		return customers(func(c *model.Customer, b bool) { w.Workload.ScalePatience(c, size, b) })
	case "kill":
		for i, in := range d.SampleShare(w.Day.Fleet.Gateways.N(), part) {
			if in {
				w.kill(i, t.Lasts.V())
			}
		}
	case "restart":
		var struck []int
		for i, in := range d.SampleShare(w.Day.Fleet.Gateways.N(), part) {
			if in {
				struck = append(struck, i)
			}
		}
		for i, slot := range struck {
			w.Queue.ScheduleAfter(t.Lasts.V()*float64(i)/float64(len(struck)), func() { w.restart(slot) })
		}
	case "starve":
		struck := d.SampleShare(len(w.Gateways), part)
		return whole(func(b bool) {
			for i, in := range struck {
				if in {
					w.Gateways[i].ScaleCPU(size, b)
				}
			}
		})
	}
	return nil
}

// toggle begins something for each that is struck, and gives what ends it.
func toggle[T any](struck []T, do func(x T, begin bool)) func() {
	for _, x := range struck {
		do(x, true)
	}
	return func() {
		for _, x := range struck {
			do(x, false)
		}
	}
}

// struckHosts picks among those that are up.
func (w *Simulation) struckHosts(d randstream.Stream, part float64) (struck []*hostmodel.Host) {
	var up []*hostmodel.Host
	for _, h := range w.Hosts {
		if h.State == hostmodel.Up {
			up = append(up, h)
		}
	}
	for i, in := range d.SampleShare(len(up), part) {
		if in {
			struck = append(struck, up[i])
		}
	}
	return struck
}

// drain is for how long a host that leaves ends its work, in seconds.
const drain = 3

// replace lets hosts leave one after another; each drains first, and a cold one comes as it begins to.
func (w *Simulation) replace(struck []*hostmodel.Host, lasts float64) {
	for i, h := range struck {
		w.Queue.ScheduleAfter(lasts*float64(i)/float64(len(struck)), func() {
			if h.State != hostmodel.Up {
				return
			}
			w.list.Publish(w.listed(h, "leaving"))
			w.list.Publish(w.listed(w.newHost(w.Queue.Now()), "active"))
			// It takes new work until all can have been told that it drains.
			w.Queue.ScheduleAfter(drain, func() { h.State = hostmodel.Draining })
			w.Queue.ScheduleAfter(2*drain, func() {
				h.Stop()
				w.list.Publish(w.listed(h, "left"))
			})
		})
	}
}

// counterAway takes the counter away and brings it back with what the trouble says.
func (w *Simulation) counterAway(t *scenario.Trouble, away func(begin bool)) func() {
	w.Counter.Snapshot()
	away(true)
	return func() {
		w.Counter.Restore(t.Back)
		away(false)
	}
}

// kill ends an api gateway and has it back after so many seconds; the front notices its death later, its return at once.
func (w *Simulation) kill(slot int, down float64) {
	if w.KillGateway != nil {
		w.KillGateway(slot, down, false)
		return
	}
	e := w.Gateways[slot]
	if !e.Alive {
		return
	}
	e.Kill()
	w.alive--
	e.Admits = true // not noticed yet
	w.Queue.ScheduleAfter(w.Day.Gateway.Notice.V(), func() {
		if !e.Alive {
			e.Admits = false
		}
	})
	w.Queue.ScheduleAfter(down, func() { w.start(slot) })
}

// restart lets an api gateway end what it holds, then start with empty hands half a second later.
func (w *Simulation) restart(slot int) {
	if w.KillGateway != nil {
		w.KillGateway(slot, 0.5, true)
		return
	}
	e := w.Gateways[slot]
	if !e.Alive {
		return
	}
	e.Admits = false
	began := w.Queue.Now()
	var look func()
	look = func() {
		if !e.Alive {
			return
		}
		if e.PendingInvocations() > 0 && w.Queue.Now() < began+5 {
			w.Queue.ScheduleAfter(0.05, look)
			return
		}
		e.Kill()
		w.alive--
		w.Queue.ScheduleAfter(0.5, func() { w.start(slot) })
	}
	look()
}
