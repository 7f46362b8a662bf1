package proposal

import (
	"context"
	"errors"
	"sync"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/multigroup"
	"otterseam/tier/rpc"
)

// Timeout bounds the wait for a commit. It is below the 950 ms that package api grants a call, so that the caller still hears that
// nothing is known.
const Timeout = 850 * time.Millisecond

// Caller calls the primary, wherever it is.
type Caller interface {
	Call(ctx context.Context, kind rpc.Kind, payload []byte) ([]byte, error)
}

// Proposer has commands carried out. Its methods may be called from any goroutine.
type Proposer struct {
	node    *multigroup.Node
	primary Caller
}

// New makes a proposer for a process.
func New(node *multigroup.Node, primary Caller) *Proposer {
	return &Proposer{node: node, primary: primary}
}

// Propose has a command carried out by this process. The error codes.NotPrimary says that it was not proposed.
func (p *Proposer) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	return p.ProposeEncoded(ctx, command.Encode())
}

// ProposeEncoded is Propose for a command that came encoded.
func (p *Proposer) ProposeEncoded(ctx context.Context, encoded []byte) (state.Result, error) {
	call, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	got, err := p.node.Submit(call, state.Group, encoded)
	if err != nil {
		return state.Result{}, err
	}
	return got.(state.Result), nil
}

// ProposeAll has commands carried out side by side and waits for them. What is not committed is planned anew by the callers, which
// look again at intervals.
func (p *Proposer) ProposeAll(ctx context.Context, commands []state.Command) {
	var wait sync.WaitGroup
	for _, command := range commands {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_, _ = p.Propose(ctx, command)
		}()
	}
	wait.Wait()
}

// Submit has a command carried out by the primary, wherever it is.
func (p *Proposer) Submit(ctx context.Context, command state.Command) (state.Result, error) {
	encoded := command.Encode()
	result, err := p.ProposeEncoded(ctx, encoded)
	if !errors.Is(err, codes.NotPrimary) {
		return state.Settled(result, err)
	}
	return p.call(ctx, controlclient.KindSubmit, encoded)
}

// OnPrimary does something here if this process leads, and else has the primary do it.
func (p *Proposer) OnPrimary(ctx context.Context, kind rpc.Kind, payload []byte, here func() (state.Result, error)) (state.Result, error) {
	if p.node.IsPrimary(state.Group) {
		if result, err := here(); !errors.Is(err, codes.NotPrimary) {
			return state.Settled(result, err)
		}
	}
	return p.call(ctx, kind, payload)
}

// call has the primary of another process answer.
func (p *Proposer) call(ctx context.Context, kind rpc.Kind, payload []byte) (state.Result, error) {
	body, err := p.primary.Call(ctx, kind, payload)
	code := codes.OK
	if err != nil && (!errors.As(err, &code) || code == codes.Timeout) {
		return state.Result{}, codes.Timeout
	}
	return state.Settled(state.Result{Code: code, Body: body}, nil)
}
