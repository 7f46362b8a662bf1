package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

const (
	// minPorts is the minimum number of ports in internal_ports.
	minPorts = 4
	maxPort  = 1<<16 - 1
)

// fields parses typed values from a file and records the first error.
type fields struct {
	file *properties.Properties
	err  *FieldError
}

// firstError returns the error of the first invalid field, or nil.
func (f *fields) firstError() error {
	if f.err == nil {
		return nil
	}
	return f.err
}

func (f *fields) fail(key, problem string) {
	if f.err == nil {
		f.err = &FieldError{key, problem}
	}
}

// optional returns a text, or an empty one if the key is missing.
func (f *fields) optional(key string) string { return f.file.GetString(key, "") }

// required returns a text. It records an error if the key is missing or the text is blank.
func (f *fields) required(key string) string {
	value := strings.TrimSpace(f.optional(key))
	if value == "" {
		f.fail(key, "is missing")
	}
	return value
}

// withPrefix returns the texts of all keys with a prefix, by the part of the key after the prefix.
func (f *fields) withPrefix(prefix string) map[string]string {
	values := map[string]string{}
	for _, key := range f.file.Keys() {
		if rest, found := strings.CutPrefix(key, prefix); found {
			values[rest] = f.optional(key)
		}
	}
	return values
}

func (f *fields) boolean(key string, fallback bool) bool {
	value, found := f.file.Get(key)
	if !found {
		return fallback
	}
	parsed, err := strconv.ParseBool(strings.TrimSpace(value))
	if err != nil {
		f.fail(key, "is neither true nor false: "+value)
	}
	return parsed
}

func (f *fields) float(key string, fallback float64) float64 {
	value, found := f.file.Get(key)
	if !found {
		return fallback
	}
	parsed, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || parsed < 0 {
		f.fail(key, "is not a number of 0 or more: "+value)
		return fallback
	}
	return parsed
}

// integer returns a number without its fractional part, or 0 if the key is missing.
func (f *fields) integer(key string) int { return int(f.float(key, 0)) }

func (f *fields) milliseconds(key string, fallback time.Duration) time.Duration {
	return time.Duration(f.float(key, float64(fallback)/float64(time.Millisecond)) * float64(time.Millisecond))
}

func (f *fields) seconds(key string, fallback time.Duration) time.Duration {
	return time.Duration(f.float(key, fallback.Seconds()) * float64(time.Second))
}

// portRange returns the first and the last port, both included.
func (f *fields) portRange(key string) (first, last int) {
	first, last, ok := parsePortRange(f.required(key))
	if !ok {
		f.fail(key, "must contain the first and the last of "+strconv.Itoa(minPorts)+" ports or more")
	}
	return first, last
}

// parsePortRange returns zeros and false if the text is not a range of at least minPorts ports.
func parsePortRange(text string) (first, last int, ok bool) {
	parts := splitList(text)
	if len(parts) != 2 {
		return 0, 0, false
	}
	first, errFirst := strconv.Atoi(parts[0])
	last, errLast := strconv.Atoi(parts[1])
	if errFirst != nil || errLast != nil || first <= 0 || last > maxPort || last-first+1 < minPorts {
		return 0, 0, false
	}
	return first, last, true
}
