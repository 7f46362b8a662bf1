package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
)

// tickInterval is the interval between ticks of the node.
const tickInterval = 20 * time.Millisecond

// now returns the time of the node: seconds on the process's monotonic clock since New created the server.
func (s *Server) now() float64 { return time.Since(s.started).Seconds() }

// enqueue queues a function for the event loop to call. It returns false if the server is shutting down.
func (s *Server) enqueue(event func()) bool {
	select {
	case s.events <- event:
		return true
	case <-s.stopping:
		return false
	}
}

// runEventLoop owns the node. It passes events to the node one after another, and carries out all of the node's decisions.
func (s *Server) runEventLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-s.events:
			event()
			for n := len(s.events); n > 0; n-- {
				(<-s.events)()
			}
		case <-ticker.C:
		}
		if now := time.Now(); now.Sub(lastTick) >= tickInterval {
			lastTick = now
			s.node.Tick(s.now())
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
}

// flush carries out the node's decisions: it starts writes, and sends messages and responses that depend on completed writes.
// Everything else continues while a write is in progress.
func (s *Server) flush() error {
	for !s.writing {
		ready := s.node.Ready()
		if ready == nil {
			break
		}
		if s.storage.persistent() && len(ready.Writes) > 0 {
			s.writing = true
			s.writeRequests <- ready // never blocks, as only one write is in progress at a time
			break
		}
		s.node.Advance(ready)
		if err := s.node.Err(); err != nil {
			return err
		}
	}
	sendErr := s.sendMessages() // messages of a leader need not wait for its own write
	if cluster := s.node.Cluster(); cluster != 0 && !s.writing {
		if err := s.storage.setCluster(cluster); err != nil {
			return fmt.Errorf("store cluster ID: %w", err)
		}
	}
	for _, line := range s.node.TakeLogLines() {
		s.log.Info().Msg(line)
	}
	s.counter.flush()
	return errors.Join(sendErr, s.node.Err())
}

func (s *Server) sendMessages() (err error) {
	for _, message := range s.node.TakeMessages() {
		if sendErr := s.transport.send(message); sendErr != nil {
			err = sendErr
		}
	}
	return err
}

// runWriter owns the storage during a write. It writes one transaction after another, each with everything that was decided
// during the previous one.
func (s *Server) runWriter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case ready := <-s.writeRequests:
			if err := s.storage.write(ready.Writes); err != nil {
				return fmt.Errorf("storage write failed; nothing that depends on it was sent: %w", err)
			}
			s.enqueue(func() {
				s.writing = false
				s.node.Advance(ready)
			})
		}
	}
}

// handleAdmin passes an operator's command to the node. It runs in the event loop, and calls respond once in the event loop.
func (s *Server) handleAdmin(command *protocol.Admin, respond func(*protocol.Admin)) {
	// The writes of a bootstrap are made synchronously. No other write is in progress then, because the server has no data yet.
	write := func(writes []replication.Write) error {
		if err := s.storage.write(writes); err != nil {
			return err
		}
		return s.storage.setCluster(s.node.Cluster())
	}
	s.node.HandleAdmin(s.now(), command, write, respond)
}
