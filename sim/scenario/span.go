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

// Span is a number, or the range from Lo to Hi from which it is drawn. The struct tag of the field gives its unit; durations are in seconds
// and rates per second. Lo and Hi are equal in a single number.
type Span struct{ Lo, Hi float64 }

// Float returns the number. In a range, which Draw has not replaced yet, it is the lower end.
func (s Span) Float() float64 { return s.Lo }

// Int returns Float rounded to a whole number.
func (s Span) Int() int { return int(math.Round(s.Lo)) }

// isRange reports whether the span is a range rather than a single number.
func (s Span) isRange() bool { return s.Lo != s.Hi }

var spanType = reflect.TypeFor[Span]()

// Values of the struct tag unit.
const (
	unitTime   = "s"
	unitRate   = "/s"
	unitShare  = "share"
	unitCount  = "n"
	unitNumber = "x"
)

// unitNames describes a number of each unit in error messages.
var unitNames = map[string]string{
	unitTime:   `a time with its unit, such as "250ms"`,
	unitRate:   `a rate with its unit, such as "40/s"`,
	unitShare:  "a share, such as 0.25",
	unitCount:  "a whole number",
	unitNumber: "a number",
}

// parseSpan parses a number, or a range of the form [lo, hi], in the unit and within the bounds of the field's tag.
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

// spanEnds returns the two ends of a range. For a single number both ends are that number.
func spanEnds(value any) ([]any, error) {
	if text, ok := value.(string); ok && strings.HasPrefix(text, "[") { // from the command line
		low, high, found := strings.Cut(strings.Trim(text, "[]"), "..")
		if !found || strings.Contains(high, "..") {
			return nil, errors.New("a range on the command line must have the form [lo..hi]")
		}
		return []any{strings.TrimSpace(low), strings.TrimSpace(high)}, nil
	}
	list, ok := value.([]any)
	if !ok {
		return []any{value, value}, nil
	}
	if len(list) != 2 {
		return nil, errors.New("a range must have the form [lo, hi]")
	}
	return list, nil
}

// parseBounded parses a number and checks it against the bounds of its field.
func parseBounded(tag reflect.StructTag, value any) (float64, error) {
	unit := tag.Get("unit")
	figure, err := parseFigure(unit, value)
	if err != nil {
		return figure, err
	}
	lowest, _ := parseFigure(unit, tag.Get("min")) // the tags of Scenario are valid
	highest, _ := parseFigure(unit, tag.Get("max"))
	if figure < lowest || figure > highest {
		return figure, fmt.Errorf("%s is out of range: from %s to %s", formatFigure(unit, figure), tag.Get("min"), tag.Get("max"))
	}
	return figure, nil
}

// parseFigure parses a number of a unit, from a file or as text from the command line.
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

// checkFigure reports whether a number without a unit is valid. Durations and rates need a unit, and counts must be whole.
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

// formatFigure formats a number as in a scenario file, without quotes.
func formatFigure(unit string, x float64) string {
	switch unit {
	case unitTime:
		return time.Duration(math.Round(x * float64(time.Second))).String()
	case unitRate:
		return strconv.FormatFloat(x, 'g', -1, 64) + "/s"
	}
	return strconv.FormatFloat(x, 'f', -1, 64)
}
