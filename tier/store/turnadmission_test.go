package store

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/programs"
)

// beginLarge begins a turn that may retain a number of bytes.
func beginLarge(ctx context.Context, s *Server, request string, bytes uint64) error {
	command := programs.Begin{Request: request, Program: request, RetainedBytes: bytes}.Encode()
	programs.Stamp(command, time.Now().UnixMilli())
	_, err := s.execute(ctx, ProgramRequest{Shard: recordedShard, Command: command})
	return err
}

// unreservedEndBytes is the size of an End that is large.
const unreservedEndBytes = 100_000

// endLarge ends a turn that retains a number of bytes.
func endLarge(ctx context.Context, s *Server, request string, bytes int) error {
	command := programs.End{Request: request, Program: request, Retain: true, RetentionMS: 60_000, Input: make([]byte, bytes)}.Encode()
	programs.Stamp(command, time.Now().UnixMilli())
	_, err := s.execute(ctx, ProgramRequest{Shard: recordedShard, Command: command})
	return err
}

// A primary refuses turns for which there is no room, until others have ended. What has ended is never refused.
func TestPrimaryRefusesTurnsWithoutRoom(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s := newPrimaryStore(ctx, t)
	half := uint64(s.turns.limit / 2)
	if err := beginLarge(ctx, s, "a", half); err != nil {
		t.Fatal(err)
	}
	if err := beginLarge(ctx, s, "b", half); !errors.Is(err, codes.StoreFull) {
		t.Fatalf("a second turn of half the limit: %v", err)
	}
	if s.turns.usage.Programs() == 0 || s.turns.states[recordedShard].HasProgram("b") {
		t.Fatal("the refused turn was proposed")
	}
	if err := endLarge(ctx, s, "a", int(half)); err != nil {
		t.Fatal(err)
	}
	if got := s.turns.usage.RetainedBytes(); got < int64(half) {
		t.Fatalf("%d bytes are counted for a turn of %d", got, half)
	}
	if err := beginLarge(ctx, s, "c", half); !errors.Is(err, codes.StoreFull) {
		t.Fatalf("a turn beside a retained one: %v", err)
	}
	if err := beginLarge(ctx, s, "d", 1000); err != nil {
		t.Fatalf("an ordinary turn: %v", err)
	}
}

// A turn that may outlive the chain that it continues may be stored with all of its texts. One that ends before needs no room for them.
func TestChainThatMayExpireCountsAsRoom(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s := newPrimaryStore(ctx, t)
	chain := make([]byte, s.turns.limit/4)
	for _, command := range [][]byte{
		programs.Begin{Request: "a", Program: "p", RetainedBytes: uint64(len(chain))}.Encode(),
		programs.End{Request: "a", Program: "p", Retain: true, RetentionMS: 60_000, Input: chain}.Encode(),
	} {
		programs.Stamp(command, time.Now().UnixMilli())
		if _, err := s.execute(ctx, ProgramRequest{Shard: recordedShard, Command: command}); err != nil {
			t.Fatal(err)
		}
	}
	beginFour := func(name string, timeout time.Duration) (last error) {
		for i := range 4 {
			command := programs.Begin{
				Request: fmt.Sprint(name, i), Program: "p", Previous: "a", RetainedBytes: 10, TimeoutMS: uint64(timeout.Milliseconds()),
			}.Encode()
			programs.Stamp(command, time.Now().UnixMilli())
			_, last = s.execute(ctx, ProgramRequest{Shard: recordedShard, Command: command})
		}
		return last
	}
	if err := beginFour("short", 50*time.Second); err != nil {
		t.Fatalf("four turns that end before the chain expires: %v", err)
	}
	if err := beginFour("long", time.Minute); !errors.Is(err, codes.StoreFull) {
		t.Fatalf("four turns that each may store a quarter of the limit again: %v", err)
	}
}

// What another replica of the shard reports counts until it expires.
func TestFullReplicaCounts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s := newPrimaryStore(ctx, t)
	report := RetainedUsage{Store: s.node.Identity, Bytes: uint64(s.turns.limit)}
	decoded, err := DecodeRetainedUsage(report.Encode())
	if err != nil || decoded != report {
		t.Fatalf("%+v, %v", decoded, err)
	}
	s.turns.recordPeer(decoded, time.Now().Add(time.Minute).UnixMilli())
	if err := beginLarge(ctx, s, "a", 1000); !errors.Is(err, codes.StoreFull) {
		t.Fatalf("a turn while a replica is full: %v", err)
	}
	if err := endLarge(ctx, s, "b", unreservedEndBytes); !errors.Is(err, codes.StoreFull) {
		t.Fatalf("an End without a reservation while a replica is full: %v", err)
	}
	s.turns.recordPeer(decoded, time.Now().Add(-time.Minute).UnixMilli())
	if err := beginLarge(ctx, s, "a", 1000); err != nil {
		t.Fatalf("after the report expired: %v", err)
	}
	if err := endLarge(ctx, s, "b", unreservedEndBytes); err != nil {
		t.Fatalf("an End after the report expired: %v", err)
	}
}
