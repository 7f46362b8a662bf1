package scenariogen

import (
	"errors"
	"regexp"
	"slices"
	"strings"
)

// Kind is one kind of disruption, as the bench's list describes it.
type Kind struct {
	Name      string
	Text      string   // what the list says of it
	Variants  []string // one of which may be chosen
	Additions []string // variants that only stand after another
}

// ErrNoKinds is returned for a list in which no kind could be found.
var ErrNoKinds = errors.New("the list of kinds holds no line NAME: TEXT")

var (
	kindLine     = regexp.MustCompile(`^([a-z][a-z0-9_]*): (.+)$`)
	variantWord  = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	namedVariant = regexp.MustCompile(`\bhow ([a-z][a-z0-9_]*):`)
	addedVariant = regexp.MustCompile(`\+ ([a-z][a-z0-9_]*)`)
)

// listHead is what a list of variants begins with.
const listHead = "how:"

// ParseKinds reads a list of kinds. The paragraph before the first empty line explains fields and is skipped.
func ParseKinds(list string) ([]Kind, error) {
	_, body, found := strings.Cut(list, "\n\n")
	if !found {
		body = list
	}
	var kinds []Kind
	for line := range strings.Lines(body) {
		m := kindLine.FindStringSubmatch(strings.TrimSpace(line))
		if m == nil || strings.HasPrefix(m[2], "where;") {
			continue
		}
		kinds = append(kinds, parseKind(m[1], m[2]))
	}
	if len(kinds) == 0 {
		return nil, ErrNoKinds
	}
	return kinds, nil
}

func parseKind(name, text string) Kind {
	k := Kind{Name: name, Text: text}
	for _, m := range addedVariant.FindAllStringSubmatch(text, -1) {
		k.Additions = appendMissing(k.Additions, m[1])
	}
	for rest := text; ; {
		i := strings.Index(rest, listHead)
		if i < 0 {
			break
		}
		rest = rest[i+len(listHead):]
		for _, word := range listedVariants(rest) {
			k.Variants = appendMissing(k.Variants, word)
		}
	}
	for _, m := range namedVariant.FindAllStringSubmatch(text, -1) {
		k.Variants = appendMissing(k.Variants, m[1])
	}
	k.Variants = slices.DeleteFunc(k.Variants, func(variant string) bool { return slices.Contains(k.Additions, variant) })
	return k
}

// listedVariants returns the words of a list of variants that begins the text. The list ends with a closing parenthesis that
// was not opened in it. What stands in parentheses explains, and so does a part that begins with "they".
func listedVariants(text string) (words []string) {
	for _, part := range strings.FieldsFunc(withoutParentheses(text), func(r rune) bool { return r == ',' || r == ';' }) {
		fields := strings.Fields(part)
		if len(fields) == 0 || fields[0] == "they" || fields[0] == "+" {
			continue
		}
		if !allVariants(fields) {
			break // ordinary text goes on from here
		}
		words = append(words, fields...)
	}
	return words
}

func allVariants(fields []string) bool {
	for _, field := range fields {
		if !variantWord.MatchString(field) || field == "how" {
			return false
		}
	}
	return true
}

// withoutParentheses leaves out what stands in them, and all from a closing one on that has no opening one.
func withoutParentheses(text string) string {
	var kept strings.Builder
	depth := 0
	for _, r := range text {
		switch {
		case r == '(':
			depth++
		case r == ')' && depth == 0:
			return kept.String()
		case r == ')':
			depth--
		case depth == 0:
			kept.WriteRune(r)
		}
	}
	return kept.String()
}

func appendMissing(list []string, word string) []string {
	if slices.Contains(list, word) {
		return list
	}
	return append(list, word)
}
