package opconfig

import (
	"fmt"
	"strings"
)

// validate returns the first problem in the order of the file as a ValidationError.
func (c *Config) validate() error {
	if c.Version == 0 {
		return &ValidationError{Path: "version", Problem: "version is missing or 0"}
	}
	services := make(map[string]bool, len(c.Services))
	for _, service := range c.Services {
		services[service.Name] = true
	}
	routeNames := make(map[string]string, len(c.Routes)) // name of the route, by host and path prefix
	for i := range c.Routes {
		route := &c.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		if err := route.validate(path, services); err != nil {
			return err
		}
		location := strings.ToLower(route.Host) + " " + route.PathPrefix
		if other, taken := routeNames[location]; taken {
			return &ValidationError{Path: path + ".path_prefix", Problem: "routes " + other + " and " + route.Name + " share host and path_prefix"}
		}
		routeNames[location] = route.Name
	}
	return nil
}

// validate checks the route, whose path in the configuration is path. services contains the names of the known services.
func (r *Route) validate(path string, services map[string]bool) error {
	if r.TimeoutMS <= 0 {
		return r.invalid(path+".timeout_ms", "timeout_ms is 0 or less")
	}
	if len(r.Split) > 0 {
		return r.validateSplit(path+".split", services)
	}
	if !services[r.Service] {
		return r.invalid(path+".service", "service "+r.Service+" is unknown")
	}
	return nil
}

func (r *Route) validateSplit(path string, services map[string]bool) error {
	total := 0.0
	for i, split := range r.Split {
		if !services[split.Service] {
			return r.invalid(fmt.Sprintf("%s[%d].service", path, i), "service "+split.Service+" in split is unknown")
		}
		if split.Weight < 0 {
			return r.invalid(fmt.Sprintf("%s[%d].weight", path, i), "a weight is below 0")
		}
		total += split.Weight
	}
	if total <= 0 {
		return r.invalid(path, "the weights add up to 0")
	}
	return nil
}

func (r *Route) invalid(path, problem string) *ValidationError {
	return &ValidationError{Path: path, Problem: "route " + r.Name + ": " + problem}
}
