package scenario

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Span is a figure, or the range that it is drawn from: seconds, a second, a share, a number or a factor.
type Span struct{ Lo, Hi float64 }

// Float is the figure of a scenario that has been drawn.
func (s Span) Float() float64 { return s.Lo }

// Int is Float as a whole number.
func (s Span) Int() int { return int(math.Round(s.Lo)) }

// isRange says that the span is yet to be drawn.
func (s Span) isRange() bool { return s.Lo != s.Hi }

var spanType = reflect.TypeFor[Span]()

// The units of figures, as tags name them.
const (
	unitTime   = "s"
	unitRate   = "/s"
	unitShare  = "share"
	unitCount  = "n"
	unitNumber = "x"
)

// unitNames are what messages call a figure of a unit.
var unitNames = map[string]string{
	unitTime:   `a time with its unit, such as "250ms"`,
	unitRate:   `a rate with its unit, such as "40/s"`,
	unitShare:  "a share, such as 0.25",
	unitCount:  "a whole number",
	unitNumber: "a number",
}

// parseSpan reads a figure, or a range in the form [lo, hi], by the tags of its field.
func parseSpan(tag reflect.StructTag, value any) (Span, error) {
	ends, err := spanEnds(value)
	if err != nil {
		return Span{}, err
	}
	var span Span
	if span.Lo, err = parseBounded(tag, ends[0]); err != nil {
		return span, err
	}
	if span.Hi, err = parseBounded(tag, ends[1]); err != nil {
		return span, err
	}
	if span.Lo > span.Hi {
		unit := tag.Get("unit")
		return span, fmt.Errorf("the range goes from %s down to %s", formatFigure(unit, span.Lo), formatFigure(unit, span.Hi))
	}
	return span, nil
}

// spanEnds takes a range apart; both ends of a single figure are the figure.
func spanEnds(value any) ([]any, error) {
	if text, ok := value.(string); ok && strings.HasPrefix(text, "[") { // from a command line
		low, high, found := strings.Cut(strings.Trim(text, "[]"), "..")
		if !found || strings.Contains(high, "..") {
			return nil, errors.New("a range on the command line is [lo..hi]")
		}
		return []any{strings.TrimSpace(low), strings.TrimSpace(high)}, nil
	}
	list, ok := value.([]any)
	if !ok {
		return []any{value, value}, nil
	}
	if len(list) != 2 {
		return nil, errors.New("a range has two ends: [lo, hi]")
	}
	return list, nil
}

// parseBounded reads a figure within the bounds of its field.
func parseBounded(tag reflect.StructTag, value any) (float64, error) {
	unit := tag.Get("unit")
	figure, err := parseFigure(unit, value)
	if err != nil {
		return figure, err
	}
	lowest, _ := parseFigure(unit, tag.Get("min")) // tags are right
	highest, _ := parseFigure(unit, tag.Get("max"))
	if figure < lowest || figure > highest {
		return figure, fmt.Errorf("%s is out of range: from %s to %s", formatFigure(unit, figure), tag.Get("min"), tag.Get("max"))
	}
	return figure, nil
}

// parseFigure reads a figure of a unit, from a file or as text from a command line.
func parseFigure(unit string, value any) (float64, error) {
	var figure float64
	ok := false
	switch v := value.(type) {
	case string:
		figure, ok = parseFigureText(unit, v)
	case int64:
		figure, ok = checkFigure(unit, float64(v))
	case float64:
		figure, ok = checkFigure(unit, v)
	}
	if !ok {
		return 0, fmt.Errorf("%v is not %s", value, unitNames[unit])
	}
	return figure, nil
}

func parseFigureText(unit, text string) (figure float64, ok bool) {
	switch unit {
	case unitTime:
		duration, err := time.ParseDuration(text)
		return duration.Seconds(), err == nil
	case unitRate:
		number, isRate := strings.CutSuffix(text, "/s")
		figure, err := strconv.ParseFloat(number, 64)
		return figure, isRate && err == nil && isFinite(figure)
	}
	figure, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, false
	}
	return checkFigure(unit, figure)
}

// checkFigure says whether a bare number will do: a time and a rate need their units.
func checkFigure(unit string, x float64) (figure float64, ok bool) {
	switch {
	case unit == unitTime || unit == unitRate:
		return 0, false
	case unit == unitCount && x != math.Round(x):
		return 0, false
	}
	return x, isFinite(x)
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// formatFigure writes a figure as a file would hold it, without quotes.
func formatFigure(unit string, x float64) string {
	switch unit {
	case unitTime:
		return time.Duration(math.Round(x * float64(time.Second))).String()
	case unitRate:
		return strconv.FormatFloat(x, 'g', -1, 64) + "/s"
	}
	return strconv.FormatFloat(x, 'f', -1, 64)
}
