package control

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/multigroup"
	"otterseam/tier/replica"
)

// submit has a command carried out by the primary, wherever it is.
func (s *Server) submit(ctx context.Context, command state.Command) (state.Result, error) {
	encoded := command.Encode()
	result, err := s.submitHere(ctx, encoded)
	if err != codes.NotPrimary {
		return state.Settled(result, err)
	}
	answer, err := s.primary.Call(ctx, controlclient.KindSubmit, encoded)
	code, isCode := err.(codes.Code)
	if err != nil && (!isCode || code == codes.Timeout) {
		return state.Result{}, codes.Timeout
	}
	return state.Settled(state.Result{Code: code, Body: answer}, nil)
}

func (s *Server) submitHere(ctx context.Context, encoded []byte) (state.Result, error) {
	call, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	got, err := s.host.Submit(call, controlGroup, encoded)
	if err != nil {
		return state.Result{}, err
	}
	return got.(state.Result), nil
}

// primaryAddress is where the primary is believed to be, as a hint for callers.
func (s *Server) primaryAddress() string {
	primary := uint64(0)
	s.host.WithGroup(controlGroup, func(g *replica.Group) { primary = g.View().Primary })
	if primary == s.self.ID || !s.standing().HasLease(multigroup.Now()) {
		return "" // it leads no more, or may have been replaced
	}
	if member, known := s.elector.Known().Member(primary); known {
		return member.Address
	}
	return ""
}
