package memorybudget

import "time"

// Await reserves bytes. It waits at most for a duration until others have given back enough. The error is ErrSpent or ErrEvicted.
func (c *Claim) Await(bytes int64, patience time.Duration) error {
	giveUpAt := time.Now().Add(patience)
	for {
		now := time.Now()
		wait, err := c.Reserve(bytes, now)
		if wait == nil {
			return err
		}
		released := awaitRelease(wait, giveUpAt.Sub(now))
		c.Waited()
		if !released {
			return ErrSpent
		}
	}
}

// awaitRelease waits at most for a duration until a channel is closed, and reports whether it was.
func awaitRelease(released <-chan struct{}, patience time.Duration) bool {
	if patience <= 0 {
		return false
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-released:
		return true
	case <-timer.C:
		return false
	}
}
