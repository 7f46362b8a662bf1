package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/opconfig"
	"otterseam/tier/programs"
	"otterseam/tier/timeline"
)

// turn is a request on a streaming route and what the stores know of it.
type turn struct {
	*request
	program  string
	session  string
	limited  bool
	budget   uint64
	most     uint64 // tokens that it may generate
	previous string
	prompt   []byte // what the host gets: the chain and the new input
	hint     string // the host of the turn before
	stride   uint64 // tokens in each event
	ticket   programs.Ticket
}

// accounted tells whether the stores have to be asked.
func (t *turn) accounted() bool { return t.program != "" && (t.limited || t.route.Retained) }

const (
	beginPatience = 1800 * time.Millisecond
	endPatience   = 3 * time.Second
	endLater      = 20 * time.Second
)

var (
	errBudgetHeader = errors.New("header Budget is no whole number")
	errTokenHeader  = errors.New("header X-Token-Count is not two whole numbers separated by a comma")
)

// readTurn takes the headers of a turn.
func readTurn(r *request, service *opconfig.Service) (*turn, error) {
	t := &turn{
		request:  r,
		program:  r.header.Get("Program"),
		session:  r.header.Get("Session"),
		previous: r.header.Get("Previous"),
		prompt:   r.body,
		stride:   1,
	}
	if service != nil && service.Engine != nil {
		t.stride = uint64(max(service.Engine.Stride, 1))
	}
	if text := r.header.Get("Budget"); text != "" {
		budget, err := strconv.ParseUint(strings.TrimSpace(text), 10, 63)
		if err != nil {
			return nil, errBudgetHeader
		}
		t.limited = true
		t.budget = budget
	}
	t.most = t.budget
	if text := r.header.Get("X-Token-Count"); text != "" {
		prompt, most, found := strings.Cut(text, ",")
		_, promptErr := strconv.ParseUint(strings.TrimSpace(prompt), 10, 63)
		value, err := strconv.ParseUint(strings.TrimSpace(most), 10, 63)
		if !found || promptErr != nil || err != nil {
			return nil, errTokenHeader
		}
		t.most = value
	}
	return t, nil
}

// begin charges the turn's estimate and fetches its chain. The turn may be sent only if the error is nil.
func (p *Proxy) begin(ctx context.Context, t *turn) error {
	call, cancel := context.WithTimeout(ctx, min(beginPatience, t.left()/2))
	defer cancel()
	if !t.route.Retained {
		t.previous = ""
	}
	t.ticket = p.programs.tickets.next()
	result, err := p.programs.call(call, t.program, t.beginCommand().Encode())
	if errors.Is(err, codes.TurnUnknown) && t.previous != "" {
		return p.beginFromOther(call, t)
	}
	if err != nil {
		return err
	}
	t.hint = result.Host
	t.prompt = joined(result.Chain, t.body)
	return nil
}

// beginFromOther begins a turn that goes on from a turn of another program. The chain becomes part of the input that is kept,
// so that the turn stands for itself in its own program's shard.
func (p *Proxy) beginFromOther(ctx context.Context, t *turn) error {
	found, err := p.programs.search(ctx, t.previous)
	if err != nil {
		return err
	}
	t.previous = ""
	t.prompt = joined(found.Chain, t.body)
	t.body = t.prompt
	t.hint = found.Host
	_, err = p.programs.call(ctx, t.program, t.beginCommand().Encode())
	return err
}

func (t *turn) beginCommand() programs.Begin {
	return programs.Begin{
		Request: t.id, Program: t.program, Session: t.session, Limited: t.limited, Budget: t.budget, Estimate: t.most,
		Previous: t.previous, Ticket: t.ticket,
	}
}

// joined is the chain followed by the new input.
func joined(chain [][]byte, input []byte) []byte {
	if len(chain) == 0 {
		return input
	}
	var prompt []byte
	for _, part := range chain {
		prompt = append(prompt, part...)
	}
	return append(prompt, input...)
}

// end settles a turn with what the client received, and keeps it if it ended whole. The store needs the texts of a turn only to
// keep them: without them a command is a few numbers on its way to every copy.
func (t *turn) end(received uint64, whole bool, output []byte, host string) programs.End {
	end := programs.End{
		Request: t.id, Program: t.program, Session: t.session, Actual: received, Host: host, Ticket: t.ticket,
	}
	if whole && t.route.Retained {
		end.Retain = true
		end.RetentionMS = int64(t.route.RetentionS * 1000)
		end.Previous = t.previous
		end.Input = t.body
		end.Output = output
	}
	return end
}

// settle has the stores take the end of a turn, now or, where nobody waits for it, later.
func (p *Proxy) settle(ctx context.Context, t *turn, end programs.End, patience time.Duration) error {
	call, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	_, err := p.programs.call(call, t.program, end.Encode())
	return err
}

// settleLater settles a turn that the client does not wait for.
func (p *Proxy) settleLater(t *turn, end programs.End) {
	if !t.accounted() {
		return
	}
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		if err := p.settle(context.Background(), t, end, endLater); err != nil {
			p.log.WithField("code", uint16(codes.StoreUnreachable)).WithField("program", t.program).
				Warn("a turn could not be settled; its estimate stays charged")
		}
	}()
}

// serveTurn serves a request on a streaming route.
func (p *Proxy) serveTurn(ctx context.Context, w http.ResponseWriter, r *request, service *opconfig.Service) {
	t, err := readTurn(r, service)
	if err != nil {
		p.failText(w, http.StatusBadRequest, codes.RequestMalformed, err.Error())
		return
	}
	if t.accounted() {
		if err := p.begin(ctx, t); err != nil {
			p.refuseTurn(w, t, err)
			return
		}
		p.timeline.Reach(timeline.FirstBeginCommitted)
	}
	p.relay(ctx, w, t)
}

// refuseTurn answers a turn that was not begun.
func (p *Proxy) refuseTurn(w http.ResponseWriter, t *turn, err error) {
	switch {
	case errors.Is(err, codes.BudgetSpent):
		p.fail(w, http.StatusPaymentRequired, codes.BudgetSpent)
	case errors.Is(err, codes.TurnUnknown):
		// a copy of the begin may still be under way: once the turn is settled, it is charged nothing
		p.settleLater(t, t.end(0, false, nil, ""))
		p.fail(w, http.StatusNotFound, codes.TurnUnknown)
	default:
		// whether the estimate was charged is not known
		p.settleLater(t, t.end(0, false, nil, ""))
		p.refuse(w, codes.StoreUnreachable, t.left(), p.programs.away(t.program))
	}
}
