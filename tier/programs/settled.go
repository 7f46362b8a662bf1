package programs

import (
	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

const (
	// maxSettledTurns is the number of settled turns of a program that are stored by request ID. Older ones are recognized by their
	// tickets.
	maxSettledTurns = 24
	// maxWatermarks is the number of gateways that have a watermark in a program. The watermarks that rose last are kept.
	maxWatermarks = 256

	// Minimum encoded sizes: of a settled turn with an empty request, and of a watermark.
	minSettledTurnBytes = minBlobBytes + 8 + 8 + 4
	minWatermarkBytes   = 8 + 8 + 8
)

// settledTurn is a turn that has ended or was permanently rejected.
type settledTurn struct {
	request string
	ticket  Ticket
	code    codes.Code // the result of a repeated Begin
}

// watermark is the highest ticket number among a gateway's settled turns that are no longer stored.
type watermark struct {
	number   uint64
	raisedAt int64 // time of the command that last raised it
}

// settledCode returns the result of a Begin whose turn was settled, or false if the turn is not known to be settled.
func (p *program) settledCode(request string, ticket Ticket) (codes.Code, bool) {
	for _, each := range p.settled {
		if each.request == request {
			return each.code, true
		}
	}
	if ticket.Gateway != 0 && ticket.Number <= p.watermarks[ticket.Gateway].number {
		return codes.TurnSettled, true
	}
	return codes.OK, false
}

// settle stores a turn that has ended or was rejected. It replaces the oldest settled turns beyond maxSettledTurns by watermarks.
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

// raiseWatermark raises the watermark of a gateway to the ticket of a settled turn that is no longer stored. From then on only the
// ticket identifies the turn as settled.
func (p *program) raiseWatermark(ticket Ticket, now int64) {
	if ticket.Gateway == 0 || ticket.Number <= p.watermarks[ticket.Gateway].number {
		return
	}
	p.watermarks[ticket.Gateway] = watermark{ticket.Number, now}
	if len(p.watermarks) > maxWatermarks {
		delete(p.watermarks, p.oldestWatermark())
	}
}

// oldestWatermark returns the gateway whose watermark rose longest ago. Among equals it returns the gateway with the lowest identity,
// so that all replicas drop the same one.
func (p *program) oldestWatermark() uint64 {
	oldest := uint64(0)
	for gateway, each := range p.watermarks {
		selected := p.watermarks[oldest]
		if oldest == 0 || each.raisedAt < selected.raisedAt || (each.raisedAt == selected.raisedAt && gateway < oldest) {
			oldest = gateway
		}
	}
	return oldest
}

// encodeSettled encodes the settled turns and the watermarks.
func (p *program) encodeSettled(e *codec.Encoder) {
	e.Uint32(uint32(len(p.settled)))
	for _, each := range p.settled {
		e.String(each.request)
		each.ticket.encode(e)
		e.Uint32(uint32(each.code))
	}
	e.Uint32(uint32(len(p.watermarks)))
	for _, gateway := range sortedKeys(p.watermarks) {
		e.Uint64(gateway)
		e.Uint64(p.watermarks[gateway].number)
		e.Int64(p.watermarks[gateway].raisedAt)
	}
}

// decodeSettled decodes the settled turns and the watermarks.
func (p *program) decodeSettled(d *codec.Decoder) {
	for range d.Count(minSettledTurnBytes) {
		turn := settledTurn{request: d.String()}
		turn.ticket = decodeTicket(d)
		turn.code = codes.Code(d.Uint32())
		p.settled = append(p.settled, turn)
	}
	for range d.Count(minWatermarkBytes) {
		gateway := d.Uint64()
		p.watermarks[gateway] = watermark{number: d.Uint64(), raisedAt: d.Int64()}
	}
}
