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

// A machine that answers at the same address with another identity has lost its disk.
func TestNewIdentityOfTheSameMachineProvesLostDisk(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveListed(original, 10)
	if tracker.DiskLost(original.ID) {
		t.Fatal("the disk counts as lost although nobody answered")
	}
	tracker.ObserveAnswer(wiped, 20)
	if !tracker.DiskLost(original.ID) || tracker.DiskLost(wiped.ID) {
		t.Fatalf("lost: former identity %v, new identity %v", tracker.DiskLost(original.ID), tracker.DiskLost(wiped.ID))
	}
}

// An answer of another machine at the member's address proves nothing: the disk is still in the member's machine.
func TestAddressTakenByAnotherMachineProvesNothing(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveListed(original, 10)
	tracker.ObserveAnswer(otherMachine, 20)
	if tracker.DiskLost(original.ID) {
		t.Fatal("the disk counts as lost although another machine answered")
	}
}

// The disk of a member that answers at a new address is not lost, whichever process answers at the former one.
func TestMemberAtANewAddressIsNotLost(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveListed(original, 10)
	tracker.ObserveAnswer(wiped, 20)
	moved := original
	moved.Address = "y"
	tracker.ObserveAnswer(moved, 30)
	tracker.ObserveAnswer(wiped, 40)
	if tracker.DiskLost(original.ID) {
		t.Fatal("the disk of a member that answers at a new address counts as lost")
	}
}

// A process that starts slowly doesn't answer, and its silence proves nothing.
func TestSilenceDoesNotProveLostDisk(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveAnswer(original, 10)
	tracker.ObserveListed(original, 20)
	if tracker.DiskLost(original.ID) {
		t.Fatal("silence counts as a lost disk")
	}
}

// An answer from the address before the member was observed there proves nothing about the member, even if it is kept or arrives late.
func TestAnswerFromBeforeTheMemberProvesNothing(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveAnswer(original, 10)
	tracker.ObserveListed(wiped, 20)
	if tracker.DiskLost(wiped.ID) {
		t.Fatal("an answer of the former identity marks the disk of the current one as lost")
	}
	tracker.ObserveAnswer(original, 15) // the call was made before the member was observed, and answered late
	if tracker.DiskLost(wiped.ID) {
		t.Fatal("a late answer of the former identity marks the disk of the current one as lost")
	}
}

// A disk no longer counts as lost when the member answers again, for example because the disk was unavailable for a while.
func TestMemberThatAnswersAgainIsNotLost(t *testing.T) {
	tracker := NewIdentityTracker()
	tracker.ObserveListed(original, 10)
	tracker.ObserveAnswer(wiped, 20)
	tracker.ObserveAnswer(original, 30)
	if tracker.DiskLost(original.ID) {
		t.Fatal("the disk counts as lost although the member answered since")
	}
}
