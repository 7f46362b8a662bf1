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

// Run begins a cluster.
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
	fmt.Printf("founded installation %016x: %d keepers, %d groups of %d copies\n", id, len(config.Members), config.Groups, config.Replicas)
	return nil
}

// readSnapshot reads a snapshot's file, which has to be of as many groups as the cluster has.
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

// groupCountError says that a snapshot can't be a cluster's, as the number of groups is fixed at bootstrap.
type groupCountError struct {
	snapshot, cluster int
}

func (e *groupCountError) Error() string {
	return fmt.Sprintf("the snapshot has %d groups, the list %d", e.snapshot, e.cluster)
}

func printSnapshotWarning(snapshot *server.Snapshot) {
	taken := time.Unix(snapshot.Taken, 0)
	fmt.Printf("The snapshot was taken at %s, %.0f s ago. What was promised since then may be lost:\n"+
		"- totals are too low by what was added since;\n"+
		"- debts noted since are put back by nobody, and debts put back since are put back again if their names still live;\n"+
		"- deliveries begun since are not known: a repeat of one may run again;\n"+
		"- use counted since is not handed out, and batches taken over since come again under their numbers.\n",
		taken.UTC().Format(time.RFC3339), time.Since(taken).Seconds())
}
