package overload

const (
	// retryRatio is how many retries each first attempt allows, over all gateways.
	retryRatio = 0.2
	// maxSavedRetries is how many retries one gateway may have saved up. In a large fleet each may save less, so that all
	// together stay within maxSavedRetriesFleet: an outage meets all of them with what they have saved.
	maxSavedRetries      = 10.0
	maxSavedRetriesFleet = 300.0
)

// retryBudget is one gateway's part of the fleet's retries. Where most gateways need none, what they leave is lost, and one
// that needs many has its own fifth and what it saved: the sum is bounded without messages.
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

// AllowsRetry says whether an invocation may have one more attempt.
func (c *Controller) AllowsRetry() bool { return c == nil || c.retries.allows() }
