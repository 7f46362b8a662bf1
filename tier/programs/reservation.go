package programs

// reservationTTL is how long a turn that was begun may stay without an end before its estimate is charged for good, in
// milliseconds: longer than any turn runs and its end is repeated.
const reservationTTL = 15 * 60 * 1000

// minReservationBytes is the encoded size of a reservation with an empty request.
const minReservationBytes = minBlobBytes + 8 + 8

// reservation is the estimate of a turn that has not ended.
type reservation struct {
	estimate uint64
	begunAt  int64 // when it was begun, by the time that commands carry
}

// chargeAbandoned charges the estimates of turns whose end has not come for so long that it never will: the gateway that ran them
// is gone. The program's total stays what it was; only their ids are forgotten, so that a program that lives for long doesn't grow.
func (p *program) chargeAbandoned(now int64) {
	for request, each := range p.reserved {
		if now-each.begunAt > reservationTTL {
			p.charged += each.estimate
			delete(p.reserved, request)
		}
	}
}
