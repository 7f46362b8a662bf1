package fleet

import (
	"fmt"

	"otterseam/harness/childprocess"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// inject has a fault begin on members of the quota store. It runs on the event loop's goroutine.
func (s *store) inject(fault activeFault) {
	for _, member := range s.membersOf(fault.number, fault.TargetStores) {
		s.injectMember(fault, member)
	}
}

// membersOf are the members that a script's word stands for: numbers, "*", "leader" (of the most groups), or "some N" drawn by the seed.
func (s *store) membersOf(number int, word string) []int {
	count := len(s.config.Members)
	if word == "leader" {
		leader, _ := s.leaderOfMost()
		return []int{leader}
	}
	var many int
	if _, err := fmt.Sscanf(word, "some %d", &many); err == nil {
		return randstream.New(s.seed, "keepers struck", number).Perm(count)[:min(many, count)]
	}
	members, _ := scenario.ParseNumbers(word, count) // the reader has checked it
	return members
}

// injectMember has a fault begin on a member's process.
func (s *store) injectMember(fault activeFault, member int) {
	f := s.injector
	process := s.process(member)
	span := &Span{Kind: fault.Kind, Target: memberEnd(member), Gateway: -1, Begins: fault.begins, Ends: fault.ends, service: "counter"}
	if process == nil {
		if fault.Kind == "start" {
			f.note(span, true)
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
		limitFiles(process, fault.Size.Float())
		f.atEnd(fault, func() { s.endFullDisk(member, process) })
	default:
		return
	}
	f.note(span, true)
}

// stopMember ends a member's process, and starts it again after the fault if that has an end.
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

// endFullDisk lets a member's files grow again. One that ended, as it could not write, is started again.
func (s *store) endFullDisk(member int, process *childprocess.Process) {
	limitFiles(process, noLimit)
	if exited, _, _ := process.ExitState(); exited {
		s.restartAfter(member, 0)
	}
}
