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

// submitTimeout is the limit for committing a command.
const submitTimeout = 1500 * time.Millisecond

// handleProgram executes a command on the shard that the request names, if this process is primary of the shard.
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
