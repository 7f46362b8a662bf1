package election

import (
	"otterseam/tier/codec"
	"otterseam/tier/consensus"
	"otterseam/tier/rpc"
)

// KindTakeOver asks a backup to become primary because the primary is about to stop or has a degraded disk. The backup answers once it
// has become primary or has failed to.
const KindTakeOver rpc.Kind = 30

// PrepareMode is the reason for a prepare or pre-vote request.
type PrepareMode uint8

// The reasons for a prepare or pre-vote request.
const (
	PrepareBySelf     PrepareMode = iota // the sender is the primary, or bootstraps the cluster
	PrepareOnSilence                     // the primary is silent
	PrepareOnTransfer                    // the primary asked the sender to take over
)

// prepareRequest asks an acceptor to promise a proposal number. A proposer sends it with controlclient.KindPrepare.
type prepareRequest struct {
	To     uint64 // identity of the acceptor
	Mode   PrepareMode
	Number consensus.ProposalNumber
}

func (r prepareRequest) encode() []byte {
	var e codec.Encoder
	e.Uint64(r.To)
	e.Uint8(uint8(r.Mode))
	consensus.EncodeProposalNumber(&e, r.Number)
	return e.Bytes
}

func decodePrepareRequest(payload []byte) (prepareRequest, error) {
	d := codec.NewDecoder(payload)
	r := prepareRequest{To: d.Uint64(), Mode: PrepareMode(d.Uint8()), Number: consensus.DecodeProposalNumber(d)}
	return r, d.Err()
}

// acceptRequest asks an acceptor to accept a record. A proposer sends it with controlclient.KindAccept.
type acceptRequest struct {
	To     uint64 // identity of the acceptor
	Number consensus.ProposalNumber
	Record consensus.Record
}

func (r acceptRequest) encode() []byte {
	var e codec.Encoder
	e.Uint64(r.To)
	consensus.EncodeProposalNumber(&e, r.Number)
	consensus.EncodeRecord(&e, r.Record)
	return e.Bytes
}

func decodeAcceptRequest(payload []byte) (acceptRequest, error) {
	d := codec.NewDecoder(payload)
	r := acceptRequest{To: d.Uint64(), Number: consensus.DecodeProposalNumber(d), Record: consensus.DecodeRecord(d)}
	return r, d.Err()
}

// encodeResponse encodes an acceptor's response to a prepareRequest or an acceptRequest.
func encodeResponse(r consensus.Response) []byte {
	var e codec.Encoder
	e.Bool(r.Granted)
	consensus.EncodeProposalNumber(&e, r.Promised)
	consensus.EncodeProposalNumber(&e, r.Accepted)
	consensus.EncodeRecord(&e, r.Value)
	return e.Bytes
}

func decodeResponse(data []byte) (consensus.Response, error) {
	d := codec.NewDecoder(data)
	r := consensus.Response{
		Granted: d.Bool(), Promised: consensus.DecodeProposalNumber(d), Accepted: consensus.DecodeProposalNumber(d), Value: consensus.DecodeRecord(d),
	}
	return r, d.Err()
}

// preVoteRequest asks a voter whether it would vote for a candidate. A candidate sends it with controlclient.KindPreVote.
type preVoteRequest struct {
	To        uint64 // identity of the voter
	Candidate uint64
	Epoch     uint64 // the epoch whose primary is to be replaced
	Mode      PrepareMode
}

func (r preVoteRequest) encode() []byte {
	var e codec.Encoder
	e.Uint64(r.To)
	e.Uint64(r.Candidate)
	e.Uint64(r.Epoch)
	e.Uint8(uint8(r.Mode))
	return e.Bytes
}

func decodePreVoteRequest(payload []byte) (preVoteRequest, error) {
	d := codec.NewDecoder(payload)
	r := preVoteRequest{To: d.Uint64(), Candidate: d.Uint64(), Epoch: d.Uint64(), Mode: PrepareMode(d.Uint8())}
	return r, d.Err()
}

// preVoteResponse is a voter's response to a preVoteRequest.
type preVoteResponse struct {
	Supported bool
	Record    consensus.Record // the newest record that the voter knows
}

func (r preVoteResponse) encode() []byte {
	var e codec.Encoder
	e.Bool(r.Supported)
	consensus.EncodeRecord(&e, r.Record)
	return e.Bytes
}

func decodePreVoteResponse(data []byte) (preVoteResponse, error) {
	d := codec.NewDecoder(data)
	r := preVoteResponse{Supported: d.Bool(), Record: consensus.DecodeRecord(d)}
	return r, d.Err()
}

// encodeTakeOver encodes a request to take over the given epoch. The epoch prevents a request that is read late from replacing a later
// primary.
func encodeTakeOver(epoch uint64) []byte {
	var e codec.Encoder
	e.Uint64(epoch)
	return e.Bytes
}

func decodeTakeOver(payload []byte) (epoch uint64, err error) {
	d := codec.NewDecoder(payload)
	epoch = d.Uint64()
	return epoch, d.Err()
}

// encodeRecord encodes a record as control processes send it to each other.
func encodeRecord(record consensus.Record) []byte {
	var e codec.Encoder
	consensus.EncodeRecord(&e, record)
	return e.Bytes
}

// learnEncoded decodes a record that another process sent and learns it. Malformed records are ignored.
func (e *Elector) learnEncoded(data []byte) {
	d := codec.NewDecoder(data)
	record := consensus.DecodeRecord(d)
	if d.Err() == nil {
		e.Learn(record)
	}
}
