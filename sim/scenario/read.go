package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Read reads a scenario; file is what problems call it.
func Read(file string, text []byte) (*Scenario, error) { return ReadOver(file, text, nil) }

// BaseOf is the scenario that a file says it is built on; "": none.
func BaseOf(text []byte) string {
	var head struct {
		Base string `toml:"base"`
	}
	_ = toml.Unmarshal(text, &head) // what is wrong with the file is found when it is read
	return head.Base
}

// ReadOver reads a scenario of which what is not given is as in another; a list of tables that is given replaces the other's.
func ReadOver(file string, text []byte, base *Scenario) (*Scenario, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		problem := Problem{File: file, Message: err.Error()}
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			problem.Line, _ = decodeError.Position()
		}
		return nil, InvalidError{problem}
	}
	r := &reader{file: file, lines: keyLines(text), keepsMissing: base != nil}
	read := &Scenario{}
	if base != nil {
		read = base.Clone()
	}
	r.table("", tree, reflect.ValueOf(read).Elem())
	if len(r.problems) == 0 {
		r.check(read)
	}
	if base != nil {
		read.Base = "" // it is in it now
	}
	if len(r.problems) > 0 {
		slices.SortStableFunc(r.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return nil, r.problems
	}
	return read, nil
}

// reader reads one file and finds all that is wrong with it at once.
type reader struct {
	file         string
	lines        map[string]int // by path of a key
	problems     InvalidError
	keepsMissing bool // what is not given stays as it is
}

// problem notes what is wrong with a key.
func (r *reader) problem(key, format string, args ...any) {
	line := r.lines[key]
	for table := key; line == 0 && strings.Contains(table, "."); { // what is missing has the line of its table
		table = table[:strings.LastIndex(table, ".")]
		line = r.lines[table]
	}
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// table reads a table into a struct.
func (r *reader) table(path string, tree map[string]any, to reflect.Value) {
	known := keysOf(to.Type())
	for i, key := range known {
		value, given := tree[key]
		r.field(joinKey(path, key), value, given, to.Type().Field(i), to.Field(i))
	}
	var unknown []string
	for key := range tree {
		if !slices.Contains(known, key) {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	for _, key := range unknown {
		r.problem(joinKey(path, key), "no such key here; there are %s", strings.Join(known, ", "))
	}
}

// keysOf are the keys of a struct's fields, in order.
func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get("day"))
	}
	return keys
}

// isTable says that a field is a table of its own.
func isTable(t reflect.Type) bool { return t.Kind() == reflect.Struct && t != spanType }

func (r *reader) field(path string, value any, given bool, field reflect.StructField, to reflect.Value) {
	switch {
	case to.Kind() == reflect.Slice:
		r.tables(path, value, given, to)
		return
	case isTable(to.Type()):
		tree, ok := value.(map[string]any)
		if given && !ok {
			r.problem(path, "a table is wanted: [%s]", path)
			return
		}
		r.table(path, tree, to)
		return
	case !given && r.keepsMissing:
		return
	}
	if !given {
		var hasDefault bool
		value, hasDefault = defaultOf(field)
		if !hasDefault {
			r.problem(path, "is missing: %s", field.Tag.Get("about"))
			return
		}
	}
	if err := setField(field, to, value); err != nil {
		r.problem(path, "%v", err)
	}
}

// defaultOf is what a field holds if the file does not say.
func defaultOf(field reflect.StructField) (value any, ok bool) {
	text, ok := field.Tag.Lookup("def")
	if field.Type.Kind() == reflect.Bool {
		return text == "true", ok
	}
	return text, ok
}

// tables reads an array of tables into a slice of structs.
func (r *reader) tables(path string, value any, given bool, to reflect.Value) {
	list, ok := value.([]any)
	if given && !ok {
		r.problem(path, "a list of tables is wanted: [[%s]]", path)
		return
	}
	if given {
		to.SetLen(0)
	}
	keepsMissing := r.keepsMissing
	r.keepsMissing = false // what is new has its own defaults
	defer func() { r.keepsMissing = keepsMissing }()
	for i, each := range list {
		tree, ok := each.(map[string]any)
		if !ok {
			r.problem(indexed(path, i), "a table is wanted: [[%s]]", path)
			continue
		}
		read := reflect.New(to.Type().Elem()).Elem()
		r.table(indexed(path, i), tree, read)
		to.Set(reflect.Append(to, read))
	}
}

// setField gives a field the value that stands in a file, on a command line or among the defaults.
func setField(field reflect.StructField, to reflect.Value, value any) error {
	switch to.Kind() {
	case reflect.Bool:
		return setBool(to, value)
	case reflect.String:
		return setText(field, to, value)
	case reflect.Int:
		if value != int64(1) {
			return errors.New("1 is wanted: this program knows no other form")
		}
		to.SetInt(1)
		return nil
	}
	span, err := parseSpan(field.Tag, value)
	if err != nil {
		return err
	}
	to.Set(reflect.ValueOf(span))
	return nil
}

func setBool(to reflect.Value, value any) error {
	if text, ok := value.(string); ok { // from a command line
		if parsed, err := strconv.ParseBool(text); err == nil {
			value = parsed
		}
	}
	truth, ok := value.(bool)
	if !ok {
		return errors.New("true or false is wanted")
	}
	to.SetBool(truth)
	return nil
}

func setText(field reflect.StructField, to reflect.Value, value any) error {
	text, ok := value.(string)
	if !ok {
		return errors.New("a text is wanted")
	}
	words := field.Tag.Get("one")
	if words != "" && !slices.Contains(strings.Split(words, "|"), text) {
		return fmt.Errorf("%q; one of %s is wanted", text, strings.ReplaceAll(words, "|", ", "))
	}
	to.SetString(text)
	return nil
}
