package simulation

import (
	"math"

	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// fault is one fault of the scenario in a simulation.
type fault struct {
	*Simulation
	config *scenario.Fault
	random randstream.Stream // separate for each fault, so that an additional fault changes none of the others
	size   float64
	share  float64
}

// faultKinds maps the kinds of faults that scenarios name to functions that begin them. Each returns a function that ends the fault, or
// nil if the fault needs no end.
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

	"counter-silent":   func(f *fault) func() { return f.counterOutage(f.Counter.Silence) },
	"counter-refuse":   func(f *fault) func() { return f.counterOutage(f.Counter.RefuseConnections) },
	"counter-small":    func(f *fault) func() { return toggle(f.size, f.Counter.ScaleCapacity) },
	"counter-drop":     func(f *fault) func() { return toggle(f.size, f.Counter.DropAnswers) },
	"counter-takeover": (*fault).takeOverCounter,
	"counter-split":    (*fault).splitCounter,
	"counter-replaced": func(f *fault) func() {
		f.Counter.Restore("empty")
		return nil
	},

	"list-late":   func(f *fault) func() { return toggle(f.size, f.registry.SlowDown) },
	"list-silent": func(f *fault) func() { return startFault(f.registry.Pause) },
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

// scheduleFault schedules the beginning and the end of a fault.
func (s *Simulation) scheduleFault(number int, config *scenario.Fault) {
	f := &fault{
		Simulation: s,
		config:     config,
		random:     randstream.New(s.Seed, "trouble", number),
		size:       config.Size.Float(),
		share:      config.Part.Float(),
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

// startFault calls apply to begin a fault and returns a function that calls it to end the fault.
func startFault(apply func(begin bool)) (end func()) {
	apply(true)
	return func() { apply(false) }
}

// toggle is startFault for a function with an argument.
func toggle[T any](argument T, apply func(argument T, begin bool)) (end func()) {
	return startFault(func(begin bool) { apply(argument, begin) })
}

// toggleEach is startFault for a function that is called for each target.
func toggleEach[T any](targets []T, apply func(target T, begin bool)) (end func()) {
	return startFault(func(begin bool) {
		for _, target := range targets {
			apply(target, begin)
		}
	})
}

// sample draws the fault's share of a list at random.
func sample[T any](f *fault, all []T) []T {
	var picked []T
	for i, in := range f.random.SampleShare(len(all), f.share) {
		if in {
			picked = append(picked, all[i])
		}
	}
	return picked
}

// sampleSlots draws the slots of the fault's share of the api gateways at random.
func (f *fault) sampleSlots(gateways int) []int {
	var picked []int
	for slot, in := range f.random.SampleShare(gateways, f.share) {
		if in {
			picked = append(picked, slot)
		}
	}
	return picked
}

func (f *fault) onCustomers(apply func(c *model.Customer, begin bool)) (end func()) {
	return toggleEach(sample(f, f.Workload.Customers), apply)
}

func (f *fault) relocateCustomers() (end func()) {
	for _, customer := range sample(f, f.Workload.Customers) {
		f.Workload.Relocate(customer)
	}
	return nil
}

// operationNumber returns the number of the operation that the fault names, or that of the first operation if it names none.
func (f *fault) operationNumber() int {
	number := 0
	for i := range f.Day.Operations {
		if f.Day.Operations[i].Name == f.config.Operation {
			number = i
		}
	}
	return number
}

// isolatedZones returns the fault's share of the zones, counted from the last one: at least one zone, and never the first, which holds
// the counter.
func (f *fault) isolatedZones() []int {
	zones := f.Day.Fleet.Zones.Int()
	count := max(1, int(math.Round(f.share*float64(zones))))
	var isolated []int
	for zone := zones - 1; zone >= 1 && zone >= zones-count; zone-- {
		isolated = append(isolated, zone)
	}
	return isolated
}

// counterOutage makes the counter unavailable and brings it back with the state that the fault names.
func (f *fault) counterOutage(setOutage func(begin bool)) (end func()) {
	f.Counter.Snapshot()
	setOutage(true)
	return func() {
		f.Counter.Restore(f.config.Back)
		setOutage(false)
	}
}

func (f *fault) takeOverCounter() (end func()) {
	salt := f.random.Uint64()
	return startFault(func(begin bool) { f.Counter.Takeover(salt, f.share, begin) })
}

// splitCounter connects the fault's share of the api gateways to a second replica of the counter.
func (f *fault) splitCounter() (end func()) {
	seesSecond := f.random.SampleShare(f.Day.Fleet.Gateways.Int(), f.share)
	return startFault(func(begin bool) {
		f.Counter.Split(begin)
		for slot, gateway := range f.Gateways {
			gateway.SeesSplitCopy = begin && seesSecond[slot]
		}
	})
}
