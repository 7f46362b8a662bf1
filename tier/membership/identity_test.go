package membership

import (
	"testing"

	"otterseam/tier/consensus"
)

var (
	first     = consensus.Member{ID: 5, Address: "x", Node: "core-1"}
	wiped     = consensus.Member{ID: 6, Address: "x", Node: "core-1"}
	elsewhere = consensus.Member{ID: 7, Address: "x", Node: "core-9"}
)

// The same machine at the same address with another identity has lost its disk.
func TestAnotherIdentityOfTheSameMachineProvesALostDisk(t *testing.T) {
	s := NewIdentityTracker()
	s.ObserveListed(first, 10)
	if s.DiskLost(first.ID) {
		t.Fatal("lost though nobody answered")
	}
	s.ObserveAnswer(wiped, 20)
	if !s.DiskLost(first.ID) || s.DiskLost(wiped.ID) {
		t.Fatalf("lost: %v, the new one %v", s.DiskLost(first.ID), s.DiskLost(wiped.ID))
	}
}

// An address that another machine has taken proves nothing: the member's disk is wherever its machine is.
func TestAnAddressThatAnotherMachineTookProvesNothing(t *testing.T) {
	s := NewIdentityTracker()
	s.ObserveListed(first, 10)
	s.ObserveAnswer(elsewhere, 20)
	if s.DiskLost(first.ID) {
		t.Fatal("the disk of a machine that moved counts as lost")
	}
}

// A member that is alive at another address is not lost, whoever answers at the former one.
func TestAMemberThatMovedIsNotLost(t *testing.T) {
	s := NewIdentityTracker()
	s.ObserveListed(first, 10)
	s.ObserveAnswer(wiped, 20)
	moved := first
	moved.Address = "y"
	s.ObserveAnswer(moved, 30)
	s.ObserveAnswer(wiped, 40)
	if s.DiskLost(first.ID) {
		t.Fatal("a member that answers elsewhere counts as lost")
	}
}

// A process that starts slowly answers nothing, which proves nothing.
func TestASlowStartProvesNothing(t *testing.T) {
	s := NewIdentityTracker()
	s.ObserveAnswer(first, 10)
	s.ObserveListed(first, 20)
	if s.DiskLost(first.ID) {
		t.Fatal("silence counts as a lost disk")
	}
}

// Who answered at the address before the member came says nothing of the member, however long that answer is kept.
func TestAnAnswerFromBeforeTheMemberProvesNothing(t *testing.T) {
	s := NewIdentityTracker()
	s.ObserveAnswer(first, 10)
	s.ObserveListed(wiped, 20)
	if s.DiskLost(wiped.ID) {
		t.Fatal("the former identity proves that the present one's disk is lost")
	}
	s.ObserveAnswer(first, 15) // asked before, answered late
	if s.DiskLost(wiped.ID) {
		t.Fatal("a late answer proves that the present one's disk is lost")
	}
}

// A member whose disk was away and is back is not lost any more.
func TestAMemberBackWithItsDiskIsNotLost(t *testing.T) {
	s := NewIdentityTracker()
	s.ObserveListed(first, 10)
	s.ObserveAnswer(wiped, 20)
	s.ObserveAnswer(first, 30)
	if s.DiskLost(first.ID) {
		t.Fatal("lost though it answered since")
	}
}
