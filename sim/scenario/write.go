package scenario

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Text writes a scenario as a file.
func (s *Scenario) Text() string {
	var text strings.Builder
	writeTable(&text, "", reflect.ValueOf(*s))
	return text.String()
}

// writeTable writes the values of a table, then the tables in it.
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

// writeValue writes a text, a figure or a truth value; tables are left out.
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

// quoteFigure writes a figure as TOML: times and rates are texts there.
func quoteFigure(unit string, x float64) string {
	text := formatFigure(unit, x)
	if unit == unitTime || unit == unitRate {
		return strconv.Quote(text)
	}
	return text
}

// Form writes a table of all keys in Markdown, for the pages and for help.
func Form() string {
	var rows strings.Builder
	writeForm(&rows, "", reflect.TypeFor[Scenario]())
	return rows.String()
}

func writeForm(rows *strings.Builder, path string, table reflect.Type) {
	for i := range table.NumField() {
		field := table.Field(i)
		key := joinKey(path, field.Tag.Get("day"))
		switch {
		case field.Type.Kind() == reflect.Slice:
			writeForm(rows, key+"[]", field.Type.Elem())
		case isTable(field.Type):
			writeForm(rows, key, field.Type)
		default:
			fmt.Fprintf(rows, "| `%s` | %s | %s | %s |\n", key, field.Tag.Get("about"), formBounds(field.Tag), formDefault(field.Tag))
		}
	}
}

func formBounds(tag reflect.StructTag) string {
	if tag.Get("min") != "" {
		return tag.Get("min") + " to " + tag.Get("max")
	}
	return strings.ReplaceAll(tag.Get("one"), "|", ", ")
}

func formDefault(tag reflect.StructTag) string {
	text, ok := tag.Lookup("def")
	if !ok {
		return "must be given"
	}
	return text
}
