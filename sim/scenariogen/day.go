package scenariogen

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Disruption is one entry of a day. Fields that are zero are left to the bench's defaults.
type Disruption struct {
	At      float64
	Kind    string
	Planned bool // stands under plan, not under faults
	How     string
	On      string // class of machines
	Zone    string
	ToZone  string
	Service string
	Class   string // of requests
	Count   int
	Share   float64
	X       float64
	ForS    float64
	GapS    float64
}

// Closing is the final fault of a day.
type Closing struct {
	Kind  string
	How   string
	DownS float64
}

// Day is a day of a deployment: its disruptions in the order of their moments.
type Day struct {
	Name        string
	Seed        uint64 // of what the bench draws itself
	LengthS     float64
	Closing     *Closing
	Disruptions []Disruption
}

// Clone gives a copy that shares nothing with the day.
func (d *Day) Clone() *Day {
	c := *d
	c.Disruptions = slices.Clone(d.Disruptions)
	if d.Closing != nil {
		closing := *d.Closing
		c.Closing = &closing
	}
	return &c
}

// TOML writes the day as a file for the bench.
func (d *Day) TOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nseed = %d\nlength_s = %s\n", d.Name, d.Seed, number(d.LengthS))
	if c := d.Closing; c != nil {
		fmt.Fprintf(&b, "closing = { kind = %q, down_s = %s", c.Kind, number(c.DownS))
		if c.How != "" {
			fmt.Fprintf(&b, ", how = %q", c.How)
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

// String gives the fields of the entry as the bench's file writes them.
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
	text("on", d.On)
	text("zone", d.Zone)
	text("to_zone", d.ToZone)
	text("service", d.Service)
	text("class", d.Class)
	if d.Count > 0 {
		fields = append(fields, "count = "+strconv.Itoa(d.Count))
	}
	figure("share", d.Share)
	figure("x", d.X)
	figure("for_s", d.ForS)
	figure("gap_s", d.GapS)
	text("how", d.How)
	return strings.Join(fields, ", ")
}

// number writes a figure with a point, in three digits after it at most.
func number(value float64) string {
	text := strconv.FormatFloat(rounded(value), 'f', -1, 64)
	if !strings.Contains(text, ".") {
		text += ".0"
	}
	return text
}

// rounded keeps the precision that a day's file holds.
func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }
