package overload

import (
	"fmt"
	"math"
)

// amplificationWindow is the time constant, in seconds, by which the figures of the log fade.
const amplificationWindow = 5

// amplification counts how much more goes to hosts than clients ask for. Its counts fade exponentially; it decides nothing.
type amplification struct {
	updatedAt     float64
	requests      float64
	firstAttempts float64
	retries       float64
	dials         float64
}

func (a *amplification) fade(now float64) {
	factor := math.Exp(-(now - a.updatedAt) / amplificationWindow)
	a.updatedAt = now
	a.requests *= factor
	a.firstAttempts *= factor
	a.retries *= factor
	a.dials *= factor
}

func (a *amplification) attemptStarted(now float64, retry bool) {
	a.fade(now)
	if retry {
		a.retries++
	} else {
		a.firstAttempts++
	}
}

func (a *amplification) logText(now float64) string {
	a.fade(now)
	attempts := a.firstAttempts + a.retries
	return fmt.Sprintf("%.2f deliveries a wish, %.2f dials a delivery", attempts/max(1, a.requests), a.dials/max(1, attempts))
}

// RequestArrived counts a client's request, once however often it is attempted.
func (c *Controller) RequestArrived(now float64) {
	if c == nil {
		return
	}
	c.amplification.fade(now)
	c.amplification.requests++
}

// DialStarted counts a connection to a host that is being set up.
func (c *Controller) DialStarted(now float64) {
	if c == nil {
		return
	}
	c.amplification.fade(now)
	c.amplification.dials++
}
