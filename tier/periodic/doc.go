// Package periodic calls a function at intervals until a context is cancelled.
//
// The calls run sequentially on the caller's goroutine. They therefore need no lock against each other, and none is running any more
// when Run, RunOrWake or While returns. Cancelling the context does not interrupt a call, so a function that runs for long must check
// the context itself.
package periodic
