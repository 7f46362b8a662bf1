//go:build seeded

package seeded

import "os"

func on(name string) bool { return os.Getenv("EDGE_SEEDED") == name }

// Names are all of them.
var Names = []string{"ResetNeverRan", "DrainUnheard", "StartUnheard", "AnswerLost", "AnswerTwice", "KeepsWithdrawn", "LeavesOut",
	"EndsLate", "Harmless", "TermCuts", "SecondCopy", "SharesName", "ResetPanics"}

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
)
