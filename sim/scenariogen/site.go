package scenariogen

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Site is what a day has to know of a deployment. Times are seconds.
type Site struct {
	Name              string
	Length            float64 // of a day
	Zones             []string
	MachineClasses    []string // in the order in which the site names them
	Services          []string
	BurstClasses      []string            // classes of requests that a burst may be of
	CatchUp           float64             // a machine stays lost for so long after it is back
	ToleratedMachines int                 // counted machines that may be lost at once
	Variants          map[string][]string // that the site's own disruptions use, by kind
}

// CountsAsLoss reports whether the loss of a machine of the class counts towards what the deployment tolerates: those with a disk do.
func (s *Site) CountsAsLoss(class string) bool { return class == classCore || class == classStore }

// The classes of machines that a site file names.
const (
	classCore  = "core"
	classStore = "store"
	classFront = "front"
)

// siteFile is the part of a site file that matters here.
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

// siteDisruption is an entry of a site file's own disruptions.
type siteDisruption struct {
	Kind    string `toml:"kind"`
	Variant string `toml:"how"`
}

// ErrNotASite is returned for a file that lacks what a site has to say.
var ErrNotASite = errors.New("not a site file: name, length_s, zones and machines are wanted")

// ParseSite reads a site file.
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

// addVariants keeps the variants that a site's disruptions use.
func (s *Site) addVariants(disruptions []siteDisruption) {
	for _, disruption := range disruptions {
		if disruption.Variant != "" {
			s.Variants[disruption.Kind] = appendMissing(s.Variants[disruption.Kind], disruption.Variant)
		}
	}
}
