package programs

// reservationTTL is the time in milliseconds after which the estimate of a turn without an End is charged permanently. It is longer
// than any turn runs and its End is retried.
const reservationTTL = 15 * 60 * 1000

// minReservationBytes is the encoded size of a reservation with an empty request.
const minReservationBytes = minBlobBytes + 8 + 8

// reservation holds the estimated tokens of an open turn.
type reservation struct {
	estimate uint64
	begunAt  int64 // the time that its Begin carried
}

// chargeAbandoned charges the reservations that are older than reservationTTL: the gateway that ran these turns has failed and will
// not send an End. The program's total does not change. Only the request IDs are dropped, so that the state of a long-lived program
// does not grow.
func (p *program) chargeAbandoned(now int64) {
	for request, each := range p.reserved {
		if now-each.begunAt > reservationTTL {
			p.charged += each.estimate
			delete(p.reserved, request)
		}
	}
}
