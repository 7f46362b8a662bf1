package membership

import (
	"slices"
	"testing"

	"otterseam/tier/consensus"
)

func member(id uint64) consensus.Member {
	return consensus.Member{ID: id, Address: string(rune('a' + id)), Node: string(rune('A' + id))}
}

func members(ids ...uint64) []consensus.Member {
	var all []consensus.Member
	for _, id := range ids {
		all = append(all, member(id))
	}
	return all
}

func set(ids ...uint64) func(uint64) bool {
	return func(id uint64) bool { return slices.Contains(ids, id) }
}

// healthyObservation returns an observation without failures.
func healthyObservation(alive ...uint64) Observation {
	return Observation{Alive: members(alive...), HasState: map[uint64]bool{}, DiskLost: set(), Silent: set(), Departed: set(), Draining: set()}
}

func ids(list []consensus.Member) []uint64 {
	var all []uint64
	for _, member := range list {
		all = append(all, member.ID)
	}
	return all
}

func sameIDs(a, b []uint64) bool {
	for _, id := range a {
		if !slices.Contains(b, id) {
			return false
		}
	}
	return len(a) == len(b)
}

func TestMinInSyncGrowsWithTheGroupAndNeverShrinks(t *testing.T) {
	p := Policy{Tolerate: 1}
	if alone := p.InitialRecord(1, members(1)); alone.MinInSync != 1 {
		t.Fatalf("a group of one member needs %d replicas in sync", alone.MinInSync)
	}
	record := p.InitialRecord(1, members(1, 2, 3))
	if record.MinInSync != 2 || p.InSyncFloor(record) != 2 {
		t.Fatalf("MinInSync %d, floor %d", record.MinInSync, p.InSyncFloor(record))
	}
	record.Members = members(1)
	record.InSync = []uint64{1}
	if p.WithMinInSync(record).MinInSync != 2 {
		t.Fatal("MinInSync fell with the number of members")
	}
	grown := consensus.Record{Members: members(1, 2), InSync: []uint64{1}, MinInSync: 1}
	if p.WithMinInSync(grown).MinInSync != 1 {
		t.Fatal("MinInSync rose before enough replicas were in sync")
	}
	if grown.InSync = []uint64{1, 2}; p.WithMinInSync(grown).MinInSync != 2 {
		t.Fatal("MinInSync did not rise")
	}
}

// With two members in sync and MinInSync 2, a silent member stays in the in-sync set: nothing could be acknowledged without it anyway, and
// it may be the only remaining candidate for primary.
func TestTheInSyncSetStaysAtMinInSync(t *testing.T) {
	p := Policy{Tolerate: 1}
	record := p.InitialRecord(1, members(1, 2))
	next := p.Successor(record, 2, set())
	if !sameIDs(next.InSync, []uint64{1, 2}) || next.Epoch != 2 || next.Primary != 2 {
		t.Fatalf("%+v", next)
	}
	if next = p.Successor(record, 2, set(1)); !sameIDs(next.InSync, []uint64{2}) || next.MinInSync != 2 {
		t.Fatalf("after the loss of a disk: %+v", next)
	}
	three := p.InitialRecord(1, members(1, 2, 3))
	if next = p.Successor(three, 2, set()); !sameIDs(next.InSync, []uint64{2, 3}) {
		t.Fatalf("%+v", next)
	}
}

// The vote of a member whose disk is lost goes to another process at once. That process isn't in sync until it holds the state.
func TestVoterWithLostDiskIsReplacedAtOnce(t *testing.T) {
	p := Policy{Tolerate: 1}
	record := p.InitialRecord(1, members(1, 2, 3))
	record.InSync = []uint64{1, 2}
	o := healthyObservation(1, 2, 7)
	o.DiskLost = set(3)
	step, wanted := p.Next(record, o)
	if !wanted || !sameIDs(ids(step.Record.Members), []uint64{1, 2, 7}) || step.Record.IsInSync(7) || step.Admit != 0 {
		t.Fatalf("%v %+v", wanted, step)
	}
}

// A learner that holds the state is preferred to a process without state.
func TestSpareWithTheStateReplacesLostVoterFirst(t *testing.T) {
	p := Policy{Tolerate: 1}
	record := p.InitialRecord(1, members(1, 2, 3))
	record.InSync = []uint64{1, 2}
	record.Learners = members(9)
	o := healthyObservation(1, 2, 7, 9)
	o.DiskLost = set(3)
	o.HasState[9] = true
	step, _ := p.Next(record, o)
	if !sameIDs(ids(step.Record.Members), []uint64{1, 2, 9}) || len(step.Record.Learners) != 0 {
		t.Fatalf("%+v", step)
	}
}

// A spare process becomes a learner before it is needed, and gets a vote only when it holds the state.
func TestLearnerIsPromotedOnceItHoldsTheState(t *testing.T) {
	p := Policy{Tolerate: 1}
	record := p.InitialRecord(1, members(1, 2))
	o := healthyObservation(1, 2, 3)
	step, wanted := p.Next(record, o)
	if !wanted || len(step.Record.Members) != 2 || !sameIDs(ids(step.Record.Learners), []uint64{3}) {
		t.Fatalf("%+v", step)
	}
	if _, wanted = p.Next(step.Record, o); wanted {
		t.Fatal("the learner got a vote before it held the state")
	}
	o.HasState[3] = true
	step, wanted = p.Next(step.Record, o)
	if !wanted || len(step.Record.Members) != 3 || !step.Record.IsInSync(3) || step.Admit != 3 || len(step.Record.Learners) != 0 {
		t.Fatalf("%+v", step)
	}
}

// A learner that holds the state replaces a draining member before that member stops, and a silent member.
func TestLearnerReplacesDrainingOrSilentVoter(t *testing.T) {
	p := Policy{Tolerate: 1}
	record := p.InitialRecord(1, members(1, 2, 3))
	record.Learners = members(4)
	o := healthyObservation(1, 2, 3, 4)
	o.HasState[4] = true
	if _, wanted := p.Next(record, o); wanted {
		t.Fatal("a healthy group changed its members")
	}
	o.Draining = set(2)
	step, wanted := p.Next(record, o)
	if !wanted || !sameIDs(ids(step.Record.Members), []uint64{1, 3, 4}) || !sameIDs(step.Record.InSync, []uint64{1, 3, 4}) || step.Admit != 4 {
		t.Fatalf("%+v", step)
	}
	o.Draining = set()
	o.Silent = set(2)
	for _, inSync := range [][]uint64{{1, 2, 3}, {1, 3}} { // an idle group needs no acknowledgements, so a silent member may still be in sync
		record.InSync = inSync
		step, wanted = p.Next(record, o)
		if !wanted || !sameIDs(ids(step.Record.Members), []uint64{1, 3, 4}) || !sameIDs(step.Record.InSync, []uint64{1, 3, 4}) {
			t.Fatalf("%+v", step)
		}
	}
}

// Only another primary replaces a primary that drains, and a draining process never replaces a member.
func TestPrimaryIsNotReplacedByItself(t *testing.T) {
	p := Policy{Tolerate: 1}
	record := p.InitialRecord(1, members(1, 2, 3))
	record.Learners = members(4)
	o := healthyObservation(1, 2, 3, 4)
	o.HasState[4] = true
	o.Draining = set(1)
	if _, wanted := p.Next(record, o); wanted {
		t.Fatal("the primary replaced itself")
	}
	o.Draining = set(2, 4)
	if step, _ := p.Next(record, o); consensus.HasMember(step.Record.Members, 4) {
		t.Fatalf("a draining learner became a member: %+v", step)
	}
}

// When two of five members have departed, both are removed. The remaining three tolerate the loss of one.
func TestDepartedVotersAreRemovedInPairs(t *testing.T) {
	p := Policy{Tolerate: 2}
	record := p.InitialRecord(1, members(1, 2, 3, 4, 5))
	record.InSync = []uint64{1, 2, 3}
	o := healthyObservation(1, 2, 3, 4)
	o.Departed = set(5)
	if _, wanted := p.Next(record, o); wanted {
		t.Fatal("one of five was removed: four tolerate no more losses than five with one departed")
	}
	o = healthyObservation(1, 2, 3)
	o.Departed = set(4, 5)
	for range 2 {
		step, wanted := p.Next(record, o)
		if !wanted {
			t.Fatalf("no further step with members %v", ids(record.Members))
		}
		record = step.Record
	}
	if !sameIDs(ids(record.Members), []uint64{1, 2, 3}) || record.MinInSync != 3 {
		t.Fatalf("%+v", record)
	}
	if _, wanted := p.Next(record, o); wanted {
		t.Fatal("a member was removed from the smallest group")
	}
}

// In an idle group, missing acknowledgements don't reveal departed members. They leave the in-sync set when they are removed, as long as
// enough replicas remain in sync.
func TestRemovedVotersLeaveTheInSyncSet(t *testing.T) {
	p := Policy{Tolerate: 2}
	record := p.InitialRecord(1, members(1, 2, 3, 4, 5))
	o := healthyObservation(1, 2, 3)
	o.Departed = set(4, 5)
	for range 2 {
		step, wanted := p.Next(record, o)
		if !wanted {
			t.Fatalf("no further step with members %v", ids(record.Members))
		}
		record = step.Record
	}
	if !sameIDs(ids(record.Members), []uint64{1, 2, 3}) || !sameIDs(record.InSync, []uint64{1, 2, 3}) {
		t.Fatalf("%+v", record)
	}
	o.Departed = set(2, 3)
	record = p.InitialRecord(1, members(1, 2, 3, 4))
	record.InSync = []uint64{1, 2, 3}
	if step, wanted := p.Next(record, o); wanted {
		t.Fatalf("the in-sync set fell below MinInSync: %+v", step.Record)
	}
}

// A departed member is not removed while another process can replace it.
func TestDepartedVoterIsKeptWhileASpareIsAvailable(t *testing.T) {
	p := Policy{Tolerate: 2}
	record := p.InitialRecord(1, members(1, 2, 3, 4, 5))
	record.InSync = []uint64{1, 2, 3}
	o := healthyObservation(1, 2, 3, 6)
	o.Departed = set(4, 5)
	o.Silent = set(4, 5)
	if step, _ := p.Next(record, o); len(step.Record.Members) != 5 || len(step.Record.Learners) != 1 {
		t.Fatalf("%+v", step)
	}
}

func TestSilentLearnerIsRemoved(t *testing.T) {
	p := Policy{Tolerate: 1}
	record := p.InitialRecord(1, members(1, 2, 3))
	record.Learners = members(4)
	o := healthyObservation(1, 2, 3)
	o.Silent = set(4)
	step, wanted := p.Next(record, o)
	if !wanted || len(step.Record.Learners) != 0 || len(step.Record.Members) != 3 {
		t.Fatalf("%+v", step)
	}
}
