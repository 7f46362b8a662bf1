package election

import (
	"context"
	"errors"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/controlclient"
	"otterseam/tier/rpc"
)

// acceptorValue is the name of the stored value that holds the acceptor's state. Operators know the acceptor as a witness.
const acceptorValue = "witness"

// HandlePrepare answers a prepare request to this process's acceptor.
func (e *Elector) HandlePrepare(message rpc.Message) {
	request, err := decodePrepareRequest(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	if request.To != e.config.Node.Identity {
		message.Answer(codes.WrongIdentity, nil)
		return
	}
	if request.Mode == PrepareOnSilence && e.protectsPrimary() {
		message.Answer(codes.PrimaryAlive, nil)
		return
	}
	e.voteMu.Lock()
	defer e.voteMu.Unlock()
	granted := e.vote(func(a *consensus.Acceptor) bool { return a.Prepare(request.Number) })
	message.Answer(codes.OK, e.response(granted))
}

// HandleAccept answers an accept request to this process's acceptor.
func (e *Elector) HandleAccept(message rpc.Message) {
	request, err := decodeAcceptRequest(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	if request.To != e.config.Node.Identity {
		message.Answer(codes.WrongIdentity, nil)
		return
	}
	if e.config.Node.IsForeignCluster(request.Record.ClusterID) {
		message.Answer(codes.DiskForeign, nil)
		return
	}
	e.voteMu.Lock()
	granted := e.vote(func(a *consensus.Acceptor) bool { return a.Accept(request.Number, request.Record) })
	answer := e.response(granted)
	e.voteMu.Unlock()
	if granted {
		e.Learn(request.Record)
	}
	message.Answer(codes.OK, answer)
}

// vote applies a change to the acceptor and stores the result before it takes effect. It reports whether the vote was granted. The
// caller holds voteMu.
func (e *Elector) vote(change func(*consensus.Acceptor) bool) bool {
	e.mu.Lock()
	next := e.acceptor
	e.mu.Unlock()
	if !change(&next) {
		return false
	}
	if err := e.config.Node.Values.Write(acceptorValue, next.Encode()); err != nil {
		e.config.Log.WithError(err).Error("the acceptor's state (witness) could not be written; refusing the vote")
		return false
	}
	e.mu.Lock()
	e.acceptor = next
	e.mu.Unlock()
	return true
}

// response returns the encoded response of the acceptor in its current state.
func (e *Elector) response(granted bool) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return encodeResponse(consensus.Response{
		Granted: granted, Promised: e.acceptor.Promised, Accepted: e.acceptor.Accepted, Value: e.acceptor.Value,
	})
}

// acceptorTransport calls the acceptors of all processes, including this one, over rpc.
type acceptorTransport struct {
	elector *Elector
	mode    PrepareMode
}

// Prepare asks an acceptor to promise a proposal number.
func (t acceptorTransport) Prepare(ctx context.Context, to consensus.Member, number consensus.ProposalNumber) (consensus.Response, error) {
	request := prepareRequest{To: to.ID, Mode: t.mode, Number: number}
	return t.call(ctx, to, controlclient.KindPrepare, request.encode())
}

// Accept asks an acceptor to accept a record.
func (t acceptorTransport) Accept(ctx context.Context, to consensus.Member, number consensus.ProposalNumber, value consensus.Record) (consensus.Response, error) {
	request := acceptRequest{To: to.ID, Number: number, Record: value}
	return t.call(ctx, to, controlclient.KindAccept, request.encode())
}

func (t acceptorTransport) call(ctx context.Context, to consensus.Member, kind rpc.Kind, payload []byte) (consensus.Response, error) {
	call, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := t.elector.config.Clients.To(to.Address).Call(call, kind, payload)
	if errors.Is(err, codes.WrongIdentity) && t.elector.DiskLost(to.ID) {
		return consensus.Response{DiskLost: true}, nil
	}
	if err != nil {
		return consensus.Response{}, err
	}
	return decodeResponse(answer)
}
