package membership

import (
	"testing"

	"otterseam/tier/consensus"
)

var (
	original     = consensus.Member{ID: 5, Address: "x", Node: "core-1"}
	wiped        = consensus.Member{ID: 6, Address: "x", Node: "core-1"}
	otherMachine = consensus.Member{ID: 7, Address: "x", Node: "core-9"}
)

// The same machine at the same address with another identity has lost its disk.
func TestNewIdentityOfTheSameMachineProvesLostDisk(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveListed(original, 10)
	if tracker.DiskLost(original.ID) {
		t.Fatal("lost though nobody answered")
	}
	tracker.ObserveAnswer(wiped, 20)
	if !tracker.DiskLost(original.ID) || tracker.DiskLost(wiped.ID) {
		t.Fatalf("lost: %v, the new one %v", tracker.DiskLost(original.ID), tracker.DiskLost(wiped.ID))
	}
}

// An address that another machine has taken proves nothing: the member's disk is wherever its machine is.
func TestAddressTakenByAnotherMachineProvesNothing(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveListed(original, 10)
	tracker.ObserveAnswer(otherMachine, 20)
	if tracker.DiskLost(original.ID) {
		t.Fatal("the disk of a machine that moved counts as lost")
	}
}

// A member that is alive at another address is not lost, whoever answers at the former one.
func TestMemberAtANewAddressIsNotLost(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveListed(original, 10)
	tracker.ObserveAnswer(wiped, 20)
	moved := original
	moved.Address = "y"
	tracker.ObserveAnswer(moved, 30)
	tracker.ObserveAnswer(wiped, 40)
	if tracker.DiskLost(original.ID) {
		t.Fatal("a member that answers elsewhere counts as lost")
	}
}

// A process that starts slowly answers nothing, which proves nothing.
func TestSilenceDoesNotProveLostDisk(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveAnswer(original, 10)
	tracker.ObserveListed(original, 20)
	if tracker.DiskLost(original.ID) {
		t.Fatal("silence counts as a lost disk")
	}
}

// Who answered at the address before the member came says nothing of the member, however long that answer is kept.
func TestAnswerFromBeforeTheMemberProvesNothing(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveAnswer(original, 10)
	tracker.ObserveListed(wiped, 20)
	if tracker.DiskLost(wiped.ID) {
		t.Fatal("the former identity proves that the present one's disk is lost")
	}
	tracker.ObserveAnswer(original, 15) // asked before, answered late
	if tracker.DiskLost(wiped.ID) {
		t.Fatal("a late answer proves that the present one's disk is lost")
	}
}

// A member whose disk was away and is back is not lost any more.
func TestMemberThatAnswersAgainIsNotLost(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveListed(original, 10)
	tracker.ObserveAnswer(wiped, 20)
	tracker.ObserveAnswer(original, 30)
	if tracker.DiskLost(original.ID) {
		t.Fatal("lost though it answered since")
	}
}
