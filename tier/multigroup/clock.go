package multigroup

import "time"

// clockBase is the value of Now at the start of the process. It is not 0 because 0 means "never".
const clockBase = 1 << 20

var startedAt = time.Now()

// Now returns the time of the process's monotonic clock in milliseconds. The replicas use this clock.
func Now() int64 { return time.Since(startedAt).Milliseconds() + clockBase }
