package main

import (
	"time"

	"otterseam/quotastore/server"
)

type saveCommand struct {
	clusterFlag
	To string `required:"" help:"File to write." placeholder:"FILE"`
}

// Run writes a snapshot of all groups to a file.
func (c *saveCommand) Run() error {
	config, err := c.read()
	if err != nil {
		return err
	}
	snapshot, err := server.TakeSnapshot(config, time.Now())
	if err != nil {
		return err
	}
	return snapshot.WriteFile(c.To)
}
