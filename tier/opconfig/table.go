package opconfig

import (
	"sort"
	"strings"
)

// Table finds the route and the service of requests for one configuration. It is never changed.
type Table struct {
	Config   *Config
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
}

// NewTable prepares a checked configuration.
func NewTable(config *Config) *Table {
	t := &Table{Config: config, byHost: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	return t
}

// Route returns the route with the longest prefix of the path among those of the host, or nil.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon] // without the port
	}
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }
