package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"otterseam/gateway/operatorconfig"
	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/gateway/simprotocol"
)

// readBufferBytes is large enough for most batches, each of which is one line.
const readBufferBytes = 1 << 20

// NotCreatedError reports a message for a gateway that does not exist.
type NotCreatedError struct {
	Gateway int
	Message any
}

func (e *NotCreatedError) Error() string {
	return fmt.Sprintf("%T: gateway %d has not been created", e.Message, e.Gateway)
}

// UnknownListError reports a message that refers to an unknown host list.
type UnknownListError struct{ Number int }

func (e *UnknownListError) Error() string {
	return fmt.Sprintf("DISCOVERY: unknown host list %d", e.Number)
}

// Run replies on out to every batch read from in, and returns nil at the end of in.
func Run(in io.Reader, out io.Writer) error {
	operator, err := operatorconfig.Read()
	if err != nil {
		return err
	}
	a := &adapter{
		membershipShare: operator.MembershipShare(),
		overloadControl: operator.Overload.Enabled,
		gateways:        map[int]*gateway{},
		hostLists:       map[int][]policy.HostEntry{},
	}
	lines := bufio.NewReaderSize(in, readBufferBytes)
	for {
		line, readErr := lines.ReadBytes('\n')
		if isBatch(line, readErr) {
			if err := a.handleBatch(line, out); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// isBatch reports whether line holds a batch. The last line of the input may lack its newline.
func isBatch(line []byte, readErr error) bool {
	return len(line) > 1 || readErr == nil && len(line) > 0
}

// adapter is the state of the process: its gateways, and the host lists that they share, each by number.
type adapter struct {
	membershipShare float64 // from the operator's file
	overloadControl bool    // from the operator's file
	gateways        map[int]*gateway
	hostLists       map[int][]policy.HostEntry
	reply           simprotocol.Reply
}

func (a *adapter) handleBatch(line []byte, out io.Writer) error {
	batch, err := simprotocol.ParseBatch(line)
	if err != nil {
		return err
	}
	a.reply.Begin()
	for _, group := range batch.Groups {
		a.reply.SelectGateway(group.Gateway)
		if err := a.handleGroup(batch.At, group); err != nil {
			return err
		}
	}
	_, err = out.Write(a.reply.Line())
	return err
}

// handleGroup passes the messages of one group to its gateway. A panic is reported with FAULT and does not affect other gateways.
func (a *adapter) handleGroup(now float64, group simprotocol.Group) error {
	defer func() {
		if r := recover(); r != nil {
			a.reply.Add("FAULT", fmt.Sprint("panic: ", r))
		}
	}()
	for _, message := range group.Inbox {
		if err := a.handle(now, group.Gateway, message); err != nil {
			return err
		}
	}
	if g := a.gateways[group.Gateway]; g != nil {
		g.SetTimers(now)
	}
	return nil
}

func (a *adapter) handle(now float64, number int, message any) error {
	switch m := message.(type) {
	case *simprotocol.HostList:
		a.hostLists[m.Number] = hostEntries(m.Entries)
		return nil
	case *simprotocol.Create:
		return a.create(number, m)
	}
	g := a.gateways[number]
	if g == nil {
		return &NotCreatedError{Gateway: number, Message: message}
	}
	switch m := message.(type) {
	case *simprotocol.Crash:
		delete(a.gateways, number)
	case *simprotocol.HostsChanged:
		return a.changeHosts(now, g, m)
	default:
		g.handle(now, message)
	}
	return nil
}

func (a *adapter) create(number int, m *simprotocol.Create) error {
	m.Settings.MembershipShare = a.membershipShare
	m.Settings.OverloadControl = a.overloadControl
	g, err := newGateway(m, &a.reply)
	if err != nil {
		return err
	}
	a.gateways[number] = g
	return nil
}

func (a *adapter) changeHosts(now float64, g *gateway, m *simprotocol.HostsChanged) error {
	if m.Mode == simprotocol.ModeBroken {
		return nil
	}
	list, known := a.hostLists[m.List]
	if !known {
		return &UnknownListError{Number: m.List}
	}
	g.UpdateHosts(now, list, m.Mode != simprotocol.ModePatch)
	return nil
}

func hostEntries(entries []simprotocol.HostEntry) []policy.HostEntry {
	list := make([]policy.HostEntry, 0, len(entries))
	for _, e := range entries {
		list = append(list, policy.HostEntry{
			Addr: e.Addr, Zone: e.Zone, Cell: e.Cell, State: e.State, StartedAt: e.StartedAt, Weight: e.Weight,
		})
	}
	return list
}

var _ policydriver.Output = (*gateway)(nil)
