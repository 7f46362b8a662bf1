package scenario

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"otterseam/sim/randstream"
)

// hostSpeedSuffix is the suffix of the paths of host speeds. They stay ranges because each host draws its own speed.
const hostSpeedSuffix = "].speed"

// Clone returns a deep copy of the scenario.
func (s *Scenario) Clone() *Scenario {
	clone := *s
	clone.Hosts = slices.Clone(s.Hosts)
	clone.Operations = slices.Clone(s.Operations)
	clone.Plans = slices.Clone(s.Plans)
	clone.Faults = slices.Clone(s.Faults)
	clone.ProcessFaults = slices.Clone(s.ProcessFaults)
	clone.Expectations = slices.Clone(s.Expectations)
	return &clone
}

// Draw returns a copy in which each range is replaced by one value, drawn uniformly from a random stream that depends on the seed and
// on the path of the key. Counts are rounded to whole numbers. Host speeds stay ranges.
func (s *Scenario) Draw(seed uint64) *Scenario {
	drawn := s.Clone()
	drawn.eachSpan(func(path string, tag reflect.StructTag, span *Span) {
		if !span.isRange() || strings.HasSuffix(path, hostSpeedSuffix) {
			return
		}
		figure := randstream.New(seed, "day "+path).Uniform(span.Lo, span.Hi)
		if tag.Get("unit") == unitCount {
			figure = math.Round(figure)
		}
		span.Lo = figure
		span.Hi = figure
	})
	return drawn
}

// RangePaths returns the paths of all ranges that Draw would replace by a value.
func (s *Scenario) RangePaths() []string {
	var paths []string
	s.eachSpan(func(path string, _ reflect.StructTag, span *Span) {
		if span.isRange() && !strings.HasSuffix(path, hostSpeedSuffix) {
			paths = append(paths, path)
		}
	})
	return paths
}

// SpanAt returns a pointer to the span at a path, or nil if there is none. The caller may modify the span.
func (s *Scenario) SpanAt(path string) *Span {
	var found *Span
	s.eachSpan(func(p string, _ reflect.StructTag, span *Span) {
		if p == path {
			found = span
		}
	})
	return found
}

// eachSpan calls visit for each span with its path and struct tag.
func (s *Scenario) eachSpan(visit func(path string, tag reflect.StructTag, span *Span)) {
	visitSpans("", reflect.ValueOf(s).Elem(), visit)
}

func visitSpans(path string, table reflect.Value, visit func(path string, tag reflect.StructTag, span *Span)) {
	for i := range table.NumField() {
		field := table.Type().Field(i)
		value := table.Field(i)
		key := joinKey(path, field.Tag.Get("day"))
		switch {
		case value.Type() == spanType:
			visit(key, field.Tag, value.Addr().Interface().(*Span))
		case value.Kind() == reflect.Struct:
			visitSpans(key, value, visit)
		case value.Kind() == reflect.Slice:
			for j := range value.Len() {
				visitSpans(indexedKey(key, j), value.Index(j), visit)
			}
		}
	}
}

// Set changes one key, such as counter.capacity, plan[0].rate or trouble[1].kind, to a value written as in a scenario file.
func (s *Scenario) Set(path, value string) error {
	field, to, err := s.fieldAt(path)
	if err != nil {
		return err
	}
	if isTable(to.Type()) || to.Kind() == reflect.Int {
		return fmt.Errorf("%s is a table or the format version, which can't be set", path)
	}
	if err := setField(field, to, value); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	r := &reader{file: s.Name}
	r.check(s)
	if len(r.problems) > 0 {
		return r.problems
	}
	return nil
}

// fieldAt returns the field at a path and its value.
func (s *Scenario) fieldAt(path string) (field reflect.StructField, value reflect.Value, err error) {
	value = reflect.ValueOf(s).Elem()
	for _, part := range strings.Split(path, ".") {
		key, index, isIndexed := strings.Cut(strings.TrimSuffix(part, "]"), "[")
		found := -1
		if value.Kind() == reflect.Struct {
			found = slices.Index(keysOf(value.Type()), key)
		}
		if found < 0 {
			return field, value, fmt.Errorf("%s: there is no key %s", path, key)
		}
		field = value.Type().Field(found)
		value = value.Field(found)
		if value.Kind() != reflect.Slice {
			continue
		}
		number, err := strconv.Atoi(index)
		if !isIndexed || err != nil || number < 0 || number >= value.Len() {
			return field, value, fmt.Errorf("%s: %s needs an index from 0 to %d, as in %s[0]", path, key, value.Len()-1, key)
		}
		value = value.Index(number)
	}
	return field, value, nil
}
