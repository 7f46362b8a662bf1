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

// Timeout is the maximum time to wait for a commit. It is below the 950 ms that package api allows for a call, so that the API client
// still receives the response that the outcome is unknown.
const Timeout = 850 * time.Millisecond

// Caller calls the primary, whichever process it is.
type Caller interface {
	Call(ctx context.Context, kind rpc.Kind, payload []byte) ([]byte, error)
}

// Proposer executes commands on the primary. Its methods may be called from any goroutine.
type Proposer struct {
	node    *multigroup.Node
	primary Caller
}

// New returns a proposer that uses the replica of node and, where that is not the primary's, calls primary.
func New(node *multigroup.Node, primary Caller) *Proposer {
	return &Proposer{node: node, primary: primary}
}

// Propose executes a command on this process. The error codes.NotPrimary means that it was not proposed.
func (p *Proposer) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	return p.ProposeEncoded(ctx, command.Encode())
}

// ProposeEncoded is Propose for an encoded command.
func (p *Proposer) ProposeEncoded(ctx context.Context, encoded []byte) (state.Result, error) {
	callCtx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	result, err := p.node.Submit(callCtx, state.Group, encoded)
	if err != nil {
		return state.Result{}, err
	}
	return result.(state.Result), nil
}

// ProposeAll executes commands concurrently and waits for them. It returns no errors: its callers run periodically and plan again what
// was not committed.
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

// Submit executes a command on the primary, whichever process it is.
func (p *Proposer) Submit(ctx context.Context, command state.Command) (state.Result, error) {
	encoded := command.Encode()
	result, err := p.ProposeEncoded(ctx, encoded)
	if !errors.Is(err, codes.NotPrimary) {
		return state.Settled(result, err)
	}
	return p.call(ctx, controlclient.KindSubmit, encoded)
}

// OnPrimary calls local if this process is the primary. Otherwise it sends the primary a call of the given kind.
func (p *Proposer) OnPrimary(ctx context.Context, kind rpc.Kind, payload []byte, local func() (state.Result, error)) (state.Result, error) {
	if p.node.IsPrimary(state.Group) {
		if result, err := local(); !errors.Is(err, codes.NotPrimary) {
			return state.Settled(result, err)
		}
	}
	return p.call(ctx, kind, payload)
}

// call calls the primary in another process. Without a definite response, the error is codes.Timeout.
func (p *Proposer) call(ctx context.Context, kind rpc.Kind, payload []byte) (state.Result, error) {
	body, err := p.primary.Call(ctx, kind, payload)
	code := codes.OK
	if err != nil && (!errors.As(err, &code) || code == codes.Timeout) {
		return state.Result{}, codes.Timeout
	}
	return state.Settled(state.Result{Code: code, Body: body}, nil)
}
