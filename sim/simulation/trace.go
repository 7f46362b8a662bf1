package simulation

import (
	"fmt"
	"strings"
)

// Trace takes a line about an invocation, or, without a ref, of an api gateway's log.
func (s *Simulation) Trace(from int, ref, text string) {
	if ref == "" {
		s.Results.Logs[firstWord(text)]++
	}
	if s.OnTrace != nil && ref != "" {
		s.OnTrace(from, ref, text)
	}
	if s.storyRef != "" && ref == s.storyRef {
		s.storyLines = append(s.storyLines, fmt.Sprintf("%10.4f  api gateway %d: %s", s.Queue.Now(), from, text))
	}
}

// firstWord is how a line of a log begins, without a colon.
func firstWord(text string) string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return ""
	}
	return strings.TrimRight(words[0], ":")
}

// StoryLines is the story that WithStory asked for, in order of time.
func (s *Simulation) StoryLines() []string { return s.storyLines }
