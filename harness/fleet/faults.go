package fleet

import (
	"fmt"

	"otterseam/harness/childprocess"
	"otterseam/harness/netproxy"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

const (
	// halfOpenSpan is how long a half-open connection is taken to be a fault in force, in seconds.
	halfOpenSpan = 2
	// secondProcessSpan is how long the start of a second process is, in seconds.
	secondProcessSpan = 1
	// minReset is the shortest time after which connections are reset without a message, in seconds.
	minReset = 0.05
	// starvePeriod is how long a starved process runs and stands, together, unless the script says so, in seconds.
	starvePeriod = 0.02
	// noLimit takes the limit of file sizes away.
	noLimit = -1
)

// activeFault is a fault of the script that begins now.
type activeFault struct {
	*scenario.ProcessFault
	number int // in the script
	begins float64
	ends   float64 // never: it doesn't
}

// inject has a fault begin on all that it is of, and end when it should.
func (f *injector) inject(number int, spec *scenario.ProcessFault) {
	fault := activeFault{ProcessFault: spec, number: number, begins: f.world.Queue.Now(), ends: never}
	if spec.Lasts.Float() > 0 {
		fault.ends = fault.begins + spec.Lasts.Float()
	}
	switch {
	case scenario.IsLinkFault(spec.Kind):
		for _, ends := range f.linkEnds(spec) {
			f.injectLink(fault, ends[0], ends[1])
		}
	case spec.TargetStores != "":
		f.store.inject(fault)
	default:
		for _, gateway := range f.gatewaysOf(number, spec) {
			f.injectProcess(fault, gateway)
		}
	}
}

// atEnd calls when a fault ends; never for one that lasts.
func (f *injector) atEnd(fault activeFault, call func()) {
	if fault.ends < never {
		f.world.Queue.ScheduleAfter(fault.Lasts.Float(), call)
	}
}

// note keeps when a fault was in force; found is whether there was something to spec.
func (f *injector) note(span *Span, found bool) {
	if !found {
		return
	}
	f.struck++
	f.spans = append(f.spans, span)
}

// linkEnds are the two ends of each link that a fault is of.
func (f *injector) linkEnds(spec *scenario.ProcessFault) [][2]string {
	var all [][2]string
	for _, from := range f.endNames(spec.From) {
		for _, to := range f.endNames(spec.To) {
			if from != to {
				all = append(all, [2]string{from, to})
			}
		}
	}
	return all
}

// endNames are the ends of links that a script's word stands for.
func (f *injector) endNames(word string) []string {
	kind, numbers, _ := scenario.ParseLinkEnd(word, f.script.Fleet.Gateways.Int(), len(f.world.Hosts)) // the reader has checked it
	if numbers == nil {
		return []string{kind}
	}
	var names []string
	for _, number := range numbers {
		if kind == "keeper" && !f.store.has(number) {
			continue
		}
		names = append(names, fmt.Sprintf("%s %d", kind, number))
	}
	return names
}

// linkDirection is one direction of a link.
type linkDirection struct {
	link      *netproxy.Link
	direction netproxy.Direction
}

// directionsOf are the directions that a script's word stands for.
var directionsOf = map[string][]netproxy.Direction{
	"both":  {netproxy.Forward, netproxy.Backward},
	"there": {netproxy.Forward},
	"back":  {netproxy.Backward},
}

// injectLink has a fault begin on a link.
func (f *injector) injectLink(fault activeFault, from, to string) {
	link := f.link(from, to)
	datagrams := gatewayNumber(from) >= 0 && gatewayNumber(to) >= 0
	directions := directionsOf[fault.Way]
	span := &Span{Kind: fault.Kind, Target: link.Name(), Gateway: max(gatewayNumber(from), gatewayNumber(to)), Begins: fault.begins, Ends: fault.ends, service: to}
	if from == clientsEnd {
		span.Gateway = gatewayNumber(to)
		span.service = ""
	}
	if datagrams {
		span.Gateway = -1
		span.service = "mail"
	}
	connections := 1
	switch fault.Kind {
	case "reset":
		within := max(minReset, fault.Time.Float())
		connections = link.ResetConnections(directions[0], within)
		span.Ends = fault.begins + within
	case "half-open":
		connections = link.HalfOpenConnections(directions[0])
		span.Ends = fault.begins + halfOpenSpan
	default:
		f.addLinkFault(fault, link, directions, datagrams)
	}
	f.note(span, connections > 0)
}

// addLinkFault adds a fault that lasts to directions of a link. Datagrams go one way only: their way back is another link.
func (f *injector) addLinkFault(fault activeFault, link *netproxy.Link, directions []netproxy.Direction, datagrams bool) {
	var on []linkDirection
	for _, direction := range directions {
		if datagrams && direction == netproxy.Backward {
			on = append(on, linkDirection{f.link(link.To, link.From), netproxy.Forward})
		} else {
			on = append(on, linkDirection{link, direction})
		}
	}
	added := linkFault(fault.ProcessFault, datagrams)
	for _, each := range on {
		each.link.AddFault(each.direction, added)
	}
	f.atEnd(fault, func() {
		for _, each := range on {
			each.link.RemoveFault(each.direction, added)
		}
	})
}

// linkFault is what a script's fault means to a link.
func linkFault(spec *scenario.ProcessFault, datagrams bool) *netproxy.Fault {
	switch spec.Kind {
	case "drop":
		if datagrams && spec.Part.Float() < 1 {
			return &netproxy.Fault{LossProbability: spec.Part.Float()}
		}
		return &netproxy.Fault{Stall: true, BlockConnects: true}
	case "stall":
		return &netproxy.Fault{Stall: true}
	case "delay":
		return &netproxy.Fault{Delay: spec.Time.Float(), Jitter: spec.Jitter.Float()}
	case "rate":
		return &netproxy.Fault{Rate: spec.Size.Float()}
	case "double":
		return &netproxy.Fault{DuplicateProbability: spec.Part.Float()}
	case "disorder":
		return &netproxy.Fault{ReorderProbability: spec.Part.Float(), Delay: spec.Time.Float()}
	case "refuse":
		return &netproxy.Fault{RefuseConnects: true}
	}
	return &netproxy.Fault{}
}

// gatewaysOf are the api gateways that a fault of processes is of: those it names, or a part drawn by the seed.
func (f *injector) gatewaysOf(number int, spec *scenario.ProcessFault) []int {
	count := f.script.Fleet.Gateways.Int()
	if spec.TargetGateways != "" {
		named, _ := scenario.ParseNumbers(spec.TargetGateways, count) // the reader has checked it
		return named
	}
	var drawn []int
	for gateway, hit := range randstream.New(f.seed, "fault", number).SampleShare(count, spec.Part.Float()) {
		if hit {
			drawn = append(drawn, gateway)
		}
	}
	return drawn
}

// injectProcess has a fault begin on an api gateway's process.
func (f *injector) injectProcess(fault activeFault, gateway int) {
	process := f.gateways.Process(gateway)
	span := &Span{Kind: fault.Kind, Target: gatewayEnd(gateway), Gateway: gateway, Begins: fault.begins, Ends: fault.ends}
	if fault.Kind == "start" {
		if process == nil {
			f.gateways.RestartAfter(gateway, 0)
		}
		span.Ends = fault.begins
		f.note(span, process == nil)
		return
	}
	if process == nil {
		return
	}
	f.note(span, true)
	switch fault.Kind {
	case "kill", "wipe", "term":
		f.stopGateway(fault, gateway, process)
	case "freeze":
		process.Suspend()
		f.atEnd(fault, func() {
			process.Resume()
			f.world.Oracle.GatewayResumed(gateway, fault.begins)
		})
	case "starve":
		f.starve(process, fault)
	case "full-disk":
		limitFiles(process, fault.Size.Float())
		f.atEnd(fault, func() { limitFiles(process, noLimit) })
	case "twice":
		span.Ends = fault.begins + secondProcessSpan
		f.startSecond(gateway)
	}
}

// stopGateway ends an api gateway's process, and starts it again after the fault if that has an end.
func (f *injector) stopGateway(fault activeFault, gateway int, process *childprocess.Process) {
	if fault.Kind == "term" {
		f.gateways.Terminate(gateway)
	} else {
		f.gateways.Kill(gateway)
	}
	if fault.Kind == "wipe" {
		removeDir(process)
	}
	if fault.ends < never {
		f.gateways.RestartAfter(gateway, fault.Lasts.Float())
	}
}

// removeDir removes the folder of a killed process. What can't be removed stays, and is found by the next process.
func removeDir(process *childprocess.Process) {
	<-process.Done()
	_ = process.RemoveDir()
}

// limitFiles keeps the files of a process from growing over a size in bytes; negative: no longer. A process that has exited has none.
func limitFiles(process *childprocess.Process, size float64) {
	_ = process.LimitFileSize(int64(size))
}

// startSecond starts a second process under an api gateway's name, which must not come to run.
func (f *injector) startSecond(gateway int) {
	err := f.gateways.StartSecond(gateway, func(err error) {
		if err == nil {
			f.world.Oracle.ExpectationFailed(fmt.Sprintf("a second process under the name of api gateway %d runs beside the first", gateway))
		}
	})
	if err != nil {
		f.world.Oracle.ExpectationFailed(err.Error())
	}
}

// starve suspends and resumes a process in turn until the fault ends.
func (f *injector) starve(process *childprocess.Process, fault activeFault) {
	if f.world.Queue.Now() >= fault.ends {
		return
	}
	if exited, _, _ := process.ExitState(); exited {
		return
	}
	period := fault.Time.Float()
	if period == 0 {
		period = starvePeriod
	}
	running := fault.Size.Float() // part of the time
	process.Suspend()
	f.world.Queue.ScheduleAfter(period*(1-running), func() {
		process.Resume()
		f.world.Queue.ScheduleAfter(period*running, func() { f.starve(process, fault) })
	})
}
