package scenario

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Text returns the scenario as the text of a TOML file.
func (s *Scenario) Text() string {
	var text strings.Builder
	writeTable(&text, "", reflect.ValueOf(*s))
	return text.String()
}

// writeTable writes the keys of a table, then its nested tables.
func writeTable(text *strings.Builder, path string, table reflect.Value) {
	for i := range table.NumField() {
		writeValue(text, table.Type().Field(i).Tag, table.Field(i))
	}
	for i := range table.NumField() {
		key := joinKey(path, table.Type().Field(i).Tag.Get("day"))
		value := table.Field(i)
		if isTable(value.Type()) {
			fmt.Fprintf(text, "\n[%s]\n", key)
			writeTable(text, key, value)
		}
		if value.Kind() != reflect.Slice {
			continue
		}
		for j := range value.Len() {
			fmt.Fprintf(text, "\n[[%s]]\n", key)
			writeTable(text, key, value.Index(j))
		}
	}
}

// writeValue writes the key and the value of a string, a number or a boolean. It skips tables.
func writeValue(text *strings.Builder, tag reflect.StructTag, value reflect.Value) {
	key := tag.Get("day")
	switch v := value.Interface().(type) {
	case string:
		fmt.Fprintf(text, "%s = %q\n", key, v)
	case bool, int:
		fmt.Fprintf(text, "%s = %v\n", key, v)
	case Span:
		unit := tag.Get("unit")
		if v.isRange() {
			fmt.Fprintf(text, "%s = [%s, %s]\n", key, quoteFigure(unit, v.Lo), quoteFigure(unit, v.Hi))
		} else {
			fmt.Fprintf(text, "%s = %s\n", key, quoteFigure(unit, v.Lo))
		}
	}
}

// quoteFigure formats a number as TOML. Durations and rates are strings in TOML.
func quoteFigure(unit string, x float64) string {
	text := formatFigure(unit, x)
	if unit == unitTime || unit == unitRate {
		return strconv.Quote(text)
	}
	return text
}

// KeyTable returns the rows of a Markdown table of all keys, for the documentation and the help text.
func KeyTable() string {
	var rows strings.Builder
	writeKeyRows(&rows, "", reflect.TypeFor[Scenario]())
	return rows.String()
}

func writeKeyRows(rows *strings.Builder, path string, table reflect.Type) {
	for i := range table.NumField() {
		field := table.Field(i)
		key := joinKey(path, field.Tag.Get("day"))
		switch {
		case field.Type.Kind() == reflect.Slice:
			writeKeyRows(rows, key+"[]", field.Type.Elem())
		case isTable(field.Type):
			writeKeyRows(rows, key, field.Type)
		default:
			fmt.Fprintf(rows, "| `%s` | %s | %s | %s |\n", key, field.Tag.Get("about"), keyBounds(field.Tag), keyDefault(field.Tag))
		}
	}
}

func keyBounds(tag reflect.StructTag) string {
	if tag.Get("min") != "" {
		return tag.Get("min") + " to " + tag.Get("max")
	}
	return strings.ReplaceAll(tag.Get("one"), "|", ", ")
}

func keyDefault(tag reflect.StructTag) string {
	text, ok := tag.Lookup("def")
	if !ok {
		return "must be given"
	}
	return text
}
