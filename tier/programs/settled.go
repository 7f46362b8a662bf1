package programs

import (
	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

const (
	// maxSettledTurns is how many settled turns of a program are remembered by their request. Later ones are known by their tickets.
	maxSettledTurns = 24
	// maxWatermarks is how many gateways have a watermark in a program: those through which it settled turns last.
	maxWatermarks = 256

	// Encoded sizes, the former with an empty request.
	minSettledTurnBytes = minBlobBytes + 8 + 8 + 4
	minWatermarkBytes   = 8 + 8 + 8
)

// settledTurn is a turn that has ended, or was rejected for good.
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

// settle remembers a turn that has ended or was rejected.
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

// raiseWatermark notes that a settled turn is forgotten. From now on its ticket alone tells that it was settled.
func (p *program) raiseWatermark(ticket Ticket, now int64) {
	if ticket.Gateway == 0 || ticket.Number <= p.watermarks[ticket.Gateway].number {
		return
	}
	p.watermarks[ticket.Gateway] = watermark{ticket.Number, now}
	if len(p.watermarks) > maxWatermarks {
		delete(p.watermarks, p.oldestWatermark())
	}
}

// oldestWatermark is the gateway whose watermark rose longest ago; of several, the one with the lowest identity, so that all
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

// encodeSettled writes what is remembered of settled turns.
func (p *program) encodeSettled(e *codec.Encoder) {
	e.Uint32(uint32(len(p.settled)))
	for _, each := range p.settled {
		e.String(each.request)
		each.ticket.encode(e)
		e.Uint32(uint32(each.answer))
	}
	e.Uint32(uint32(len(p.watermarks)))
	for _, gateway := range sortedKeys(p.watermarks) {
		e.Uint64(gateway)
		e.Uint64(p.watermarks[gateway].number)
		e.Int64(p.watermarks[gateway].raisedAt)
	}
}

// decodeSettled reads it.
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
