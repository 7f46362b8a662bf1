package simulation

import (
	"math"

	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// fault is one fault of the scenario that begins now.
type fault struct {
	*Simulation
	config *scenario.Fault
	random randstream.Stream // of its own, so that one fault more changes none of the others
	size   float64
	part   float64
}

// faultKinds begin the faults, by the kinds that scenarios name. What they give ends the fault; nil: it has no end.
var faultKinds = map[string]func(f *fault) (end func()){
	"slow": func(f *fault) func() {
		return f.onHosts(func(h *hostmodel.Host, begin bool) { h.SlowDown(f.size, begin) })
	},
	"silent": func(f *fault) func() { return f.onHosts((*hostmodel.Host).Silence) },
	"vanish": func(f *fault) func() { return f.onHosts(f.vanish) },
	"operation-silent": func(f *fault) func() {
		operation := f.operationNumber()
		return f.onHosts(func(h *hostmodel.Host, begin bool) { h.SilenceOperation(operation, f.size, begin) })
	},
	"errors": func(f *fault) func() {
		return f.onHosts(func(h *hostmodel.Host, begin bool) { h.FailShare(f.size, begin) })
	},
	"spoilt": func(f *fault) func() {
		return f.onHosts(func(h *hostmodel.Host, begin bool) { h.CorruptShare(f.size, begin) })
	},
	"refuse": func(f *fault) func() {
		return f.onHosts(func(h *hostmodel.Host, begin bool) { h.ScaleConnectionLimit(f.size, begin) })
	},
	"replace":    (*fault).replaceHosts,
	"grow":       (*fault).growFleet,
	"list-wrong": func(f *fault) func() { return f.onHosts(f.listAsLeaving) },

	"reset":     func(f *fault) func() { return toggle(f.size, f.network.ResetConnections) },
	"delay":     func(f *fault) func() { return toggle(f.size, f.network.ScaleDelays) },
	"half-open": func(f *fault) func() { return toggle(f.size, f.network.LoseAnswers) },
	"cut":       func(f *fault) func() { return toggleEach(f.isolatedZones(), f.network.IsolateZone) },

	"counter-silent":   func(f *fault) func() { return f.counterAway(f.Counter.Silence) },
	"counter-refuse":   func(f *fault) func() { return f.counterAway(f.Counter.RefuseConnections) },
	"counter-small":    func(f *fault) func() { return toggle(f.size, f.Counter.ScaleCapacity) },
	"counter-drop":     func(f *fault) func() { return toggle(f.size, f.Counter.DropAnswers) },
	"counter-takeover": (*fault).takeOverCounter,
	"counter-split":    (*fault).splitCounter,
	"counter-replaced": func(f *fault) func() {
		f.Counter.Restore("empty")
		return nil
	},

	"list-late":   func(f *fault) func() { return toggle(f.size, f.registry.SlowDown) },
	"list-silent": func(f *fault) func() { return whileItLasts(f.registry.Pause) },
	"mail-loss":   func(f *fault) func() { return toggle(f.size, f.peers.SetLoss) },

	"burst": func(f *fault) func() {
		return f.onCustomers(func(c *model.Customer, begin bool) { f.Workload.ScaleRate(c, f.size, begin) })
	},
	"gather": func(f *fault) func() { return f.onCustomers(f.Workload.Concentrate) },
	"move":   (*fault).relocateCustomers,
	"ignore": func(f *fault) func() {
		times := int(math.Round(f.size))
		return f.onCustomers(func(c *model.Customer, begin bool) { f.Workload.RetryAtOnce(c, times, begin) })
	},
	"impatient": func(f *fault) func() {
		return f.onCustomers(func(c *model.Customer, begin bool) { f.Workload.ScalePatience(c, f.size, begin) })
	},

	"kill":    (*fault).killGateways,
	"restart": (*fault).restartGateways,
	"starve":  (*fault).starveGateways,
}

// scheduleFault sets when a fault begins and ends.
func (s *Simulation) scheduleFault(number int, config *scenario.Fault) {
	f := &fault{
		Simulation: s,
		config:     config,
		random:     randstream.New(s.Seed, "trouble", number),
		size:       config.Size.Float(),
		part:       config.Part.Float(),
	}
	s.Queue.ScheduleAfter(config.At.Float(), func() {
		begin := faultKinds[config.Kind]
		if begin == nil {
			return
		}
		if end := begin(f); end != nil {
			s.Queue.ScheduleAfter(config.Lasts.Float(), end)
		}
	})
}

// whileItLasts begins something, and gives what ends it.
func whileItLasts(do func(begin bool)) (end func()) {
	do(true)
	return func() { do(false) }
}

// toggle begins something with an argument, and gives what ends it.
func toggle[T any](argument T, do func(argument T, begin bool)) (end func()) {
	return whileItLasts(func(begin bool) { do(argument, begin) })
}

// toggleEach begins something for each of those that are struck, and gives what ends it.
func toggleEach[T any](struck []T, do func(each T, begin bool)) (end func()) {
	return whileItLasts(func(begin bool) {
		for _, each := range struck {
			do(each, begin)
		}
	})
}

// sample picks the fault's part of some.
func sample[T any](f *fault, all []T) []T {
	var picked []T
	for i, in := range f.random.SampleShare(len(all), f.part) {
		if in {
			picked = append(picked, all[i])
		}
	}
	return picked
}

// sampleSlots picks the fault's part of so many api gateways.
func (f *fault) sampleSlots(gateways int) []int {
	var picked []int
	for slot, in := range f.random.SampleShare(gateways, f.part) {
		if in {
			picked = append(picked, slot)
		}
	}
	return picked
}

func (f *fault) onCustomers(do func(c *model.Customer, begin bool)) (end func()) {
	return toggleEach(sample(f, f.Workload.Customers), do)
}

func (f *fault) relocateCustomers() (end func()) {
	for _, customer := range sample(f, f.Workload.Customers) {
		f.Workload.Relocate(customer)
	}
	return nil
}

// operationNumber is that of the operation that the fault names; the first where it names none.
func (f *fault) operationNumber() int {
	number := 0
	for i := range f.Day.Operations {
		if f.Day.Operations[i].Name == f.config.Operation {
			number = i
		}
	}
	return number
}

// isolatedZones are the last zones, at least one, and never the first, where the counter is.
func (f *fault) isolatedZones() []int {
	zones := f.Day.Fleet.Zones.Int()
	count := max(1, int(math.Round(f.part*float64(zones))))
	var isolated []int
	for zone := zones - 1; zone >= 1 && zone >= zones-count; zone-- {
		isolated = append(isolated, zone)
	}
	return isolated
}

// counterAway takes the counter away and brings it back with what the fault says.
func (f *fault) counterAway(away func(begin bool)) (end func()) {
	f.Counter.Snapshot()
	away(true)
	return func() {
		f.Counter.Restore(f.config.Back)
		away(false)
	}
}

func (f *fault) takeOverCounter() (end func()) {
	salt := f.random.Uint64()
	return whileItLasts(func(begin bool) { f.Counter.Takeover(salt, f.part, begin) })
}

// splitCounter gives a part of the api gateways the second replica of the counter.
func (f *fault) splitCounter() (end func()) {
	onSecond := f.random.SampleShare(f.Day.Fleet.Gateways.Int(), f.part)
	return whileItLasts(func(begin bool) {
		f.Counter.Split(begin)
		for slot, gateway := range f.Gateways {
			gateway.SeesSplitCopy = begin && onSecond[slot]
		}
	})
}
