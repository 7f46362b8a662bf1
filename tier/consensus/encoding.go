package consensus

import (
	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// EncodeRecord appends the encoding of a record.
func EncodeRecord(e *codec.Encoder, r Record) {
	e.Uint64(r.Epoch)
	e.Uint64(r.Primary)
	e.Uint64s(r.InSync)
	encodeMembers(e, r.Members)
	encodeMembers(e, r.Previous)
	e.Uint32(uint32(r.MinInSync))
	encodeMembers(e, r.Learners)
	e.Uint64(r.ClusterID)
}

// DecodeRecord reads a record. A failure is reported by the decoder's Err.
func DecodeRecord(d *codec.Decoder) Record {
	return Record{
		Epoch:     d.Uint64(),
		Primary:   d.Uint64(),
		InSync:    d.Uint64s(),
		Members:   decodeMembers(d),
		Previous:  decodeMembers(d),
		MinInSync: int(d.Uint32()),
		Learners:  decodeMembers(d),
		ClusterID: d.Uint64(),
	}
}

func encodeMembers(e *codec.Encoder, members []Member) {
	e.Uint32(uint32(len(members)))
	for _, member := range members {
		e.Uint64(member.ID)
		e.String(member.Address)
		e.String(member.Node)
	}
}

// minMemberBytes is the size of the shortest encoding of a member: its identity and the lengths of two empty strings.
const minMemberBytes = 8 + 4 + 4

func decodeMembers(d *codec.Decoder) []Member {
	var members []Member
	for range d.Count(minMemberBytes) {
		members = append(members, Member{ID: d.Uint64(), Address: d.String(), Node: d.String()})
	}
	return members
}

// EncodeProposalNumber appends the encoding of a proposal number.
func EncodeProposalNumber(e *codec.Encoder, n ProposalNumber) {
	e.Uint64(n.Round)
	e.Uint64(n.Proposer)
}

// DecodeProposalNumber reads a proposal number. A failure is reported by the decoder's Err.
func DecodeProposalNumber(d *codec.Decoder) ProposalNumber {
	return ProposalNumber{Round: d.Uint64(), Proposer: d.Uint64()}
}

// Encode returns the encoding in which the acceptor is stored.
func (a *Acceptor) Encode() []byte {
	var e codec.Encoder
	EncodeProposalNumber(&e, a.Promised)
	EncodeProposalNumber(&e, a.Accepted)
	EncodeRecord(&e, a.Value)
	return e.Bytes
}

// DecodeAcceptor decodes a stored acceptor. It returns codes.Malformed if the content is invalid.
func DecodeAcceptor(content []byte) (Acceptor, error) {
	d := codec.NewDecoder(content)
	a := Acceptor{Promised: DecodeProposalNumber(d), Accepted: DecodeProposalNumber(d), Value: DecodeRecord(d)}
	if d.Err() != nil {
		return Acceptor{}, codes.Malformed
	}
	return a, nil
}
