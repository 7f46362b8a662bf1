package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
)

// tickInterval is how often the node is told the time.
const tickInterval = 20 * time.Millisecond

// now returns the time that the node is told: seconds of the process's monotonic clock since the server was made.
func (s *Server) now() float64 { return time.Since(s.started).Seconds() }

// enqueue has the event loop call a function; false: the server is shutting down.
func (s *Server) enqueue(event func()) bool {
	select {
	case s.events <- event:
		return true
	case <-s.ended:
		return false
	}
}

// runEventLoop owns the node: all that happens is told to it here, one event after another, and all that it decides is
// carried out from here.
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

// flush carries out what the node decided: it has written what has to be written, and sends what rests on that. While a write
// is under way all else goes on.
func (s *Server) flush() error {
	for !s.writing {
		ready := s.node.Ready()
		if ready == nil {
			break
		}
		if s.storage.persistent() && len(ready.Writes) > 0 {
			s.writing = true
			s.writeOrders <- ready // never blocks: one is under way at a time
			break
		}
		s.node.Advance(ready)
		if err := s.node.Err(); err != nil {
			return err
		}
	}
	sendErr := s.sendMessages() // a leader's own messages need not wait for its disk
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

// runWriter owns the storage while a write is under way: one transaction after another, each with all that was decided during
// the one before.
func (s *Server) runWriter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case ready := <-s.writeOrders:
			if err := s.storage.write(ready.Writes); err != nil {
				return fmt.Errorf("write failed, and nothing that depends on it was sent: %w", err)
			}
			s.enqueue(func() {
				s.writing = false
				s.node.Advance(ready)
			})
		}
	}
}

// handleAdmin has the node carry out an operator's command; answer is called once, in the event loop. It runs in the event
// loop.
func (s *Server) handleAdmin(command *protocol.Admin, answer func(*protocol.Admin)) {
	// A bootstrap's writes are made at once. No other write is under way then: the server holds nothing yet.
	write := func(writes []replication.Write) error {
		if err := s.storage.write(writes); err != nil {
			return err
		}
		return s.storage.setCluster(s.node.Cluster())
	}
	s.node.HandleAdmin(s.now(), command, write, answer)
}
