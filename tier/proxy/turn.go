package proxy

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/httpguard"
	"otterseam/tier/opconfig"
	"otterseam/tier/programs"
	"otterseam/tier/timeline"
)

// beginTimeout is the maximum time for which a turn waits until the stores have charged it.
const beginTimeout = 1800 * time.Millisecond

// turn is a request on a streaming route, with the data that the stores charge, keep and return for it.
type turn struct {
	*request
	program string // empty for a request that belongs to no program
	session string

	hasBudget bool
	budget    uint64 // tokens that the program may spend
	maxTokens uint64 // tokens that the turn may generate
	isBounded bool   // maxTokens is known

	previous       string          // request ID of the turn that it continues
	prompt         []byte          // the input for the host: the chain of earlier turns and the new input
	preferredHost  string          // host of the previous turn, which has the prefix in its cache
	expectedOutput uint64          // size of the output for which the stores reserve room, in bytes
	tokensPerEvent uint64          // number of tokens in an event of the service's engine
	ticket         programs.Ticket // identifies the turn's commands, so that the stores recognize repeats
	chainExpiresAt time.Time       // until then the stores certainly retain the chain of earlier turns
}

var (
	errBudgetHeader     = errors.New("header Budget is no whole number")
	errTokenCountHeader = errors.New("header X-Token-Count is not two whole numbers separated by a comma")
)

// isAccounted reports whether the stores charge or keep the turn.
func (t *turn) isAccounted() bool { return t.program != "" && (t.hasBudget || t.route.Retained) }

// parseTurn parses the headers of a turn.
func parseTurn(r *request, service *opconfig.Service) (*turn, error) {
	t := &turn{
		request:        r,
		program:        r.header.Get(headerProgram),
		session:        r.header.Get(headerSession),
		previous:       r.header.Get(headerPrevious),
		prompt:         r.body,
		tokensPerEvent: 1,
	}
	if service != nil && service.Engine != nil {
		t.tokensPerEvent = uint64(max(service.Engine.Stride, 1))
	}
	if text := r.header.Get(headerBudget); text != "" {
		budget, err := parseTokens(text)
		if err != nil {
			return nil, errBudgetHeader
		}
		t.hasBudget = true
		t.budget = budget
		t.isBounded = true
	}
	t.maxTokens = t.budget // without a token count, only the whole budget is certain to cover the turn
	if text := r.header.Get(headerTokenCount); text != "" {
		promptTokens, maxTokens, found := strings.Cut(text, ",")
		_, promptErr := parseTokens(promptTokens)
		value, err := parseTokens(maxTokens)
		if !found || promptErr != nil || err != nil {
			return nil, errTokenCountHeader
		}
		t.maxTokens = value
		t.isBounded = true
	}
	return t, nil
}

// maxEvents returns how many events with data the response may have. It returns false if that is unknown.
func (t *turn) maxEvents() (uint64, bool) {
	return (t.maxTokens + t.tokensPerEvent - 1) / t.tokensPerEvent, t.isBounded
}

// parseTokens parses a number of tokens.
func parseTokens(text string) (uint64, error) {
	return strconv.ParseUint(strings.TrimSpace(text), 10, 63)
}

// serveTurn serves a request on a streaming route: it charges the turn, streams the response and settles the turn.
func (p *Proxy) serveTurn(ctx context.Context, w http.ResponseWriter, r *request, service *opconfig.Service) {
	t, err := parseTurn(r, service)
	if err != nil {
		p.failText(w, http.StatusBadRequest, codes.RequestMalformed, err.Error())
		return
	}
	if t.memory.begin(p.responses) != nil {
		p.rejectFailed(w, r, codes.Overloaded)
		return
	}
	defer t.memory.end()
	t.expectedOutput = p.outputs.expectedBytes(t.maxTokens)
	if t.isAccounted() {
		if err := p.begin(ctx, t); err != nil {
			p.rejectTurn(w, t, err)
			return
		}
		p.timeline.Reach(timeline.FirstBeginCommitted)
	}
	p.relay(ctx, w, t)
}

// begin charges the turn's estimate at the stores and fetches the chain of earlier turns. The turn may be sent to a host only if the
// error is nil.
func (p *Proxy) begin(ctx context.Context, t *turn) error {
	ctx, cancel := context.WithTimeout(ctx, min(beginTimeout, t.remaining()/2))
	defer cancel()
	if !t.route.Retained {
		t.previous = ""
	}
	t.ticket = p.programs.tickets.next()
	begunAt := time.Now()
	result, err := p.programs.call(ctx, t.program, t.beginCommand().Encode())
	if errors.Is(err, codes.TurnUnknown) && t.previous != "" {
		return p.beginFromOtherProgram(ctx, t)
	}
	if err != nil {
		return err
	}
	t.preferredHost = result.Host
	if t.prompt, err = reservePrompt(ctx, result, t.body); err != nil {
		return err
	}
	t.chainExpiresAt = begunAt.Add(result.ChainGuarantee())
	return nil
}

// beginFromOtherProgram begins a turn that continues a turn of another program. The chain becomes part of the retained input, so that
// the shard of the turn's own program contains the complete turn.
func (p *Proxy) beginFromOtherProgram(ctx context.Context, t *turn) error {
	found, err := p.programs.findTurn(ctx, t.previous)
	if err != nil {
		return err
	}
	t.previous = ""
	if t.prompt, err = reservePrompt(ctx, found, t.body); err != nil {
		return err
	}
	t.body = t.prompt
	t.preferredHost = found.Host
	_, err = p.programs.call(ctx, t.program, t.beginCommand().Encode())
	return err
}

// beginCommand returns the command that charges the turn.
func (t *turn) beginCommand() programs.Begin {
	return programs.Begin{
		Request: t.id, Program: t.program, Session: t.session, Limited: t.hasBudget, Budget: t.budget, Estimate: t.maxTokens,
		Previous: t.previous, Ticket: t.ticket, RetainedBytes: t.retainedBytes(),
		TimeoutMS: uint64(max(t.remaining().Milliseconds(), 0)),
	}
}

// retainedBytes returns how much the turn is expected to add to the retained turns, without the chain that it continues, or 0 if it is
// not retained.
func (t *turn) retainedBytes() uint64 {
	if !t.route.Retained {
		return 0
	}
	return uint64(len(t.body)) + t.expectedOutput + 1
}

// promptCopies is how many copies of a chain are in memory at the same time: the answer of the store, the prompt and the request to the
// host.
const promptCopies = 3

// reservePrompt reserves memory for a prompt until the request ends, and builds it. It doesn't wait for memory, since the chain is in memory
// already. The error is codes.Overloaded.
func reservePrompt(ctx context.Context, chain programs.Result, input []byte) ([]byte, error) {
	if size := chain.ChainBytes(); size > 0 && httpguard.TryReserve(ctx, int64(size)*promptCopies) != nil {
		return nil, codes.Overloaded
	}
	return buildPrompt(chain.Chain, input), nil
}

// buildPrompt returns the texts of a chain followed by the new input.
func buildPrompt(chain [][]byte, input []byte) []byte {
	if len(chain) == 0 {
		return input
	}
	return bytes.Join(append(slices.Clip(chain), input), nil)
}

// storeFullDelay is the time after which a store is expected to have room again. Turns are retained for several seconds at least.
const storeFullDelay = time.Second

// rejectTurn writes the error response to a turn that could not begin, and settles the turn if its estimate may have been charged.
func (p *Proxy) rejectTurn(w http.ResponseWriter, t *turn, err error) {
	switch {
	case errors.Is(err, codes.BudgetSpent):
		p.fail(w, http.StatusPaymentRequired, codes.BudgetSpent)
	case errors.Is(err, codes.StoreFull):
		p.reject(w, codes.StoreFull, t.remaining(), storeFullDelay)
	case errors.Is(err, codes.Overloaded):
		p.settleInBackground(t, t.abortCommand(0, ""))
		p.reject(w, codes.Overloaded, t.remaining(), overloadDelay)
	case errors.Is(err, codes.TurnUnknown):
		// a duplicate of the begin command may still be in flight; it charges nothing once the turn is settled
		p.settleInBackground(t, t.abortCommand(0, ""))
		p.fail(w, http.StatusNotFound, codes.TurnUnknown)
	default:
		// it is unknown whether the estimate was charged
		p.settleInBackground(t, t.abortCommand(0, ""))
		p.reject(w, codes.StoreUnreachable, t.remaining(), p.programs.expectedOutage(t.program))
	}
}
