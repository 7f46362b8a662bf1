package overload

const (
	// retryRatio is the number of retries that each first attempt adds to the budget.
	retryRatio = 0.2
	// maxSavedRetries is the capacity of one gateway's budget. It is smaller in a large fleet, where the capacities of all
	// gateways together are limited to maxSavedRetriesFleet (but each is at least 1), because an outage may start while all
	// budgets are full.
	maxSavedRetries      = 10.0
	maxSavedRetriesFleet = 300.0
)

// retryBudget is one gateway's share of the fleet's retries. Gateways do not share unused budget: one that needs many retries
// has only a fifth of its own first attempts and what it saved. This bounds the fleet's retries without messages.
type retryBudget struct {
	available float64
	capacity  float64
}

func newRetryBudget(gateways float64) retryBudget {
	capacity := max(1, min(maxSavedRetries, maxSavedRetriesFleet/gateways))
	return retryBudget{available: capacity, capacity: capacity}
}

func (b *retryBudget) attemptStarted(retry bool) {
	if retry {
		b.available--
		return
	}
	b.available = min(b.capacity, b.available+retryRatio)
}

func (b *retryBudget) allows() bool { return b.available >= 1 }

// AllowsRetry reports whether an invocation may have one more attempt.
func (c *Controller) AllowsRetry() bool { return c == nil || c.retries.allows() }
