package main

import (
	"fmt"
	"os"
	"time"

	"otterseam/quotastore/server"
)

type bootstrapCommand struct {
	clusterFlag
	From string        `help:"A snapshot that the cluster begins with; all that was acknowledged after it was taken is lost." placeholder:"FILE"`
	Wait time.Duration `default:"20s" help:"For how long servers that don't answer yet are waited for."`
}

// Run creates a cluster.
func (c *bootstrapCommand) Run() error {
	config, err := c.read()
	if err != nil {
		return err
	}
	var states map[int][]byte
	if c.From != "" {
		snapshot, err := readSnapshot(c.From, config)
		if err != nil {
			return err
		}
		states = snapshot.States
		printSnapshotWarning(snapshot)
	}
	id, err := server.Bootstrap(config, states, c.Wait)
	if err != nil {
		return err
	}
	fmt.Printf("bootstrapped cluster %016x: %d servers, %d groups of %d replicas\n", id, len(config.Members), config.Groups, config.Replicas)
	return nil
}

// readSnapshot reads a snapshot file. The snapshot must have as many groups as the cluster.
func readSnapshot(path string, config *server.ClusterConfig) (*server.Snapshot, error) {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	snapshot, err := server.DecodeSnapshot(encoded)
	if err != nil {
		return nil, err
	}
	if snapshot.Groups != config.Groups {
		return nil, &groupCountError{snapshot: snapshot.Groups, cluster: config.Groups}
	}
	return snapshot, nil
}

// groupCountError reports that a snapshot has another number of groups than the cluster. The number is fixed at bootstrap.
type groupCountError struct {
	snapshot, cluster int
}

func (e *groupCountError) Error() string {
	return fmt.Sprintf("the snapshot has %d groups, the configuration %d", e.snapshot, e.cluster)
}

func printSnapshotWarning(snapshot *server.Snapshot) {
	taken := time.Unix(snapshot.Taken, 0)
	fmt.Printf("The snapshot was taken at %s, %.0f s ago. Changes acknowledged since then may be lost:\n"+
		"- totals are too low by the amounts added since;\n"+
		"- unreported usage recorded since is not recovered, and what was recovered since is recovered again if its counter still exists;\n"+
		"- markers of deliveries started since are lost: a repeated delivery may run again;\n"+
		"- usage metered since is not returned by take, and batches acknowledged since are returned again under their numbers.\n",
		taken.UTC().Format(time.RFC3339), time.Since(taken).Seconds())
}
