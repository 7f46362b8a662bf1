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

// Read parses and validates a scenario. The file name is only used in error messages.
func Read(file string, text []byte) (*Scenario, error) { return ReadOver(file, text, nil) }

// BaseOf returns the name of the scenario that a file extends, or "" if it extends none.
func BaseOf(text []byte) string {
	var head struct {
		Base string `toml:"base"`
	}
	_ = toml.Unmarshal(text, &head) // syntax errors are reported by ReadOver
	return head.Base
}

// ReadOver parses and validates a scenario that extends base, which may be nil. Keys that the file omits keep their values from base. An
// array of tables in the file replaces the whole array of base.
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
	r := &reader{file: file, lines: keyLines(text), keepOmitted: base != nil}
	read := &Scenario{}
	if base != nil {
		read = base.Clone()
	}
	r.readTable("", tree, reflect.ValueOf(read).Elem())
	if len(r.problems) == 0 {
		r.check(read)
	}
	if base != nil {
		read.Base = "" // the values of the base have been copied
	}
	if len(r.problems) > 0 {
		slices.SortStableFunc(r.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return nil, r.problems
	}
	return read, nil
}

// reader reads one file and collects all errors in it, so that they are reported together.
type reader struct {
	file        string
	lines       map[string]int // by the path of the key
	problems    InvalidError
	keepOmitted bool // omitted keys keep the values of the base
}

// addProblem records an error in a key.
func (r *reader) addProblem(key, format string, args ...any) {
	line := r.lines[key]
	for table := key; line == 0 && strings.Contains(table, "."); { // a missing key is reported at the line of its table
		table = table[:strings.LastIndex(table, ".")]
		line = r.lines[table]
	}
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// readTable reads a TOML table into a struct.
func (r *reader) readTable(path string, tree map[string]any, to reflect.Value) {
	known := keysOf(to.Type())
	for i, key := range known {
		value, given := tree[key]
		r.readField(joinKey(path, key), value, given, to.Type().Field(i), to.Field(i))
	}
	var unknown []string
	for key := range tree {
		if !slices.Contains(known, key) {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	for _, key := range unknown {
		r.addProblem(joinKey(path, key), "no such key here; there are %s", strings.Join(known, ", "))
	}
}

// keysOf returns the TOML keys of a struct's fields in the order of the fields.
func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get("day"))
	}
	return keys
}

// isTable reports whether a field of the type is written as a TOML table.
func isTable(t reflect.Type) bool { return t.Kind() == reflect.Struct && t != spanType }

func (r *reader) readField(path string, value any, given bool, field reflect.StructField, to reflect.Value) {
	switch {
	case to.Kind() == reflect.Slice:
		r.readTables(path, value, given, to)
		return
	case isTable(to.Type()):
		tree, ok := value.(map[string]any)
		if given && !ok {
			r.addProblem(path, "must be a table: [%s]", path)
			return
		}
		r.readTable(path, tree, to)
		return
	case !given && r.keepOmitted:
		return
	}
	if !given {
		var hasDefault bool
		value, hasDefault = defaultOf(field)
		if !hasDefault {
			r.addProblem(path, "is missing: %s", field.Tag.Get("about"))
			return
		}
	}
	if err := setField(field, to, value); err != nil {
		r.addProblem(path, "%v", err)
	}
}

// defaultOf returns the default value of a field, and whether it has one.
func defaultOf(field reflect.StructField) (value any, ok bool) {
	text, ok := field.Tag.Lookup("def")
	if field.Type.Kind() == reflect.Bool {
		return text == "true", ok
	}
	return text, ok
}

// readTables reads a TOML array of tables into a slice of structs.
func (r *reader) readTables(path string, value any, given bool, to reflect.Value) {
	list, ok := value.([]any)
	if given && !ok {
		r.addProblem(path, "must be an array of tables: [[%s]]", path)
		return
	}
	if given {
		to.SetLen(0)
	}
	keepOmitted := r.keepOmitted
	r.keepOmitted = false // omitted keys of a new table get their defaults, not values of the base
	defer func() { r.keepOmitted = keepOmitted }()
	for i, each := range list {
		tree, ok := each.(map[string]any)
		if !ok {
			r.addProblem(indexedKey(path, i), "must be a table: [[%s]]", path)
			continue
		}
		read := reflect.New(to.Type().Elem()).Elem()
		r.readTable(indexedKey(path, i), tree, read)
		to.Set(reflect.Append(to, read))
	}
}

// setField sets a field to a value from a file, from the command line or from the defaults.
func setField(field reflect.StructField, to reflect.Value, value any) error {
	switch to.Kind() {
	case reflect.Bool:
		return setBool(to, value)
	case reflect.String:
		return setText(field, to, value)
	case reflect.Int:
		if value != int64(1) {
			return errors.New("must be 1, the only supported version")
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
	if text, ok := value.(string); ok { // from the command line
		if parsed, err := strconv.ParseBool(text); err == nil {
			value = parsed
		}
	}
	boolean, ok := value.(bool)
	if !ok {
		return errors.New("must be true or false")
	}
	to.SetBool(boolean)
	return nil
}

func setText(field reflect.StructField, to reflect.Value, value any) error {
	text, ok := value.(string)
	if !ok {
		return errors.New("must be a string")
	}
	words := field.Tag.Get("one")
	if words != "" && !slices.Contains(strings.Split(words, "|"), text) {
		return fmt.Errorf("%q is not one of %s", text, strings.ReplaceAll(words, "|", ", "))
	}
	to.SetString(text)
	return nil
}
