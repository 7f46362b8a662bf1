package multigroup

import "time"

// clockBase keeps the monotonic clock away from 0, which stands for "never".
const clockBase = 1 << 20

var startedAt = time.Now()

// Now is the monotonic clock of the process in milliseconds, as the replicas count it.
func Now() int64 { return time.Since(startedAt).Milliseconds() + clockBase }
