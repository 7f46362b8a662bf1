package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/server"
	"otterseam/quotastore/statemachine"
)

const takeTimeout = 5 * time.Second

type takeCommand struct {
	clusterFlag
	Batch uint64 `required:"" help:"Its number: that of the last batch gives it again, the one after it a new one. The first is 1."`
}

// Run prints a batch of metered usage from the first server that answers.
func (c *takeCommand) Run() error {
	config, err := c.read()
	if err != nil {
		return err
	}
	command := &protocol.Admin{Operation: protocol.OperationCollectUsage, Batch: c.Batch}
	var failures []error
	for _, member := range config.Members {
		answer, err := server.SendCommand(member.PeerAddress, command, takeTimeout)
		if err != nil {
			failures = append(failures, &server.MemberError{Name: member.Name, Err: err})
			continue
		}
		return printUsage(os.Stdout, c.Batch, answer.Usage)
	}
	return errors.Join(failures...)
}

// printUsage prints one line per customer with the batch, the customer and the sum of its units in all groups. Customers are in
// the order of their first appearance.
func printUsage(w io.Writer, batch uint64, usage []statemachine.CustomerUsage) error {
	sums := map[string]float64{}
	var customers []string
	for _, u := range usage {
		if _, known := sums[u.Customer]; !known {
			customers = append(customers, u.Customer)
		}
		sums[u.Customer] += u.Units
	}
	for _, customer := range customers {
		if _, err := fmt.Fprintf(w, "%d\t%s\t%g\n", batch, customer, sums[customer]); err != nil {
			return err
		}
	}
	return nil
}
