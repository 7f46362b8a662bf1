package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"

	"otterseam/quotastore/replication"
)

// MemberConfig is one server of a cluster.
type MemberConfig struct {
	Name           string `json:"name"`
	PeerAddress    string `json:"peer"`    // host:port where servers, gateways and commands reach it
	CounterAddress string `json:"door"`    // host:port where callers of the counter's protocol reach it
	Zone           string `json:"zone"`    // "": not known
	Leaving        bool   `json:"leaving"` // it is to hold no replicas any more
}

// ClusterConfig is the configuration file of a cluster. It is the same at every server, but for the addresses by which each
// reaches the others. A server's number is its place in Members.
type ClusterConfig struct {
	Groups        int            `json:"groups"`  // into which counters are spread; fixed at bootstrap
	Replicas      int            `json:"copies"`  // of each group: 3 or 5; fixed at bootstrap
	ReplaceAfter  float64        `json:"lost"`    // seconds after which a silent server's replicas are replaced; default 30
	SnapshotRate  float64        `json:"rate"`    // bytes a second at which snapshots are sent to one server; default 4000000
	MaxLogEntries int            `json:"log"`     // of a group, after which a snapshot takes their place; default 4096
	Members       []MemberConfig `json:"keepers"` // new ones come at the end; none is taken off
}

// Values of a configuration file that does not give them.
const (
	defaultGroups        = 16
	defaultReplicas      = 3
	defaultReplaceAfter  = 30  // seconds
	defaultSnapshotRate  = 4e6 // bytes a second
	defaultMaxLogEntries = 4096
)

// Bounds of a configuration file.
const (
	maxGroups       = 256
	minReplaceAfter = 1     // second
	maxReplaceAfter = 86400 // seconds
	minSnapshotRate = 1e4   // bytes a second
	minLogEntries   = 64
	maxLogEntries   = 1 << 20
	maxServers      = 100
)

// ReadClusterConfig reads and checks a configuration file. Its errors are a *ConfigError, or those of opening the file.
func ReadClusterConfig(path string) (*ClusterConfig, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("server list: %w", err)
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

// validate returns the first thing that is wrong.
func (c *ClusterConfig) validate() error {
	if err := c.validateSizes(); err != nil {
		return err
	}
	return c.validateMembers()
}

func (c *ClusterConfig) validateSizes() error {
	if c.Groups < 1 || c.Groups > maxGroups {
		return fmt.Errorf("groups is %d; 1 to %d are wanted", c.Groups, maxGroups)
	}
	if c.Replicas != 1 && c.Replicas != 3 && c.Replicas != 5 {
		return fmt.Errorf("copies is %d; 3 or 5 are wanted (1 keeps nothing safe)", c.Replicas)
	}
	if c.ReplaceAfter < minReplaceAfter || c.ReplaceAfter > maxReplaceAfter || c.SnapshotRate < minSnapshotRate ||
		c.MaxLogEntries < minLogEntries || c.MaxLogEntries > maxLogEntries {
		return errors.New("lost is from 1 to 86400 s, rate at least 10000 bytes a second, log from 64 to 1048576 entries")
	}
	return nil
}

func (c *ClusterConfig) validateMembers() error {
	if len(c.Members) < c.Replicas || len(c.Members) > maxServers {
		return fmt.Errorf("%d servers are listed; %d to %d are wanted", len(c.Members), c.Replicas, maxServers)
	}
	names := map[string]bool{}
	for i, member := range c.Members {
		if member.Name == "" || names[member.Name] {
			return fmt.Errorf("server %d: its name %q is empty or comes twice", i, member.Name)
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

// IndexOf returns a server's number; -1: it isn't in the cluster.
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
