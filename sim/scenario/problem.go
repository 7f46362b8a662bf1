package scenario

import (
	"strconv"
	"strings"
)

// Problem is one error in a scenario file.
type Problem struct {
	File         string
	Line         int // 0 if unknown
	Key, Message string
}

func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		place += ": " + p.Key
	}
	return place + ": " + p.Message
}

// InvalidError holds all errors found in a scenario file. Error returns one line for each.
type InvalidError []Problem

func (e InvalidError) Error() string {
	lines := make([]string, len(e))
	for i, problem := range e {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
