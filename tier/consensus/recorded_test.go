package consensus

import (
	"encoding/binary"
	"testing"

	"otterseam/tier/codec"
	"otterseam/tier/internal/recorded"
)

func recordedRecord() Record {
	return Record{
		Epoch: 0x0102030405060708, Primary: 0x1111111111111111, InSync: []uint64{0x1111111111111111, 0x2222222222222222},
		Members: []Member{
			{ID: 0x1111111111111111, Address: "10.0.0.1:7401", Node: "ctl-a"},
			{ID: 0x2222222222222222, Address: "10.0.0.2:7402", Node: "ctl-b"},
			{ID: 0x3333333333333333, Address: "10.0.0.3:7403", Node: "ctl-ü"},
		},
		Previous: []Member{
			{ID: 0x1111111111111111, Address: "10.0.0.1:7401", Node: "ctl-a"},
			{ID: 0x4444444444444444, Address: "10.0.0.4:7404", Node: "ctl-d"},
		},
		MinInSync: 2, Learners: []Member{{ID: 0x5555555555555555, Address: "10.0.0.5:7405", Node: "ctl-e"}},
		ClusterID: 0xfedcba9876543210,
	}
}

func encodeAlone[T any](encode func(*codec.Encoder, T)) func(T) []byte {
	return func(value T) []byte {
		var e codec.Encoder
		encode(&e, value)
		return e.Bytes
	}
}

func decodeAlone[T any](decode func(*codec.Decoder) T) func([]byte) (T, error) {
	return func(data []byte) (T, error) {
		d := codec.NewDecoder(data)
		value := decode(d)
		return value, d.Err()
	}
}

func TestRecordedRecordAndProposalNumber(t *testing.T) {
	recorded.CheckBoth(t, "record", recordedRecord(), encodeAlone(EncodeRecord), decodeAlone(DecodeRecord))
	recorded.CheckBoth(t, "record-empty", Record{}, encodeAlone(EncodeRecord), decodeAlone(DecodeRecord))
	number := ProposalNumber{Round: 0x0a0b0c0d0e0f1011, Proposer: 0x2222222222222222}
	recorded.CheckBoth(t, "ballot", number, encodeAlone(EncodeProposalNumber), decodeAlone(DecodeProposalNumber))
}

func TestRecordedAcceptor(t *testing.T) {
	acceptor := Acceptor{
		Promised: ProposalNumber{Round: 0x0a0b0c0d0e0f1012, Proposer: 0x3333333333333333},
		Accepted: ProposalNumber{Round: 0x0a0b0c0d0e0f1011, Proposer: 0x2222222222222222},
		Value:    recordedRecord(),
	}
	recorded.CheckBoth(t, "witness", acceptor, func(w Acceptor) []byte { return w.Encode() }, DecodeAcceptor)
}

// The round limit that a proposer stores before its first round, and the first round of its next incarnation, match the recording.
func TestRecordedRounds(t *testing.T) {
	var stored []byte
	first := NewRoundAllocator(41, func(limit uint64) error {
		stored = binary.BigEndian.AppendUint64(nil, limit)
		return nil
	})
	if round, err := first.Next(); err != nil || round != 42 {
		t.Fatalf("first round: %d, %v", round, err)
	}
	recorded.Check(t, "rounds-limit", stored)
	limit := binary.BigEndian.Uint64(recorded.Read(t, "rounds-limit"))
	next := NewRoundAllocator(limit, func(uint64) error { return nil })
	if round, err := next.Next(); err != nil || round != limit+1 {
		t.Fatalf("first round of the next incarnation: %d, %v", round, err)
	}
}
