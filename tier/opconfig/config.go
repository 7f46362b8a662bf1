// Package opconfig reads and checks the operator's configurations. It decides nothing about when one is taken.
package opconfig

import (
	"bytes"
	"strings"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"
	"github.com/samber/oops"

	"otterseam/tier/codes"
)

//go:generate go tool easyjson -all config.go

// RouteType tells how requests of a route may be repeated.
type RouteType string

// The route types.
const (
	RouteSafe      RouteType = "safe"
	RouteUnsafe    RouteType = "unsafe"
	RouteStreaming RouteType = "streaming"
)

// Config is a whole configuration.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route says where requests of a host and path prefix go, and what their answers are worth.
type Route struct {
	Name        string    `json:"name"`
	Host        string    `json:"host"`
	PathPrefix  string    `json:"path_prefix"`
	RouteType   RouteType `json:"route_type"`
	TimeoutMS   float64   `json:"timeout_ms"`
	TargetMS    float64   `json:"target_ms"`
	Priority    int       `json:"priority"`
	Service     string    `json:"service"`
	Split       []Split   `json:"split"`
	MaxAttempts int       `json:"max_attempts"`
	Retained    bool      `json:"retained"`
	RetentionS  float64   `json:"keep_s"`
	Sticky      bool      `json:"sticky"`
	Resumable   bool      `json:"resumable"`
	GapTargetMS float64   `json:"gap_aim_ms"`
}

// Split is one service's share of a route.
type Split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service describes the hosts of one name.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	Engine     *Engine `json:"engine"`
}

// Engine describes hosts that generate tokens.
type Engine struct {
	Slots    int `json:"slots"`
	KVTokens int `json:"kv_tokens"`
	Stride   int `json:"stride"`
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes  int     `json:"max_header_bytes"`
	MaxBodyBytes    int64   `json:"max_body_bytes"`
	HeaderTimeoutMS float64 `json:"header_timeout_ms"`
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`
}

// Parse reads and checks a configuration. The error says what is wrong and where.
func Parse(body []byte) (*Config, error) {
	config := &Config{}
	if trimmed := bytes.TrimSpace(body); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, invalid("the body is no JSON object")
	}
	lexer := jlexer.Lexer{Data: body}
	config.UnmarshalEasyJSON(&lexer)
	lexer.Consumed()
	if err := lexer.Error(); err != nil {
		return nil, invalid("the JSON cannot be read whole: " + err.Error())
	}
	if err := config.check(); err != nil {
		return nil, err
	}
	return config, nil
}

var _ easyjson.Unmarshaler = (*Config)(nil)

func invalid(problem string) error { return oops.Wrapf(codes.ConfigInvalid, "%s", problem) }

func (c *Config) check() error {
	if c.Version == 0 {
		return invalid("version is missing or 0")
	}
	services := make(map[string]bool, len(c.Services))
	for _, service := range c.Services {
		services[service.Name] = true
	}
	places := make(map[string]string, len(c.Routes))
	for _, route := range c.Routes {
		if err := route.check(services); err != nil {
			return err
		}
		place := strings.ToLower(route.Host) + " " + route.PathPrefix
		if other, taken := places[place]; taken {
			return invalid("routes " + other + " and " + route.Name + " share host and path_prefix")
		}
		places[place] = route.Name
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if r.TimeoutMS <= 0 {
		return invalid("route " + r.Name + ": timeout_ms is 0 or less")
	}
	if len(r.Split) == 0 {
		if !services[r.Service] {
			return invalid("route " + r.Name + ": service " + r.Service + " is unknown")
		}
		return nil
	}
	total := 0.0
	for _, split := range r.Split {
		if !services[split.Service] {
			return invalid("route " + r.Name + ": service " + split.Service + " in split is unknown")
		}
		if split.Weight < 0 {
			return invalid("route " + r.Name + ": a weight is below 0")
		}
		total += split.Weight
	}
	if total <= 0 {
		return invalid("route " + r.Name + ": the weights add up to 0")
	}
	return nil
}
