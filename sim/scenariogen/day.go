package scenariogen

import (
	"slices"
)

// Disruption is one fault or planned operation of a day. The bench uses its defaults for fields that are zero. Times are in seconds.
type Disruption struct {
	At           float64 // from the start of the day
	Kind         string
	Planned      bool   // written to the list plan rather than faults
	Variant      string // variant of the kind: words separated by spaces
	MachineClass string
	Zone         string
	ToZone       string
	Service      string
	RequestClass string
	Count        int
	Share        float64
	Magnitude    float64 // key x of the file; its meaning depends on the kind
	Duration     float64
	Interval     float64 // between the steps of a disruption with several steps
}

// FinalFault is the fault at the end of a day.
type FinalFault struct {
	Kind     string
	Variant  string
	Downtime float64 // seconds
}

// Day is a generated scenario: the disruptions of a deployment in order of time.
type Day struct {
	Name        string
	Seed        uint64  // for the random choices of the bench
	Length      float64 // seconds
	FinalFault  *FinalFault
	Disruptions []Disruption
}

// Clone returns a deep copy of the day.
func (d *Day) Clone() *Day {
	c := *d
	c.Disruptions = slices.Clone(d.Disruptions)
	if d.FinalFault != nil {
		final := *d.FinalFault
		c.FinalFault = &final
	}
	return &c
}
