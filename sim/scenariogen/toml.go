package scenariogen

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// TOML returns the day as the text of a TOML file for the bench.
func (d *Day) TOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nseed = %d\nlength_s = %s\n", d.Name, d.Seed, number(d.Length))
	if final := d.FinalFault; final != nil {
		fmt.Fprintf(&b, "closing = { kind = %q, down_s = %s", final.Kind, number(final.Downtime))
		if final.Variant != "" {
			fmt.Fprintf(&b, ", how = %q", final.Variant)
		}
		b.WriteString(" }\n")
	}
	d.writeList(&b, "plan", true)
	d.writeList(&b, "faults", false)
	return b.String()
}

func (d *Day) writeList(b *strings.Builder, key string, planned bool) {
	fmt.Fprintf(b, "%s = [\n", key)
	for _, disruption := range d.Disruptions {
		if disruption.Planned == planned {
			fmt.Fprintf(b, "  { %s },\n", disruption)
		}
	}
	b.WriteString("]\n")
}

// String returns the fields of the disruption as in the TOML file of the day.
func (d Disruption) String() string {
	fields := []string{"at = " + number(d.At), fmt.Sprintf("kind = %q", d.Kind)}
	text := func(key, value string) {
		if value != "" {
			fields = append(fields, fmt.Sprintf("%s = %q", key, value))
		}
	}
	figure := func(key string, value float64) {
		if value != 0 {
			fields = append(fields, key+" = "+number(value))
		}
	}
	text("on", d.MachineClass)
	text("zone", d.Zone)
	text("to_zone", d.ToZone)
	text("service", d.Service)
	text("class", d.RequestClass)
	if d.Count > 0 {
		fields = append(fields, "count = "+strconv.Itoa(d.Count))
	}
	figure("share", d.Share)
	figure("x", d.Magnitude)
	figure("for_s", d.Duration)
	figure("gap_s", d.Interval)
	text("how", d.Variant)
	return strings.Join(fields, ", ")
}

// number formats a value with a decimal point and one to three digits after it.
func number(value float64) string {
	text := strconv.FormatFloat(rounded(value), 'f', -1, 64)
	if !strings.Contains(text, ".") {
		text += ".0"
	}
	return text
}

// rounded rounds a value to the precision of the TOML file, three decimal places.
func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }

// roundedUp rounds a time up to the precision of the TOML file.
func roundedUp(at float64) float64 { return math.Ceil(at*1000-1e-6) / 1000 }
