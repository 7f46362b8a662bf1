package fleet

import (
	"fmt"

	"otterseam/harness/childprocess"
	"otterseam/harness/netproxy"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

const (
	// halfOpenDuration is how long a half-open connection counts as a fault in force, in seconds.
	halfOpenDuration = 2
	// secondProcessDuration is how long the start of a second process counts as a fault in force, in seconds.
	secondProcessDuration = 1
	// minResetDelay is the shortest time after which connections are reset even without a message, in seconds.
	minResetDelay = 0.05
	// defaultStarvePeriod is the time in which a starved process runs and is suspended once, in seconds, unless the script sets it.
	defaultStarvePeriod = 0.02
	// unlimitedFileSize removes the limit on file sizes.
	unlimitedFileSize = -1
)

// activeFault is a fault of the script that begins now.
type activeFault struct {
	*scenario.ProcessFault
	number int // index in the script
	begins float64
	ends   float64 // never: the fault has no end
}

// inject starts a fault on all its targets.
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

// atEnd calls callback when a fault ends. It isn't called for a fault without an end.
func (f *injector) atEnd(fault activeFault, callback func()) {
	if fault.ends < never {
		f.world.Queue.ScheduleAfter(fault.Lasts.Float(), callback)
	}
}

// recordSpan records when a fault was in force. found is whether the fault had a target.
func (f *injector) recordSpan(span *Span, found bool) {
	if !found {
		return
	}
	f.faultsApplied++
	f.spans = append(f.spans, span)
}

// linkEnds returns the two ends of each link that a fault applies to.
func (f *injector) linkEnds(spec *scenario.ProcessFault) [][2]string {
	var links [][2]string
	for _, from := range f.endNames(spec.From) {
		for _, to := range f.endNames(spec.To) {
			if from != to {
				links = append(links, [2]string{from, to})
			}
		}
	}
	return links
}

// endNames returns the names of the link ends that an expression in a script selects.
func (f *injector) endNames(expr string) []string {
	kind, numbers, _ := scenario.ParseLinkEnd(expr, f.script.Fleet.Gateways.Int(), len(f.world.Hosts)) // checked when the script was read
	if numbers == nil {
		return []string{kind}
	}
	var names []string
	for _, number := range numbers {
		if kind == "keeper" && !f.store.hasMember(number) {
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

// directionsByWay are the directions of a link for each value of a fault's key "way".
var directionsByWay = map[string][]netproxy.Direction{
	"both":  {netproxy.Forward, netproxy.Backward},
	"there": {netproxy.Forward},
	"back":  {netproxy.Backward},
}

// injectLink starts a fault on a link.
func (f *injector) injectLink(fault activeFault, from, to string) {
	link := f.link(from, to)
	datagrams := gatewayNumber(from) >= 0 && gatewayNumber(to) >= 0
	directions := directionsByWay[fault.Way]
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
		within := max(minResetDelay, fault.Time.Float())
		connections = link.ResetConnections(directions[0], within)
		span.Ends = fault.begins + within
	case "half-open":
		connections = link.HalfOpenConnections(directions[0])
		span.Ends = fault.begins + halfOpenDuration
	default:
		f.addLinkFault(fault, link, directions, datagrams)
	}
	f.recordSpan(span, connections > 0)
}

// addLinkFault adds a fault to directions of a link until the fault ends. Datagrams between two api gateways use a link for each direction.
func (f *injector) addLinkFault(fault activeFault, link *netproxy.Link, directions []netproxy.Direction, datagrams bool) {
	var targets []linkDirection
	for _, direction := range directions {
		if datagrams && direction == netproxy.Backward {
			targets = append(targets, linkDirection{f.link(link.To, link.From), netproxy.Forward})
		} else {
			targets = append(targets, linkDirection{link, direction})
		}
	}
	added := linkFault(fault.ProcessFault, datagrams)
	for _, target := range targets {
		target.link.AddFault(target.direction, added)
	}
	f.atEnd(fault, func() {
		for _, target := range targets {
			target.link.RemoveFault(target.direction, added)
		}
	})
}

// linkFault converts a fault of a script to a fault of a link.
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

// gatewaysOf returns the api gateways that a process fault applies to: those it names, or a share drawn by the seed.
func (f *injector) gatewaysOf(number int, spec *scenario.ProcessFault) []int {
	count := f.script.Fleet.Gateways.Int()
	if spec.TargetGateways != "" {
		gateways, _ := scenario.ParseNumbers(spec.TargetGateways, count) // checked when the script was read
		return gateways
	}
	var drawn []int
	for gateway, selected := range randstream.New(f.seed, "fault", number).SampleShare(count, spec.Part.Float()) {
		if selected {
			drawn = append(drawn, gateway)
		}
	}
	return drawn
}

// injectProcess starts a fault on the process of an api gateway.
func (f *injector) injectProcess(fault activeFault, gateway int) {
	process := f.gateways.Process(gateway)
	span := &Span{Kind: fault.Kind, Target: gatewayEnd(gateway), Gateway: gateway, Begins: fault.begins, Ends: fault.ends}
	if fault.Kind == "start" {
		if process == nil {
			f.gateways.RestartAfter(gateway, 0)
		}
		span.Ends = fault.begins
		f.recordSpan(span, process == nil)
		return
	}
	if process == nil {
		return
	}
	f.recordSpan(span, true)
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
		limitFileSize(process, fault.Size.Float())
		f.atEnd(fault, func() { limitFileSize(process, unlimitedFileSize) })
	case "twice":
		span.Ends = fault.begins + secondProcessDuration
		f.startSecond(gateway)
	}
}

// stopGateway ends the process of an api gateway, and restarts it when the fault ends, if it does.
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

// removeDir removes the folder of a killed process once it has exited. Files that can't be removed are left to the next process.
func removeDir(process *childprocess.Process) {
	<-process.Done()
	_ = process.RemoveDir()
}

// limitFileSize limits the size of the files of a process, in bytes. A negative size removes the limit. It has no effect on a process that
// has exited.
func limitFileSize(process *childprocess.Process, size float64) {
	_ = process.LimitFileSize(int64(size))
}

// startSecond starts a second process under the name of an api gateway. It must not keep running.
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

// starve alternately suspends and resumes a process until the fault ends.
func (f *injector) starve(process *childprocess.Process, fault activeFault) {
	if f.world.Queue.Now() >= fault.ends {
		return
	}
	if exited, _, _ := process.ExitState(); exited {
		return
	}
	period := fault.Time.Float()
	if period == 0 {
		period = defaultStarvePeriod
	}
	running := fault.Size.Float() // share of the period
	process.Suspend()
	f.world.Queue.ScheduleAfter(period*(1-running), func() {
		process.Resume()
		f.world.Queue.ScheduleAfter(period*running, func() { f.starve(process, fault) })
	})
}
