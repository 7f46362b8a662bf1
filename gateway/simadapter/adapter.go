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

// readBufferBytes holds most lines of a batch at once.
const readBufferBytes = 1 << 20

// NotCreatedError says that a message is for a gateway that does not run.
type NotCreatedError struct {
	Gateway int
	Message any
}

func (e *NotCreatedError) Error() string {
	return fmt.Sprintf("%T: instance %d has not been created", e.Message, e.Gateway)
}

// UnknownListError says that a message names a list of hosts that was not given.
type UnknownListError struct{ Number int }

func (e *UnknownListError) Error() string {
	return fmt.Sprintf("DISCOVERY: no list numbered %d", e.Number)
}

// Run answers every batch on in until it ends.
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
			if err := a.answer(line, out); err != nil {
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

// isBatch says whether what was read is to be answered: a line, or at the end of the input one that was not ended.
func isBatch(line []byte, readErr error) bool {
	return len(line) > 1 || readErr == nil && len(line) > 0
}

// adapter is the process: its gateways, and the lists of hosts that all of them know, by number.
type adapter struct {
	membershipShare float64 // as the operator sets it
	overloadControl bool    // as the operator sets it
	gateways        map[int]*gateway
	hostLists       map[int][]policy.HostEntry
	reply           simprotocol.Reply
}

func (a *adapter) answer(line []byte, out io.Writer) error {
	batch, err := simprotocol.ParseBatch(line)
	if err != nil {
		return err
	}
	a.reply.Begin()
	for _, group := range batch.Groups {
		a.reply.For(group.Gateway)
		if err := a.handleGroup(batch.At, group); err != nil {
			return err
		}
	}
	_, err = out.Write(a.reply.Line())
	return err
}

// handleGroup passes on what happened to one gateway. A panic there is reported and leaves the others alone.
func (a *adapter) handleGroup(now float64, group simprotocol.Group) error {
	defer func() {
		if r := recover(); r != nil {
			a.reply.Put("FAULT", fmt.Sprint("panic: ", r))
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
