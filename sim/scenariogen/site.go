package scenariogen

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Site is what a day has to know of a deployment.
type Site struct {
	Name      string
	LengthS   float64
	Zones     []string
	Classes   []string // classes of machines, in the order in which the site names them
	Services  []string
	Routes    []string            // classes of requests that a burst may be of
	CatchUpS  float64             // a machine stays lost for so long after it is back
	Machines  int                 // counted machines that may be lost at once
	Variants  map[string][]string // variants that the site's own disruptions use, by kind
	HasSpares map[string]bool     // classes with machines that may join
}

// Counted says whether the loss of a machine of the class counts towards what the deployment tolerates: those with a disk do.
func (s *Site) Counted(class string) bool { return class == classCore || class == classStore }

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
		Spare int    `toml:"spare"`
	} `toml:"machines"`
	Services []struct {
		Name string `toml:"name"`
	} `toml:"services"`
	Classes []struct {
		Name  string         `toml:"name"`
		Agent map[string]any `toml:"agent"`
	} `toml:"classes"`
	Troubles []struct {
		Kind string `toml:"kind"`
		How  string `toml:"how"`
	} `toml:"troubles"`
	Timing struct {
		CatchUpS float64 `toml:"catch_up_s"`
	} `toml:"timing"`
	Tolerate struct {
		Machines int `toml:"machines"`
	} `toml:"tolerate"`
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
		Name: f.Name, LengthS: f.LengthS, CatchUpS: f.Timing.CatchUpS, Machines: f.Tolerate.Machines,
		Variants: map[string][]string{}, HasSpares: map[string]bool{},
	}
	for _, zone := range f.Zones {
		site.Zones = append(site.Zones, zone.Name)
	}
	for _, machines := range f.Machines {
		site.Classes = appendNew(site.Classes, machines.Class)
		site.HasSpares[machines.Class] = site.HasSpares[machines.Class] || machines.Spare > 0
	}
	for _, service := range f.Services {
		site.Services = append(site.Services, service.Name)
	}
	for _, class := range f.Classes {
		if class.Agent != nil {
			site.Routes = append(site.Routes, class.Name)
		}
	}
	for _, trouble := range f.Troubles {
		if trouble.How != "" {
			site.Variants[trouble.Kind] = appendNew(site.Variants[trouble.Kind], trouble.How)
		}
	}
	return site, nil
}
