package control

import (
	"context"
	"errors"

	"otterseam/tier/codes"
	"otterseam/tier/control/election"
	"otterseam/tier/control/proposal"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/feed"
	"otterseam/tier/multigroup"
	"otterseam/tier/outlier"
	"otterseam/tier/rpc"
	"otterseam/tier/timeline"
)

// handle dispatches a message of another process to its handler. Handlers that may wait for a disk or another process run in their own
// goroutines, so that they do not block the connection.
func (s *Server) handle(message rpc.Message) {
	switch message.Kind {
	case multigroup.KindReplica:
		s.node.HandleMessage(message.Payload, nil)
	case feed.KindSubscribe:
		s.publisher.Handle(message)
	case timeline.KindTimeline:
		message.Answer(codes.OK, s.timeline.Encode())
	case controlclient.KindLocate:
		s.elector.HandleLocate(message)
	case controlclient.KindPreVote:
		go s.elector.HandlePreVote(message)
	case controlclient.KindPrepare:
		s.votes.handle(message, s.elector.HandlePrepare)
	case controlclient.KindAccept:
		s.votes.handle(message, s.elector.HandleAccept)
	case election.KindTakeOver:
		go s.failover.HandleTakeOver(message)
	case controlclient.KindMemberHeartbeat:
		go s.memberHeartbeats.Handle(message)
	default:
		go s.handleAsPrimary(message)
	}
}

// handleAsPrimary handles a message that only the primary may respond to.
func (s *Server) handleAsPrimary(message rpc.Message) {
	if err := s.status.MayDecide(); err != nil {
		message.Answer(codeOf(err), []byte(leaderOf(err)))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposal.Timeout)
	defer cancel()
	result, err := s.decide(ctx, message)
	if err != nil {
		message.Answer(codeOf(err), nil)
		return
	}
	message.Answer(result.Code, result.Body)
}

// codeOf returns the result code of an error. An error without a code is a decoding error, whose code is codes.Malformed.
func codeOf(err error) codes.Code {
	code := codes.Malformed
	errors.As(err, &code)
	return code
}

// leaderOf returns the address of the primary if an error contains it, or "".
func leaderOf(err error) string {
	var notLeader *election.NotLeaderError
	if errors.As(err, &notLeader) {
		return notLeader.Leader
	}
	return ""
}

func (s *Server) decide(ctx context.Context, message rpc.Message) (state.Result, error) {
	switch message.Kind {
	case controlclient.KindSubmit:
		return s.proposer.ProposeEncoded(ctx, message.Payload)
	case controlclient.KindStoreHeartbeat:
		return s.storeHeartbeats.Handle(ctx, message.Payload)
	case controlclient.KindInSyncChange:
		return s.reconciler.ChangeInSync(ctx, message.Payload)
	case controlclient.KindHostHeartbeat:
		return s.handleHostHeartbeat(ctx, message.Payload)
	case controlclient.KindHostObservations:
		return s.handleObservations(message.Payload)
	case controlclient.KindHeartbeatReport:
		return s.hostHeartbeats.HandleReport(message.Payload)
	case controlclient.KindDeregisterHost:
		return s.hostHeartbeats.Deregister(ctx, string(message.Payload))
	case controlclient.KindRetirementState:
		return s.reconciler.RetirementState(ctx, string(message.Payload))
	default:
		return state.Result{}, codes.Malformed
	}
}

func (s *Server) handleHostHeartbeat(ctx context.Context, payload []byte) (state.Result, error) {
	heartbeat, err := controlclient.DecodeHostHeartbeat(payload)
	if err != nil {
		return state.Result{}, err
	}
	return s.hostHeartbeats.Handle(ctx, heartbeat)
}

// handleObservations adds a gateway's window of observations to the outlier detector.
func (s *Server) handleObservations(payload []byte) (state.Result, error) {
	window, err := outlier.DecodeWindow(payload)
	if err != nil {
		return state.Result{}, err
	}
	s.ejector.Observe(window, s.now())
	return state.Result{}, nil
}
