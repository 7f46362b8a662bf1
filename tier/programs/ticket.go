package programs

import (
	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// Ticket numbers the turns that one life of a gateway begins, in rising order. With it a shard knows a call for a turn that was
// settled long ago, however late it comes, without remembering the turn: for each gateway it is enough to remember the highest
// number among the turns that were settled and forgotten. It depends on no clock.
type Ticket struct {
	Gateway uint64 // drawn by the gateway's process when it starts; 0 for a call without a ticket
	Number  uint64
}

func (t Ticket) encode(e *codec.Encoder) {
	e.Uint64(t.Gateway)
	e.Uint64(t.Number)
}

func decodeTicket(d *codec.Decoder) Ticket {
	return Ticket{Gateway: d.Uint64(), Number: d.Uint64()}
}

const (
	// maxSettledTurns is how many settled turns of a program are remembered by their request. Later ones are known by their tickets.
	maxSettledTurns = 24
	// maxWatermarks is how many gateways a program's passed tickets are remembered of: those through which it settled turns last.
	maxWatermarks = 256

	minSettledTurnBytes = 4 + 8 + 8 + 4
	minWatermarkBytes   = 8 + 8 + 8
)

// settledTurn is a turn that has ended, or was refused for good.
type settledTurn struct {
	request string
	ticket  Ticket
	answer  codes.Code // to a begin that comes again
}

// watermark is the highest number of a gateway's turns that were settled and forgotten.
type watermark struct {
	number   uint64
	raisedAt int64 // when it last rose, by the time that commands carry
}

// settledAnswer returns what a begin gets whose turn was settled, or false if the turn is not known to have been.
func (p *program) settledAnswer(request string, ticket Ticket) (codes.Code, bool) {
	for _, each := range p.settled {
		if each.request == request {
			return each.answer, true
		}
	}
	if ticket.Gateway != 0 && ticket.Number <= p.watermarks[ticket.Gateway].number {
		return codes.TurnSettled, true
	}
	return codes.OK, false
}

// settle remembers a turn that has ended or was refused.
func (p *program) settle(turn settledTurn, now int64) {
	p.settled = append(p.settled, turn)
	excess := len(p.settled) - maxSettledTurns
	if excess <= 0 {
		return
	}
	for _, each := range p.settled[:excess] {
		p.raiseWatermark(each.ticket, now)
	}
	p.settled = append([]settledTurn(nil), p.settled[excess:]...)
}

// raiseWatermark notes that a settled turn is forgotten.
func (p *program) raiseWatermark(ticket Ticket, now int64) {
	if ticket.Gateway == 0 || ticket.Number <= p.watermarks[ticket.Gateway].number {
		return
	}
	p.watermarks[ticket.Gateway] = watermark{ticket.Number, now}
	if len(p.watermarks) > maxWatermarks {
		delete(p.watermarks, p.oldestWatermark())
	}
}

// oldestWatermark is the gateway whose passed number rose longest ago; of several, the one with the lowest identity, so that all
// replicas forget the same.
func (p *program) oldestWatermark() uint64 {
	oldest := uint64(0)
	for gateway, each := range p.watermarks {
		held := p.watermarks[oldest]
		if oldest == 0 || each.raisedAt < held.raisedAt || (each.raisedAt == held.raisedAt && gateway < oldest) {
			oldest = gateway
		}
	}
	return oldest
}

func (p *program) encodeSettled(e *codec.Encoder) {
	e.Uint32(uint32(len(p.settled)))
	for _, each := range p.settled {
		e.String(each.request)
		each.ticket.encode(e)
		e.Uint32(uint32(each.answer))
	}
	e.Uint32(uint32(len(p.watermarks)))
	for _, gateway := range sortedIDs(p.watermarks) {
		e.Uint64(gateway)
		e.Uint64(p.watermarks[gateway].number)
		e.Int64(p.watermarks[gateway].raisedAt)
	}
}

func (p *program) decodeSettled(d *codec.Decoder) {
	for range d.Count(minSettledTurnBytes) {
		turn := settledTurn{request: d.String()}
		turn.ticket = decodeTicket(d)
		turn.answer = codes.Code(d.Uint32())
		p.settled = append(p.settled, turn)
	}
	for range d.Count(minWatermarkBytes) {
		gateway := d.Uint64()
		p.watermarks[gateway] = watermark{number: d.Uint64(), raisedAt: d.Int64()}
	}
}
