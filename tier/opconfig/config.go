package opconfig

//go:generate go tool easyjson -all config.go

// RouteType specifies whether requests of a route may be sent more than once.
type RouteType string

// Route types.
const (
	// RouteSafe marks requests that may be sent more than once.
	RouteSafe RouteType = "safe"
	// RouteUnsafe marks requests that are not sent again once a host may have run them.
	RouteUnsafe RouteType = "unsafe"
	// RouteStreaming marks requests that are answered with a stream of tokens. Unless the route is resumable, they run at most once.
	RouteStreaming RouteType = "streaming"
)

// Config is an operator's configuration.
type Config struct {
	Version  uint64    `json:"version"` // 1 or more
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route specifies which service handles the requests for a host and path prefix, and with which limits, targets and guarantees.
type Route struct {
	Name        string    `json:"name"`
	Host        string    `json:"host"` // case-insensitive
	PathPrefix  string    `json:"path_prefix"`
	RouteType   RouteType `json:"route_type"`
	TimeoutMS   float64   `json:"timeout_ms"`   // milliseconds, more than 0
	TargetMS    float64   `json:"target_ms"`    // latency target, in milliseconds
	Priority    int       `json:"priority"`     // 0 is the most urgent; passed to the engine as the urgency of a stream
	Service     string    `json:"service"`      // service of the requests if there is no split
	Split       []Split   `json:"split"`        // shares of several services
	MaxAttempts int       `json:"max_attempts"` // the first attempt included
	Retained    bool      `json:"retained"`     // responses are stored and returned to repeated requests
	RetentionS  float64   `json:"keep_s"`       // how long responses are stored, in seconds
	Sticky      bool      `json:"sticky"`       // requests of a session are sent to the same host
	Resumable   bool      `json:"resumable"`    // a broken stream may be resumed
	GapTargetMS float64   `json:"gap_aim_ms"`   // target for the time between two tokens, in milliseconds
}

// Split is one service's share of a route.
type Split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // relative to the other shares, 0 or more
}

// Service describes the hosts that provide one service.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	Engine     *Engine `json:"engine"` // nil for hosts that generate no tokens
}

// Engine describes hosts that generate tokens.
type Engine struct {
	Slots    int `json:"slots"`     // sequences decoded concurrently
	KVTokens int `json:"kv_tokens"` // capacity of the KV cache, in tokens
	Stride   int `json:"stride"`    // tokens in each event of a stream; 0 means 1
}

// Limits are the bounds on requests of clients.
type Limits struct {
	MaxHeaderBytes  int     `json:"max_header_bytes"`
	MaxBodyBytes    int64   `json:"max_body_bytes"`
	HeaderTimeoutMS float64 `json:"header_timeout_ms"` // in milliseconds
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`   // in milliseconds
}
