package control

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
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
	got, err := s.host.Submit(call, state.Group, encoded)
	if err != nil {
		return state.Result{}, err
	}
	return got.(state.Result), nil
}
