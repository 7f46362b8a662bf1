package scenariogen

import (
	"errors"
	"regexp"
	"slices"
	"strings"
)

// Kind is one kind of disruption from the bench's list.
type Kind struct {
	Name      string
	Text      string   // description in the list
	Variants  []string // variants, of which a disruption may use one
	Additions []string // words that may only follow a variant
}

// ErrNoKinds is returned for a list without kinds.
var ErrNoKinds = errors.New("the list of kinds has no line of the form NAME: TEXT")

var (
	kindLine     = regexp.MustCompile(`^([a-z][a-z0-9_]*): (.+)$`)
	variantWord  = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	namedVariant = regexp.MustCompile(`\bhow ([a-z][a-z0-9_]*):`)
	addedVariant = regexp.MustCompile(`\+ ([a-z][a-z0-9_]*)`)
)

// listHead introduces a list of variants.
const listHead = "how:"

// ParseKinds parses a list of kinds. It skips the paragraph before the first empty line, which describes the fields.
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

// listedVariants returns the variants of the list at the beginning of the text. The list ends at an unmatched closing parenthesis.
// Text in parentheses, and a part that begins with "they", is an explanation and is skipped.
func listedVariants(text string) (words []string) {
	for _, part := range strings.FieldsFunc(withoutParentheses(text), func(r rune) bool { return r == ',' || r == ';' }) {
		fields := strings.Fields(part)
		if len(fields) == 0 || fields[0] == "they" || fields[0] == "+" {
			continue
		}
		if !allVariants(fields) {
			break // the list ends here, followed by ordinary text
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

// withoutParentheses removes text in parentheses, and everything from an unmatched closing parenthesis on.
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
