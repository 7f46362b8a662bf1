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

// eventTimeout limits how long a message is delayed for the faults that its event injects. Once the scenario is over, none are injected.
const eventTimeout = 200 * time.Millisecond

// gatewayEnvironments returns the environment variables that make each api gateway keep its counts, markers and usage in the quota store;
// nil if the script doesn't ask for that.
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

// writeOperatorFile writes the operator file of an api gateway. It lists the address of a separate link to each member.
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

// dialOrReset connects to a member. If that fails, it resets the connection of the api gateway.
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

// relayStream relays a stream between an api gateway and a member unchanged, and passes its requests and responses to the observer.
func (s *store) relayStream(gateway int, c net.Conn, address string) {
	member, ok := dialOrReset(c, address)
	if !ok {
		return
	}
	stream := s.observer.newStream()
	go func() {
		defer member.Close()
		relayFrames(c, member, func(frame *protocol.Frame) {
			s.observer.observeRequests(stream, frame)
			if len(frame.Requests) > 0 {
				s.raiseEvent("called", gateway)
			}
		})
	}()
	relayFrames(member, c, func(frame *protocol.Frame) {
		if len(frame.Responses) > 0 {
			s.raiseEvent("added", gateway)
		}
		s.observer.observeResponses(stream, frame)
	})
	c.Close()
	member.Close()
}

// relayFrames forwards complete frames and calls observe for each before it is written. It returns when either connection ends.
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

// relayCounter relays the calls of an api gateway in the counter's protocol to a member, and passes them to the observer.
func (s *store) relayCounter(gateway int, c net.Conn) {
	config := s.config.Members[gateway%len(s.config.Members)]
	member, ok := dialOrReset(c, config.CounterAddress)
	if !ok {
		return
	}
	s.observer.relayCalls(c, member, func(event string) { s.raiseEvent(event, gateway) })
	c.Close()
	member.Close()
}

// raiseEvent raises an event and waits until the faults that it triggers are in force.
func (s *store) raiseEvent(event string, gateway int) {
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
