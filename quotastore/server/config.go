package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"

	"otterseam/quotastore/replication"
)

// MemberConfig configures one server of a cluster.
type MemberConfig struct {
	Name           string `json:"name"`
	PeerAddress    string `json:"peer"`    // host:port for servers, gateways and operators' commands
	CounterAddress string `json:"door"`    // host:port for callers of the counter's protocol
	Zone           string `json:"zone"`    // failure domain; "": unknown
	Leaving        bool   `json:"leaving"` // its replicas are moved to other servers
}

// ClusterConfig is the configuration file of a cluster. It is the same on every server, except for the addresses at which each
// server reaches the others. A server's number is its index in Members.
type ClusterConfig struct {
	Groups        int            `json:"groups"`  // number of groups that counters are sharded into; fixed at bootstrap
	Replicas      int            `json:"copies"`  // per group: 3 or 5; fixed at bootstrap
	ReplaceAfter  float64        `json:"lost"`    // seconds after which the replicas of an unresponsive server are replaced; default 30
	SnapshotRate  float64        `json:"rate"`    // limit on snapshots to one server, in bytes/s; default 4000000
	MaxLogEntries int            `json:"log"`     // per group, before a snapshot replaces them; default 4096
	Members       []MemberConfig `json:"keepers"` // new servers are appended; none may be removed
}

// Defaults for values that are missing from a configuration file.
const (
	defaultGroups        = 16
	defaultReplicas      = 3
	defaultReplaceAfter  = 30  // seconds
	defaultSnapshotRate  = 4e6 // bytes/s
	defaultMaxLogEntries = 4096
)

// Limits for values of a configuration file.
const (
	maxGroups       = 256
	minReplaceAfter = 1     // second
	maxReplaceAfter = 86400 // seconds
	minSnapshotRate = 1e4   // bytes/s
	minLogEntries   = 64
	maxLogEntries   = 1 << 20
	maxServers      = 100
)

// ReadClusterConfig reads and validates a configuration file. It returns a *ConfigError for invalid contents, or the error of
// opening the file.
func ReadClusterConfig(path string) (*ClusterConfig, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer f.Close()
	c := &ClusterConfig{
		Groups:        defaultGroups,
		Replicas:      defaultReplicas,
		ReplaceAfter:  defaultReplaceAfter,
		SnapshotRate:  defaultSnapshotRate,
		MaxLogEntries: defaultMaxLogEntries,
	}
	decoder := json.NewDecoder(f)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(c); err != nil {
		return nil, &ConfigError{Path: path, Err: err}
	}
	if err := c.validate(); err != nil {
		return nil, &ConfigError{Path: path, Err: err}
	}
	return c, nil
}

// validate returns an error for the first invalid value.
func (c *ClusterConfig) validate() error {
	if err := c.validateSizes(); err != nil {
		return err
	}
	return c.validateMembers()
}

func (c *ClusterConfig) validateSizes() error {
	if c.Groups < 1 || c.Groups > maxGroups {
		return fmt.Errorf("groups is %d; must be from 1 to %d", c.Groups, maxGroups)
	}
	if c.Replicas != 1 && c.Replicas != 3 && c.Replicas != 5 {
		return fmt.Errorf("copies is %d; must be 3 or 5 (1 is accepted, but without redundancy)", c.Replicas)
	}
	if c.ReplaceAfter < minReplaceAfter || c.ReplaceAfter > maxReplaceAfter || c.SnapshotRate < minSnapshotRate ||
		c.MaxLogEntries < minLogEntries || c.MaxLogEntries > maxLogEntries {
		return errors.New("lost must be from 1 to 86400 s, rate at least 10000 bytes/s, log from 64 to 1048576 entries")
	}
	return nil
}

func (c *ClusterConfig) validateMembers() error {
	if len(c.Members) < c.Replicas || len(c.Members) > maxServers {
		return fmt.Errorf("%d servers are listed; must be from %d to %d", len(c.Members), c.Replicas, maxServers)
	}
	names := map[string]bool{}
	for i, member := range c.Members {
		if member.Name == "" || names[member.Name] {
			return fmt.Errorf("server %d: name %q is empty or used twice", i, member.Name)
		}
		names[member.Name] = true
		for _, address := range []string{member.PeerAddress, member.CounterAddress} {
			if _, _, err := net.SplitHostPort(address); err != nil {
				return fmt.Errorf("server %s: address %q: %w", member.Name, address, err)
			}
		}
	}
	return nil
}

// IndexOf returns the number of the server with a name, or -1 if it is not in the cluster.
func (c *ClusterConfig) IndexOf(name string) int {
	for i, member := range c.Members {
		if member.Name == name {
			return i
		}
	}
	return -1
}

func (c *ClusterConfig) peers() (peers []replication.Peer) {
	for _, member := range c.Members {
		peers = append(peers, replication.Peer{Name: member.Name, Zone: member.Zone, Draining: member.Leaving})
	}
	return peers
}

func (c *ClusterConfig) replicationConfig() replication.Config {
	return replication.Config{
		Groups:        c.Groups,
		Replicas:      c.Replicas,
		MaxLogEntries: c.MaxLogEntries,
		SnapshotRate:  c.SnapshotRate,
		ReplaceAfter:  c.ReplaceAfter,
	}
}
