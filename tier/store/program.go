package store

import (
	"context"
	"errors"
	"time"

	"otterseam/internal/bytebudget"
	"otterseam/tier/admission"
	"otterseam/tier/codes"
	"otterseam/tier/programs"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/timeline"
)

// submitTimeout is the limit for committing a command.
const submitTimeout = 1500 * time.Millisecond

// handleProgram executes a command on the shard that the request names, if this process is primary of the shard and has room for the
// turn that the command begins.
func (s *Server) handleProgram(message rpc.Message) {
	request, err := DecodeProgramRequest(message.Payload)
	if err != nil || !programs.IsCommand(request.Command) {
		message.Answer(codes.Malformed, nil)
		return
	}
	programs.Stamp(request.Command, time.Now().UnixMilli())
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	result, err := s.execute(ctx, request)
	if err != nil {
		code := codes.Unavailable
		errors.As(err, &code)
		message.Answer(code, nil)
		return
	}
	s.timeline.Reach(timeline.ShardLed)
	s.answer(message, result)
}

// maxQueuedAnswerBytes is how many bytes may wait for a connection after a large answer before the answer's memory counts as released.
const maxQueuedAnswerBytes = 64 << 10

// answer sends the result of a command. A large one, which contains a chain, is encoded only when there is memory for it, and keeps that
// until most of it has been written. Until then the chain is the one of the state.
func (s *Server) answer(message rpc.Message, result programs.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	size := result.ChainBytes()
	release, err := s.answers.acquire(ctx, size)
	if err != nil {
		message.Answer(codes.Unavailable, nil)
		return
	}
	defer release()
	message.Answer(result.Code, result.Encode())
	if size >= bytebudget.LargeBytes {
		message.Conn.AwaitWritten(maxQueuedAnswerBytes)
	}
}

// execute submits a command. The error codes.StoreFull means that the command was not proposed.
func (s *Server) execute(ctx context.Context, request ProgramRequest) (programs.Result, error) {
	if begin, isBegin := programs.DecodeBegin(request.Command); isBegin {
		return s.executeBegin(ctx, request, begin)
	}
	if end, isEnd := programs.DecodeEnd(request.Command); isEnd {
		return s.executeEnd(ctx, request, end)
	}
	return s.submit(ctx, request)
}

// executeEnd submits an End, if there is room for what it stores beyond what was reserved for its turn.
func (s *Server) executeEnd(ctx context.Context, request ProgramRequest, end programs.End) (programs.Result, error) {
	release, err := s.commands.acquire(ctx, len(request.Command))
	if err != nil {
		return programs.Result{}, err
	}
	defer release()
	key := admission.Key{Shard: request.Shard, Request: end.Request}
	if !s.acceptsEnd(key, int64(end.RetainedBytes())) {
		return programs.Result{}, codes.StoreFull
	}
	result, err := s.submit(ctx, request)
	if err == nil {
		s.turns.release(key)
	}
	return result, err
}

// executeBegin submits a Begin if there is room for its turn. The room stays reserved until the turn's End, unless the turn does not
// begin.
func (s *Server) executeBegin(ctx context.Context, request ProgramRequest, begin programs.Begin) (programs.Result, error) {
	if !s.admit(request.Shard, begin) {
		return programs.Result{}, codes.StoreFull
	}
	result, err := s.submit(ctx, request)
	if err == nil && result.Code != codes.OK {
		s.turns.release(admission.Key{Shard: request.Shard, Request: begin.Request})
	}
	return result, err
}

// admit reserves room for a turn of a shard. A process that is not the primary admits any turn, since it won't propose its Begin.
func (s *Server) admit(shard uint32, begin programs.Begin) bool {
	turn := admission.Turn{
		Key: admission.Key{Shard: shard, Request: begin.Request}, IsNewProgram: true, RetainedBytes: int64(begin.RetainedBytes),
	}
	replicas, isPrimary := s.inspectShard(shard, func() { s.turns.complete(&turn, begin) })
	return !isPrimary || s.turns.admit(turn, s.usageOf(replicas), time.Now().UnixMilli())
}

// acceptsEnd reports whether a turn that has run may be retained with a number of bytes. A process that is not the primary accepts any,
// since it won't propose the End.
func (s *Server) acceptsEnd(key admission.Key, bytes int64) bool {
	if s.turns.covers(key, bytes) {
		return true
	}
	replicas, isPrimary := s.inspectShard(key.Shard, func() {})
	return !isPrimary || s.turns.acceptsEnd(key, bytes, s.usageOf(replicas))
}

// inspectShard calls a function under the node's lock and returns the replicas of a shard, if this process is its primary.
func (s *Server) inspectShard(shard uint32, inspect func()) (replicas []uint64, isPrimary bool) {
	s.node.WithGroup(shard, func(g *replica.Group) {
		if isPrimary = g.IsReady(); isPrimary {
			inspect()
			replicas = g.View().Replicas
		}
	})
	return replicas, isPrimary
}

// usageOf returns what the fullest of the replicas of a shard holds.
func (s *Server) usageOf(replicas []uint64) admission.Usage {
	return s.turns.usageOf(replicas, s.node.UnappliedBytes(), time.Now().UnixMilli())
}

func (s *Server) submit(ctx context.Context, request ProgramRequest) (programs.Result, error) {
	got, err := s.node.Submit(ctx, request.Shard, request.Command)
	if err != nil {
		return programs.Result{}, err
	}
	return got.(programs.Result), nil
}
