package overload

// This file owns the budget of further deliveries, and the figures by which load is seen to be multiplied.

import (
	"fmt"
	"math"
)

const (
	// part is how many further deliveries there may be to one first delivery, over all api gateways.
	part = 0.2
	// saved is how many one may have saved up where few share the work; of many each has less, so that those of all together
	// stay bounded: an outage meets all of them with what they have saved.
	saved, savedByAll = 10.0, 300.0
)

// budget is one api gateway's part of the further deliveries of all. Where most need none, what they don't use is lost, and one
// that needs many has its own fifth and what it saved: the sum is bounded without talk.
type budget struct{ have, most float64 }

func newBudget(n float64) budget {
	most := max(1, min(saved, savedByAll/n))
	return budget{most, most}
}

func (b *budget) sent(further bool) {
	if further {
		b.have--
	} else {
		b.have = min(b.most, b.have+part)
	}
}

// Further says whether an invocation may have one more delivery.
func (f *Controller) AllowsRetry() bool { return f == nil || f.budget.have >= 1 }

// amplified is how much more goes out than clients wish, of late.
type amplified struct {
	at, wishes, first, further, dials float64
}

func (a *amplified) fade(now float64) {
	x := math.Exp(-(now - a.at) / 5)
	a.at, a.wishes, a.first, a.further, a.dials = now, a.wishes*x, a.first*x, a.further*x, a.dials*x
}

func (a *amplified) sent(now float64, further bool) {
	if a.fade(now); further {
		a.further++
	} else {
		a.first++
	}
}

// Wished: a client asked for something for the first time.
func (f *Controller) RequestArrived(now float64) {
	if f != nil {
		f.amplified.fade(now)
		f.amplified.wishes++
	}
}

// Dialled: a connection to a host was begun.
func (f *Controller) DialStarted(now float64) {
	if f != nil {
		f.amplified.fade(now)
		f.amplified.dials++
	}
}

func (a *amplified) text(now float64) string {
	a.fade(now)
	out := a.first + a.further
	return fmt.Sprintf("%.2f deliveries a wish, %.2f dials a delivery", out/max(1, a.wishes), a.dials/max(1, out))
}
