//go:build !seeded

// Package mutation holds bugs that are put into test builds on purpose (build tag seeded), to see that the scripts of
// harness/fleet catch them. In every other build each is a constant false, and its code is not in the program.
package mutation

const (
	ResetNeverRan  = false // a connection broken after the last byte is told as a delivery that never ran
	DrainUnheard   = false // a host that drains goes on being sent work
	StartUnheard   = false // a host that has just started counts as warm
	AnswerLost     = false // one throttling in five is never written
	AnswerTwice    = false // each answer is written twice
	KeepsWithdrawn = false // the connection of a delivery given up is used again
	LeavesOut      = false // a delivery given up is left out beside the next
	EndsLate       = false // the last delivery ends after its client has given up
	Harmless       = false // an errored invocation is answered as throttled
	TermCuts       = false // SIGTERM closes connections with answers owed
	SecondCopy     = false // one request in sixteen is written twice
	SharesName     = false // a second process may listen at the same address
	ResetPanics    = false // a counter connection that is reset ends the process
	KeepLocalClock = false // keepers stamp batches with their own clocks
	KeepEarly      = false // a keeper answers before the others have it
	KeepUnsynced   = false // a keeper acknowledges before it has written
	KeepEmptyVote  = false // a keeper that lost its disk keeps its life
	KeepNoSession  = false // what is told again is not known as such
	KeepForgets    = false // a snapshot leaves out what was told before
	KeepTwice      = false // a debt told again is put back again
	KeepUnfenced   = false // what a dead holder says late still counts
	KeepNoPlaces   = false // places of a dead holder stay
	KeepMarksAgain = false // a second delivery is let through
	KeepTakesAnew  = false // a batch asked for again is made anew
)
