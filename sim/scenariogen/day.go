package scenariogen

import (
	"slices"
)

// Disruption is one entry of a day. Fields that are zero are left to the bench's defaults. Times are seconds.
type Disruption struct {
	At           float64 // since the day's start
	Kind         string
	Planned      bool   // stands under plan, not under faults
	Variant      string // words that say how it comes about
	MachineClass string
	Zone         string
	ToZone       string
	Service      string
	RequestClass string
	Count        int
	Share        float64
	Magnitude    float64 // key x of the file; what it means depends on the kind
	Duration     float64
	Interval     float64 // between the steps of one that has several
}

// FinalFault is the fault that a day ends with.
type FinalFault struct {
	Kind     string
	Variant  string
	Downtime float64 // seconds
}

// Day is a day of a deployment: its disruptions in the order of their moments.
type Day struct {
	Name        string
	Seed        uint64  // of what the bench draws itself
	Length      float64 // seconds
	FinalFault  *FinalFault
	Disruptions []Disruption
}

// Clone returns a copy that shares nothing with the day.
func (d *Day) Clone() *Day {
	c := *d
	c.Disruptions = slices.Clone(d.Disruptions)
	if d.FinalFault != nil {
		final := *d.FinalFault
		c.FinalFault = &final
	}
	return &c
}
