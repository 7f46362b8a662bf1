package overload

import (
	"fmt"
	"math"
)

// amplificationDecayTime is the time constant, in seconds, of the exponential decay of the logged counts.
const amplificationDecayTime = 5

// amplification measures how many attempts and dials are made for each client request. Its counts decay exponentially. They
// are only logged and influence no decision.
type amplification struct {
	updatedAt     float64
	requests      float64
	firstAttempts float64
	retries       float64
	dials         float64
}

func (a *amplification) decay(now float64) {
	factor := math.Exp(-(now - a.updatedAt) / amplificationDecayTime)
	a.updatedAt = now
	a.requests *= factor
	a.firstAttempts *= factor
	a.retries *= factor
	a.dials *= factor
}

func (a *amplification) attemptStarted(now float64, retry bool) {
	a.decay(now)
	if retry {
		a.retries++
	} else {
		a.firstAttempts++
	}
}

func (a *amplification) logText(now float64) string {
	a.decay(now)
	attempts := a.firstAttempts + a.retries
	return fmt.Sprintf("%.2f attempts per request, %.2f dials per attempt", attempts/max(1, a.requests), a.dials/max(1, attempts))
}

// RequestArrived counts a client's request. It is called once per request, however many attempts are made.
func (c *Controller) RequestArrived(now float64) {
	if c == nil {
		return
	}
	c.amplification.decay(now)
	c.amplification.requests++
}

// DialStarted counts a dial to a host.
func (c *Controller) DialStarted(now float64) {
	if c == nil {
		return
	}
	c.amplification.decay(now)
	c.amplification.dials++
}
