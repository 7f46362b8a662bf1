package scenario

// This file reads a day from TOML and finds all that is wrong with it at once, each with its line.

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"otterseam/sim/randstream"
)

// Span is a figure, or the range it is drawn from: seconds, a second, a share, a number or a factor.
type Span struct{ Lo, Hi float64 }

// Float is the figure of a day that has been drawn.
func (s Span) Float() float64 { return s.Lo }

// Int is V as a whole number.
func (s Span) Int() int { return int(math.Round(s.Lo)) }

// Problem is one thing wrong with a file.
type Problem struct {
	File         string
	Line         int
	Key, Message string
}

func (f Problem) String() string {
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		at += ": " + f.Key
	}
	return at + ": " + f.Message
}

// InvalidError is all that is wrong with a file.
type InvalidError []Problem

func (fs InvalidError) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads a day from a file. What is wrong with it comes back as Faults.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text)
}

// Read reads a day; file is what faults call it.
func Read(file string, text []byte) (*Scenario, error) { return ReadOver(file, text, nil) }

// BaseOf is the day that a file says it is built on; "": none.
func BaseOf(text []byte) string {
	var head struct {
		Base string `toml:"base"`
	}
	toml.Unmarshal(text, &head) // what is wrong with the file is found when it is read
	return head.Base
}

// ReadOver reads a day of which what is not given is as in another; a list of tables that is given replaces the other's.
func ReadOver(file string, text []byte, base *Scenario) (*Scenario, error) {
	r := &reader{file: file, lines: lines(text), over: base != nil}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		f := Problem{File: file, Message: err.Error()}
		var at *toml.DecodeError
		if errors.As(err, &at) {
			f.Line, _ = at.Position()
		}
		return nil, InvalidError{f}
	}
	d := &Scenario{}
	if base != nil {
		d = base.Clone()
	}
	r.table("", tree, reflect.ValueOf(d).Elem())
	if len(r.faults) == 0 {
		r.whole(d)
	}
	if base != nil {
		d.Base = "" // it is in it now
	}
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Problem) int { return a.Line - b.Line })
		return nil, r.faults
	}
	return d, nil
}

type reader struct {
	file   string
	lines  map[string]int
	faults InvalidError
	over   bool // what is not given stays as it is
}

// lines finds the line of each key; of an array of tables each table has its number.
func lines(text []byte) map[string]int {
	at, seen := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		key, line := "", 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if line == 0 {
				line = 1 + bytes.Count(text[:n.Raw.Offset], []byte("\n"))
			}
			key = join(key, string(n.Data))
		}
		switch e.Kind {
		case unstable.Table:
			table, at[key] = key, line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", key, seen[key])
			seen[key]++
			at[table] = line
			if at[key] == 0 {
				at[key] = line
			}
		case unstable.KeyValue:
			at[join(table, key)] = line
		}
	}
	return at
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func (r *reader) fault(key, what string, args ...any) {
	line := r.lines[key]
	for up := key; line == 0 && strings.Contains(up, "."); { // what is missing has the line of its table
		up = up[:strings.LastIndex(up, ".")]
		line = r.lines[up]
	}
	r.faults = append(r.faults, Problem{r.file, line, key, fmt.Sprintf(what, args...)})
}

func (r *reader) table(path string, tree map[string]any, to reflect.Value) {
	known := map[string]bool{}
	for i := range to.NumField() {
		f := to.Type().Field(i)
		key := f.Tag.Get("day")
		known[key] = true
		v, given := tree[key]
		r.field(join(path, key), v, given, f, to.Field(i))
	}
	var unknown []string
	for key := range tree {
		if !known[key] {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	for _, key := range unknown {
		r.fault(join(path, key), "no such key here; there are %s", strings.Join(keys(to.Type()), ", "))
	}
}

func keys(t reflect.Type) (all []string) {
	for i := range t.NumField() {
		all = append(all, t.Field(i).Tag.Get("day"))
	}
	return all
}

func (r *reader) field(path string, v any, given bool, f reflect.StructField, to reflect.Value) {
	def, hasDef := f.Tag.Lookup("def")
	switch to.Kind() {
	case reflect.Slice:
		r.tables(path, v, given, to)
		return
	case reflect.Struct:
		if to.Type() != reflect.TypeFor[Span]() {
			sub, ok := v.(map[string]any)
			if given && !ok {
				r.fault(path, "a table is wanted: [%s]", path)
				return
			}
			r.table(path, sub, to)
			return
		}
	}
	if !given && r.over {
		return
	}
	if !given && !hasDef {
		r.fault(path, "is missing: %s", f.Tag.Get("about"))
		return
	}
	if !given {
		v = def
		if to.Kind() == reflect.Bool {
			v = def == "true"
		}
	}
	if err := set(f, to, v); err != nil {
		r.fault(path, "%v", err)
	}
}

func (r *reader) tables(path string, v any, given bool, to reflect.Value) {
	all, ok := v.([]any)
	if given && !ok {
		r.fault(path, "a list of tables is wanted: [[%s]]", path)
		return
	}
	if given {
		to.SetLen(0)
	}
	over := r.over
	r.over = false // what is new has its own defaults
	defer func() { r.over = over }()
	for i, x := range all {
		at := fmt.Sprintf("%s[%d]", path, i)
		sub, ok := x.(map[string]any)
		if !ok {
			r.fault(at, "a table is wanted: [[%s]]", path)
			continue
		}
		one := reflect.New(to.Type().Elem()).Elem()
		r.table(at, sub, one)
		to.Set(reflect.Append(to, one))
	}
}

// set gives a field the value that stands in a file, on a command line or among the defaults.
func set(f reflect.StructField, to reflect.Value, v any) error {
	switch to.Kind() {
	case reflect.Bool:
		if s, ok := v.(string); ok {
			b, err := strconv.ParseBool(s)
			if err != nil {
				return errors.New("true or false is wanted")
			}
			v = b
		}
		b, ok := v.(bool)
		if !ok {
			return errors.New("true or false is wanted")
		}
		to.SetBool(b)
	case reflect.String:
		s, ok := v.(string)
		if !ok {
			return errors.New("a text is wanted")
		}
		if one := f.Tag.Get("one"); one != "" && !slices.Contains(strings.Split(one, "|"), s) {
			return fmt.Errorf("%q; one of %s is wanted", s, strings.ReplaceAll(one, "|", ", "))
		}
		to.SetString(s)
	case reflect.Int:
		n, ok := v.(int64)
		if !ok || n != 1 {
			return errors.New("1 is wanted: this program knows no other form")
		}
		to.SetInt(n)
	default:
		s, err := span(f.Tag, v)
		if err != nil {
			return err
		}
		to.Set(reflect.ValueOf(s))
	}
	return nil
}

// span reads a figure, or a range in the form [lo, hi].
func span(tag reflect.StructTag, v any) (s Span, err error) {
	if t, ok := v.(string); ok && strings.HasPrefix(t, "[") { // from a command line
		parts := strings.Split(strings.Trim(t, "[]"), "..")
		if len(parts) != 2 {
			return s, errors.New("a range on the command line is [lo..hi]")
		}
		v = []any{strings.TrimSpace(parts[0]), strings.TrimSpace(parts[1])}
	}
	ends := []any{v, v}
	if list, ok := v.([]any); ok {
		if len(list) != 2 {
			return s, errors.New("a range has two ends: [lo, hi]")
		}
		ends = list
	}
	unit := tag.Get("unit")
	for i, to := range []*float64{&s.Lo, &s.Hi} {
		if *to, err = number(unit, ends[i]); err != nil {
			return s, err
		}
		lo, _ := number(unit, tag.Get("min"))
		hi, _ := number(unit, tag.Get("max"))
		if *to < lo || *to > hi {
			return s, fmt.Errorf("%s is out of range: from %s to %s", text(unit, *to), tag.Get("min"), tag.Get("max"))
		}
	}
	if s.Lo > s.Hi {
		return s, fmt.Errorf("the range goes from %s down to %s", text(unit, s.Lo), text(unit, s.Hi))
	}
	return s, nil
}

var units = map[string]string{
	"s": `a time with its unit, such as "250ms"`, "/s": `a rate with its unit, such as "40/s"`,
	"share": "a share, such as 0.25", "n": "a whole number", "x": "a number",
}

func number(unit string, v any) (float64, error) {
	wrong := fmt.Errorf("%v is not %s", v, units[unit])
	var x float64
	switch v := v.(type) {
	case int64:
		x = float64(v)
	case float64:
		x = v
	case string:
		switch unit {
		case "s":
			d, err := time.ParseDuration(v)
			if err != nil {
				return 0, wrong
			}
			return d.Seconds(), nil
		case "/s":
			t, ok := strings.CutSuffix(v, "/s")
			y, err := strconv.ParseFloat(t, 64)
			if !ok || err != nil {
				return 0, wrong
			}
			return y, nil
		}
		y, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return 0, wrong
		}
		x = y
	default:
		return 0, wrong
	}
	if unit == "s" || unit == "/s" || unit == "n" && x != math.Round(x) || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, wrong
	}
	return x, nil
}

// text writes a figure as a file would hold it, without quotes.
func text(unit string, x float64) string {
	switch unit {
	case "s":
		return time.Duration(math.Round(x * 1e9)).String()
	case "/s":
		return strconv.FormatFloat(x, 'g', -1, 64) + "/s"
	}
	return strconv.FormatFloat(x, 'f', -1, 64)
}

// whole checks what one field alone does not show.
func (r *reader) whole(d *Scenario) {
	if len(d.Hosts) == 0 || len(d.Operations) == 0 || len(d.Plans) == 0 {
		r.fault("host", "a day has at least one [[host]], one [[operation]] and one [[plan]]")
	}
	names := func(list string, n int, name func(i int) string) {
		for i := range n {
			if strings.ContainsAny(name(i), " \t\n\"/") || name(i) == "" {
				r.fault(fmt.Sprintf("%s[%d].name", list, i), "%q: a name has no blanks, quotes or slashes and is not empty", name(i))
			}
			for j := range i {
				if name(i) == name(j) {
					r.fault(fmt.Sprintf("%s[%d].name", list, i), "%q is there already", name(i))
				}
			}
		}
	}
	names("host", len(d.Hosts), func(i int) string { return d.Hosts[i].Name })
	names("operation", len(d.Operations), func(i int) string { return d.Operations[i].Name })
	names("plan", len(d.Plans), func(i int) string { return d.Plans[i].Name })
	for i, o := range d.Operations {
		if o.Objective.Lo > o.Timeout.Hi {
			r.fault(fmt.Sprintf("operation[%d].objective", i), "is after the integration timeout of %s", text("s", o.Timeout.Hi))
		}
		if o.Effect == "tokened" && o.TokenTime.Lo == 0 {
			r.fault(fmt.Sprintf("operation[%d].token_time", i), "a tokened operation needs one")
		}
	}
	for i, p := range d.Plans {
		at := fmt.Sprintf("plan[%d]", i)
		if p.Rate.Hi > 0 && p.Burst.Lo < d.Clients.Units.Hi {
			r.fault(at+".burst", "holds less than one invocation may have: %s units", text("n", d.Clients.Units.Hi))
		}
		if p.Rate.Lo == 0 && p.UseRate.Lo == 0 {
			r.fault(at+".use", "is needed where there is no rate")
		}
		if p.CeilingRate.Hi > 0 && p.CeilingBurst.Lo < d.Clients.Units.Hi {
			r.fault(at+".ceiling_burst", "holds less than one invocation may have")
		}
	}
	for i, t := range d.Faults {
		at := fmt.Sprintf("trouble[%d]", i)
		k, ok := FaultKindOf(t.Kind)
		if !ok {
			var all []string
			for _, k := range FaultKinds {
				all = append(all, k.Name)
			}
			r.fault(at+".kind", "%q is not known; there are %s", t.Kind, strings.Join(all, ", "))
			continue
		}
		if k.Lasts && t.Lasts.Lo == 0 {
			r.fault(at+".lasts", "%s needs a time", t.Kind)
		}
		if t.At.Lo > d.Length.Hi {
			r.fault(at+".at", "is after the day's end at %s", text("s", d.Length.Hi))
		}
		switch {
		case k.Needs == "operation" && !slices.ContainsFunc(d.Operations, func(o Operation) bool { return o.Name == t.Operation }):
			r.fault(at+".operation", "%q is no operation of this day", t.Operation)
		case k.Needs == "peers" && !d.Peers.Allowed:
			r.fault(at+".kind", "%s needs peers.allowed", t.Kind)
		case k.Needs == "counter" && !d.Counter.Present:
			r.fault(at+".kind", "%s needs a counter", t.Kind)
		}
		if strings.HasPrefix(k.Size, "part") && t.Size.Hi > 1 {
			r.fault(at+".size", "is a part here: at most 1")
		}
		if k.PositiveSize && t.Size.Lo == 0 {
			r.fault(at+".size", "is a factor here: over 0")
		}
		if t.Kind == "cut" && d.Fleet.Zones.Lo < 2 {
			r.fault(at+".kind", "cut needs two zones or more")
		}
	}
	r.strikes(d)
}

// each visits all spans of a day with their paths and tags.
func each(path string, v reflect.Value, do func(path string, tag reflect.StructTag, s *Span)) {
	for i := range v.NumField() {
		f, x := v.Type().Field(i), v.Field(i)
		at := join(path, f.Tag.Get("day"))
		switch {
		case x.Type() == reflect.TypeFor[Span]():
			do(at, f.Tag, x.Addr().Interface().(*Span))
		case x.Kind() == reflect.Struct:
			each(at, x, do)
		case x.Kind() == reflect.Slice:
			for j := range x.Len() {
				each(fmt.Sprintf("%s[%d]", at, j), x.Index(j), do)
			}
		}
	}
}

// Clone copies a day whole.
func (d *Scenario) Clone() *Scenario {
	c := *d
	c.Hosts, c.Operations = slices.Clone(d.Hosts), slices.Clone(d.Operations)
	c.Plans, c.Faults = slices.Clone(d.Plans), slices.Clone(d.Faults)
	c.ProcessFaults, c.Expectations = slices.Clone(d.ProcessFaults), slices.Clone(d.Expectations)
	return &c
}

// Draw picks one figure from each range, by the day's seed; times and rates evenly, numbers as whole ones. The speed of
// hosts stays a range: each host draws its own.
func (d *Scenario) Draw(seed uint64) *Scenario {
	c := d.Clone()
	each("", reflect.ValueOf(c).Elem(), func(path string, tag reflect.StructTag, s *Span) {
		if s.Lo == s.Hi || strings.HasSuffix(path, "].speed") {
			return
		}
		x := randstream.New(seed, "day "+path).Uniform(s.Lo, s.Hi)
		if tag.Get("unit") == "n" {
			x = math.Round(x)
		}
		s.Lo, s.Hi = x, x
	})
	return c
}

// Spans gives the paths of all ranges that are yet to be drawn.
func (d *Scenario) Spans() (paths []string) {
	each("", reflect.ValueOf(d.Clone()).Elem(), func(path string, tag reflect.StructTag, s *Span) {
		if s.Lo != s.Hi && !strings.HasSuffix(path, "].speed") {
			paths = append(paths, path)
		}
	})
	return paths
}

// SpanAt gives the span at a path, to be read or changed; nil where there is none.
func (d *Scenario) SpanAt(path string) (found *Span) {
	each("", reflect.ValueOf(d).Elem(), func(p string, _ reflect.StructTag, s *Span) {
		if p == path {
			found = s
		}
	})
	return found
}

// Set changes one key, such as counter.capacity, plan[0].rate or trouble[1].kind, to what a file would hold there.
func (d *Scenario) Set(path, value string) error {
	v, field, ok := reflect.ValueOf(d).Elem(), reflect.StructField{}, false
	for _, part := range strings.Split(path, ".") {
		key, index, listed := strings.Cut(strings.TrimSuffix(part, "]"), "[")
		ok = false
		for i := 0; v.Kind() == reflect.Struct && i < v.NumField(); i++ {
			if v.Type().Field(i).Tag.Get("day") == key {
				field, v, ok = v.Type().Field(i), v.Field(i), true
				break
			}
		}
		if ok && v.Kind() == reflect.Slice {
			n, err := strconv.Atoi(index)
			if !listed || err != nil || n < 0 || n >= v.Len() {
				return fmt.Errorf("%s: %s wants a number from 0 to %d, as in %s[0]", path, key, v.Len()-1, key)
			}
			v = v.Index(n)
		}
		if !ok {
			return fmt.Errorf("%s: there is no key %s", path, key)
		}
	}
	if v.Kind() == reflect.Struct && v.Type() != reflect.TypeFor[Span]() || v.Kind() == reflect.Int {
		return fmt.Errorf("%s is not a figure or a text", path)
	}
	if err := set(field, v, value); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	r := &reader{file: d.Name}
	if r.whole(d); len(r.faults) > 0 {
		return r.faults
	}
	return nil
}

// Text writes a day as a file.
func (d *Scenario) Text() string {
	var b strings.Builder
	writeTable(&b, "", reflect.ValueOf(*d))
	return b.String()
}

func writeTable(b *strings.Builder, path string, v reflect.Value) {
	quote := func(unit, s string) string {
		if unit == "s" || unit == "/s" {
			return strconv.Quote(s)
		}
		return s
	}
	for i := range v.NumField() {
		f, x := v.Type().Field(i), v.Field(i)
		key, unit := f.Tag.Get("day"), f.Tag.Get("unit")
		switch x.Kind() {
		case reflect.String:
			fmt.Fprintf(b, "%s = %q\n", key, x.String())
		case reflect.Bool, reflect.Int:
			fmt.Fprintf(b, "%s = %v\n", key, x.Interface())
		case reflect.Struct:
			if s, ok := x.Interface().(Span); ok && s.Lo == s.Hi {
				fmt.Fprintf(b, "%s = %s\n", key, quote(unit, text(unit, s.Lo)))
			} else if ok {
				fmt.Fprintf(b, "%s = [%s, %s]\n", key, quote(unit, text(unit, s.Lo)), quote(unit, text(unit, s.Hi)))
			}
		}
	}
	for i := range v.NumField() {
		f, x := v.Type().Field(i), v.Field(i)
		at := join(path, f.Tag.Get("day"))
		if x.Kind() == reflect.Struct && x.Type() != reflect.TypeFor[Span]() {
			fmt.Fprintf(b, "\n[%s]\n", at)
			writeTable(b, at, x)
		}
		for j := 0; x.Kind() == reflect.Slice && j < x.Len(); j++ {
			fmt.Fprintf(b, "\n[[%s]]\n", at)
			writeTable(b, at, x.Index(j))
		}
	}
}

// Form writes a table of all keys, for the pages and for help.
func Form() string {
	var b strings.Builder
	form(&b, "", reflect.TypeFor[Scenario]())
	return b.String()
}

func form(b *strings.Builder, path string, t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		at := join(path, f.Tag.Get("day"))
		if f.Type.Kind() == reflect.Slice {
			form(b, at+"[]", f.Type.Elem())
			continue
		}
		if f.Type.Kind() == reflect.Struct && f.Type != reflect.TypeFor[Span]() {
			form(b, at, f.Type)
			continue
		}
		range_ := ""
		if f.Tag.Get("min") != "" {
			range_ = f.Tag.Get("min") + " to " + f.Tag.Get("max")
		} else {
			range_ = strings.ReplaceAll(f.Tag.Get("one"), "|", ", ")
		}
		def, has := f.Tag.Lookup("def")
		if !has {
			def = "must be given"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", at, f.Tag.Get("about"), range_, def)
	}
}
