package main

import (
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"time"

	"otterseam/gateway/server"
	"otterseam/gateway/simprotocol"
)

const (
	defaultMemoryMB       = 192.0
	defaultDescriptors    = 1024
	reservedDescriptors   = 40 // for the counter, discovery, peers and the runtime
	clientDescriptorShare = 55 // percent of the remaining descriptors
	hostDescriptorShare   = 40 // percent of the remaining descriptors
	minConnections        = 8  // minimum for clients and for hosts, each
	minClientTimeout      = time.Second
)

var (
	errNoConfig         = errors.New("EDGE_CONFIG is not set")
	errIncompleteConfig = errors.New("listen, discovery or settings are missing")
)

// configError reports a missing or invalid configuration.
type configError struct {
	path   string // path of the file, or empty if reason contains it or it does not apply
	reason error
}

func (e *configError) Error() string {
	if e.path == "" {
		return "configuration: " + e.reason.Error()
	}
	return "configuration " + e.path + ": " + e.reason.Error()
}

func (e *configError) Unwrap() error { return e.reason }

// config is the content of the configuration file.
type config struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Seed       string `json:"seed"` // hexadecimal
	PeerListen string `json:"peer_listen"`
	Counter    string `json:"counter"`
	Limits     struct {
		MemoryMB    float64 `json:"memory_mb"`
		Descriptors int     `json:"sockets"`
	} `json:"limits"`
	Peers    []string             `json:"peers"`
	PeersAll string               `json:"peers_all"`
	Known    server.Roster        `json:"known"`
	Settings simprotocol.Settings `json:"settings"`
}

// loadConfig reads the file that EDGE_CONFIG names. The environment supplies the name and the addresses that the file omits.
func loadConfig() (*config, error) {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errNoConfig
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &configError{reason: err}
	}
	c := &config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, &configError{path: path, reason: err}
	}
	fillFromEnvironment(&c.Name, "EDGE_NAME")
	fillFromEnvironment(&c.Listen, "EDGE_LISTEN")
	fillFromEnvironment(&c.Discovery, "EDGE_DISCOVERY")
	if c.Listen == "" || c.Discovery == "" || len(c.Settings.Operations) == 0 || c.Settings.Gateways < 1 {
		return nil, &configError{path: path, reason: errIncompleteConfig}
	}
	return c, nil
}

func fillFromEnvironment(value *string, variable string) {
	if *value == "" {
		*value = os.Getenv(variable)
	}
}

// checkAddresses validates the addresses that a reload applies.
func (c *config) checkAddresses() error {
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return err
	}
	if c.counterAddr() == "" {
		return nil
	}
	_, err := netip.ParseAddrPort(c.Counter)
	return err
}

// counterAddr returns the address of the counter, or "" if there is none.
func (c *config) counterAddr() string {
	if !c.Settings.Shared.Counter {
		return ""
	}
	return c.Counter
}

func (c *config) memoryBytes() float64 {
	memory := c.Limits.MemoryMB
	if memory <= 0 {
		memory = defaultMemoryMB
	}
	return memory * (1 << 20)
}

// maxConns returns the maximum numbers of client connections and of host connections.
func (c *config) maxConns() (clients, hosts int) {
	descriptors := c.Limits.Descriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	free := descriptors - reservedDescriptors
	return max(minConnections, free*clientDescriptorShare/100), max(minConnections, free*hostDescriptorShare/100)
}

// longestTimeout returns the longest time for which a client may still wait for a response.
func (c *config) longestTimeout() time.Duration {
	longest := minClientTimeout.Seconds()
	for _, operation := range c.Settings.Operations {
		longest = max(longest, operation.Timeout)
	}
	return time.Duration(longest * float64(time.Second))
}
