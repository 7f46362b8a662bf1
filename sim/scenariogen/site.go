package scenariogen

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Site holds the properties of a deployment that the generator needs. Times are in seconds.
type Site struct {
	Name              string
	Length            float64 // default length of a day
	Zones             []string
	MachineClasses    []string // in the order of the site file
	Services          []string
	BurstClasses      []string            // request classes that a burst may use
	CatchUp           float64             // time for which a machine still counts as lost after it is back
	ToleratedMachines int                 // maximum number of counted machines lost at once
	Variants          map[string][]string // variants used by the site's own disruptions, by kind
}

// CountsAsLoss reports whether the loss of a machine of the class counts towards the number of losses that the deployment tolerates. Only
// classes of machines with a disk count.
func (s *Site) CountsAsLoss(class string) bool { return class == classCore || class == classStore }

// Machine classes in a site file.
const (
	classCore  = "core"
	classStore = "store"
	classFront = "front"
)

// siteFile is the part of a site file that the generator uses.
type siteFile struct {
	Name    string  `toml:"name"`
	LengthS float64 `toml:"length_s"`
	Zones   []struct {
		Name string `toml:"name"`
	} `toml:"zones"`
	Machines []struct {
		Class string `toml:"class"`
	} `toml:"machines"`
	Services []struct {
		Name string `toml:"name"`
	} `toml:"services"`
	Classes []struct {
		Name  string         `toml:"name"`
		Agent map[string]any `toml:"agent"`
	} `toml:"classes"`
	Disruptions []siteDisruption `toml:"troubles"`
	Timing      struct {
		CatchUpS float64 `toml:"catch_up_s"`
	} `toml:"timing"`
	Tolerate struct {
		Machines int `toml:"machines"`
	} `toml:"tolerate"`
}

// siteDisruption is a disruption listed in a site file.
type siteDisruption struct {
	Kind    string `toml:"kind"`
	Variant string `toml:"how"`
}

// ErrNotASite is returned for a file that lacks a required key of a site file.
var ErrNotASite = errors.New("not a site file: name, length_s, zones and machines are required")

// ParseSite parses a site file.
func ParseSite(file []byte) (*Site, error) {
	var f siteFile
	if err := toml.Unmarshal(file, &f); err != nil {
		return nil, fmt.Errorf("site file: %w", err)
	}
	if f.Name == "" || f.LengthS <= 0 || len(f.Zones) == 0 || len(f.Machines) == 0 {
		return nil, ErrNotASite
	}
	site := &Site{
		Name: f.Name, Length: f.LengthS, CatchUp: f.Timing.CatchUpS, ToleratedMachines: f.Tolerate.Machines, Variants: map[string][]string{},
	}
	for _, zone := range f.Zones {
		site.Zones = append(site.Zones, zone.Name)
	}
	for _, machines := range f.Machines {
		site.MachineClasses = appendMissing(site.MachineClasses, machines.Class)
	}
	for _, service := range f.Services {
		site.Services = append(site.Services, service.Name)
	}
	for _, class := range f.Classes {
		if class.Agent != nil {
			site.BurstClasses = append(site.BurstClasses, class.Name)
		}
	}
	site.addVariants(f.Disruptions)
	return site, nil
}

// addVariants records the variants that the site's own disruptions use.
func (s *Site) addVariants(disruptions []siteDisruption) {
	for _, disruption := range disruptions {
		if disruption.Variant != "" {
			s.Variants[disruption.Kind] = appendMissing(s.Variants[disruption.Kind], disruption.Variant)
		}
	}
}
