package fleet

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"otterseam/quotastore/protocol"
)

// eventTimeout is how long a message waits for the faults that its event injects: the scenario may be over.
const eventTimeout = 200 * time.Millisecond

// gatewayEnvironments gives the variables of each api gateway by which the quota store holds all for it; nil if the script doesn't want
// that.
func (s *store) gatewayEnvironments(gateways int) (func(gateway int) []string, error) {
	if s.settings.Holds != "all" {
		return nil, nil
	}
	files := make([]string, gateways)
	for gateway := range gateways {
		var err error
		if files[gateway], err = s.writeOperatorFile(gateway); err != nil {
			return nil, err
		}
	}
	return func(gateway int) []string { return []string{"EDGE_OPERATOR=" + files[gateway]} }, nil
}

// writeOperatorFile writes the operator's file of an api gateway, by which it reaches each member over a link of its own.
func (s *store) writeOperatorFile(gateway int) (string, error) {
	var addresses []string
	for member, config := range s.config.Members {
		address, err := s.injector.link(gatewayEnd(gateway), memberEnd(member)).ListenInProcess(func(c net.Conn) {
			s.relayStream(gateway, c, config.PeerAddress)
		})
		if err != nil {
			return "", err
		}
		addresses = append(addresses, address)
	}
	text, err := json.Marshal(map[string]any{"copies": map[string]any{"keepers": addresses, "counts": true, "marks": true, "use": true}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.options.Dir, fmt.Sprintf("operator-%d.json", gateway))
	return path, os.WriteFile(path, text, 0o644)
}

// dialOrReset connects to a member; if that fails it resets the api gateway's connection.
func dialOrReset(c net.Conn, address string) (net.Conn, bool) {
	member, err := net.Dial("tcp", address)
	if err == nil {
		return member, true
	}
	if lingering, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0) // fails only if closed already
	}
	c.Close()
	return nil, false
}

// relayStream leads a stream of an api gateway to a member unchanged, and has the observer note what is asked and answered.
func (s *store) relayStream(gateway int, c net.Conn, address string) {
	member, ok := dialOrReset(c, address)
	if !ok {
		return
	}
	stream := s.observer.newStream()
	go func() {
		defer member.Close()
		relayFrames(c, member, func(frame *protocol.Frame) {
			s.observer.requested(stream, frame)
			if len(frame.Requests) > 0 {
				s.event("called", gateway)
			}
		})
	}()
	relayFrames(member, c, func(frame *protocol.Frame) {
		if len(frame.Responses) > 0 {
			s.event("added", gateway)
		}
		s.observer.responded(stream, frame)
	})
	c.Close()
	member.Close()
}

// relayFrames hands complete frames on; observe is called for each before. It ends with either connection.
func relayFrames(from io.Reader, to io.Writer, observe func(frame *protocol.Frame)) {
	reader := bufio.NewReader(from)
	for {
		body, err := protocol.ReadBody(reader, protocol.MaxFrameBytes)
		if err != nil {
			return
		}
		if frame, err := protocol.DecodeFrame(body); err == nil {
			observe(frame)
		}
		if _, err := to.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)); err != nil {
			return
		}
	}
}

// relayCounter leads an api gateway's calls in the counter's protocol to a member, and has the observer note them.
func (s *store) relayCounter(gateway int, c net.Conn) {
	config := s.config.Members[gateway%len(s.config.Members)]
	member, ok := dialOrReset(c, config.CounterAddress)
	if !ok {
		return
	}
	s.observer.relayCalls(c, member, func(event string) { s.event(event, gateway) })
	c.Close()
	member.Close()
}

// event tells of an event and waits until the faults that wait for it are in force.
func (s *store) event(event string, gateway int) {
	f := s.injector
	f.mu.Lock()
	gateways := f.gateways
	closed := f.closed
	f.mu.Unlock()
	if gateways == nil || closed || !f.isAwaited(event) {
		return
	}
	done := make(chan struct{})
	gateways.Do(func() {
		f.EventSeen(event, gateway)
		close(done)
	})
	select {
	case <-done:
	case <-time.After(eventTimeout):
	}
}
