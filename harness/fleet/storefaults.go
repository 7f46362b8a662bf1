package fleet

import (
	"fmt"

	"otterseam/harness/childprocess"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// inject starts a fault on members of the quota store. It runs on the goroutine of the event loop.
func (s *store) inject(fault activeFault) {
	for _, member := range s.membersOf(fault.number, fault.TargetStores) {
		s.injectMember(fault, member)
	}
}

// membersOf returns the members that a script selects: numbers, "*", "leader" (the member that leads the most groups), or "some N" drawn by
// the seed.
func (s *store) membersOf(number int, selector string) []int {
	count := len(s.config.Members)
	if selector == "leader" {
		leader, _ := s.memberLeadingMost()
		return []int{leader}
	}
	var many int
	if _, err := fmt.Sscanf(selector, "some %d", &many); err == nil {
		return randstream.New(s.seed, "keepers struck", number).Perm(count)[:min(many, count)]
	}
	members, _ := scenario.ParseNumbers(selector, count) // checked when the script was read
	return members
}

// injectMember starts a fault on the process of a member.
func (s *store) injectMember(fault activeFault, member int) {
	f := s.injector
	process := s.process(member)
	span := &Span{Kind: fault.Kind, Target: memberEnd(member), Gateway: -1, Begins: fault.begins, Ends: fault.ends, service: "counter"}
	if process == nil {
		if fault.Kind == "start" {
			f.recordSpan(span, true)
			s.restartAfter(member, 0)
		}
		return
	}
	switch fault.Kind {
	case "kill", "wipe", "term":
		s.stopMember(fault, member, process)
	case "freeze":
		process.Suspend()
		f.atEnd(fault, process.Resume)
	case "starve":
		f.starve(process, fault)
	case "full-disk":
		limitFileSize(process, fault.Size.Float())
		f.atEnd(fault, func() { s.endFullDisk(member, process) })
	default:
		return
	}
	f.recordSpan(span, true)
}

// stopMember ends the process of a member, and restarts it when the fault ends, if it does.
func (s *store) stopMember(fault activeFault, member int, process *childprocess.Process) {
	switch fault.Kind {
	case "kill":
		process.Kill()
		<-process.Done()
	case "wipe":
		process.Kill()
		removeDir(process)
	case "term":
		process.Terminate()
	}
	if fault.ends < never {
		s.restartAfter(member, fault.Lasts.Float())
	}
}

// endFullDisk removes the limit on a member's files. A member that exited because it could not write is restarted.
func (s *store) endFullDisk(member int, process *childprocess.Process) {
	limitFileSize(process, unlimitedFileSize)
	if exited, _, _ := process.ExitState(); exited {
		s.restartAfter(member, 0)
	}
}
