package opconfig

import (
	"sort"
	"strings"
)

// Table finds the route and the service of requests in one configuration. It is immutable.
type Table struct {
	Config   *Config
	byHost   map[string][]*Route // routes by host in lower case, longest path prefix first
	services map[string]*Service
}

// NewTable returns the table of a valid configuration.
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

// Route returns the route of the host whose path prefix is the longest that matches the path, or nil if none matches.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon] // remove the port
	}
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with a name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }
