package store

import (
	"context"
	"errors"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/programs"
	"otterseam/tier/rpc"
	"otterseam/tier/timeline"
)

// submitTimeout is how long a command may take to be committed.
const submitTimeout = 1500 * time.Millisecond

// handleProgram carries out a command on the shard that it names, if this process leads it.
func (s *Server) handleProgram(message rpc.Message) {
	request, err := DecodeProgramRequest(message.Payload)
	if err != nil || !programs.IsCommand(request.Command) {
		message.Answer(codes.Malformed, nil)
		return
	}
	programs.Stamp(request.Command, time.Now().UnixMilli())
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	got, err := s.node.Submit(ctx, request.Shard, request.Command)
	if err != nil {
		var code codes.Code
		if !errors.As(err, &code) {
			code = codes.Unavailable
		}
		message.Answer(code, nil)
		return
	}
	s.timeline.Reach(timeline.ShardLed)
	result := got.(programs.Result)
	message.Answer(result.Code, result.Encode())
}
