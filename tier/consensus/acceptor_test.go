package consensus

import (
	"reflect"
	"testing"
)

func TestAcceptorRejectsLowerProposalNumbers(t *testing.T) {
	var a Acceptor
	if !a.Prepare(ProposalNumber{Round: 5, Proposer: 1}) || a.Prepare(ProposalNumber{Round: 4, Proposer: 9}) {
		t.Fatal("a lower number was promised")
	}
	if a.Accept(ProposalNumber{Round: 4, Proposer: 9}, Record{Epoch: 1}) {
		t.Fatal("a lower number was accepted")
	}
	if !a.Accept(ProposalNumber{Round: 5, Proposer: 1}, Record{Epoch: 1}) {
		t.Fatal("the promised number was not accepted")
	}
}

func TestAcceptorAcceptsOneValuePerNumber(t *testing.T) {
	var a Acceptor
	number := ProposalNumber{Round: 5, Proposer: 1}
	first := Record{Epoch: 1, Primary: 1, Members: []Member{{ID: 1}}}
	for range 2 {
		if !a.Accept(number, first) {
			t.Fatal("an accept, or its repetition, was rejected")
		}
	}
	if a.Accept(number, Record{Epoch: 1, Primary: 2, Members: []Member{{ID: 1}}}) || !a.Value.Equal(first) {
		t.Fatal("a second value was accepted under one number")
	}
}

func TestAcceptorEncodingRoundTrip(t *testing.T) {
	a := Acceptor{
		Promised: ProposalNumber{9, 2}, Accepted: ProposalNumber{8, 1},
		Value: Record{
			Epoch: 4, Primary: 2, InSync: []uint64{2, 3}, Members: []Member{{2, "a", "core-a"}, {3, "b", "core-b"}},
			Previous: []Member{{1, "c", "core-c"}}, MinInSync: 2, Learners: []Member{{4, "d", "core-d"}},
		},
	}
	decoded, err := DecodeAcceptor(a.Encode())
	if err != nil || !reflect.DeepEqual(decoded, a) {
		t.Fatalf("decoded %+v, %v", decoded, err)
	}
	for cut := range a.Encode() {
		if _, err := DecodeAcceptor(a.Encode()[:cut]); err == nil {
			t.Fatalf("the first %d bytes were decoded as an acceptor", cut)
		}
	}
}
