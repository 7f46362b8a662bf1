//go:build seeded

package mutation

import "os"

func on(name string) bool { return os.Getenv("EDGE_SEEDED") == name }

// Names are all of them.
var Names = []string{
	"ResetNeverRan", "DrainUnheard", "StartUnheard", "AnswerLost", "AnswerTwice", "KeepsWithdrawn", "LeavesOut",
	"EndsLate", "Harmless", "TermCuts", "SecondCopy", "SharesName", "ResetPanics",
}

// Keepers are those of keepers.
var Keepers = []string{"KeepLocalClock", "KeepEarly", "KeepUnsynced", "KeepEmptyVote", "KeepNoSession", "KeepForgets", "KeepTwice", "KeepUnfenced", "KeepNoPlaces", "KeepMarksAgain", "KeepTakesAnew"}

var (
	ResetNeverRan  = on("ResetNeverRan")
	DrainUnheard   = on("DrainUnheard")
	StartUnheard   = on("StartUnheard")
	AnswerLost     = on("AnswerLost")
	AnswerTwice    = on("AnswerTwice")
	KeepsWithdrawn = on("KeepsWithdrawn")
	LeavesOut      = on("LeavesOut")
	EndsLate       = on("EndsLate")
	Harmless       = on("Harmless")
	TermCuts       = on("TermCuts")
	SecondCopy     = on("SecondCopy")
	SharesName     = on("SharesName")
	ResetPanics    = on("ResetPanics")
	KeepLocalClock = on("KeepLocalClock")
	KeepEarly      = on("KeepEarly")
	KeepUnsynced   = on("KeepUnsynced")
	KeepEmptyVote  = on("KeepEmptyVote")
	KeepNoSession  = on("KeepNoSession")
	KeepForgets    = on("KeepForgets")
	KeepTwice      = on("KeepTwice")
	KeepUnfenced   = on("KeepUnfenced")
	KeepNoPlaces   = on("KeepNoPlaces")
	KeepMarksAgain = on("KeepMarksAgain")
	KeepTakesAnew  = on("KeepTakesAnew")
)
