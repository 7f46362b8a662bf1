package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"otterseam/harness/tiercluster"
)

const (
	startTimeout = 20 * time.Second
	// network is the third part of the tier's addresses.
	network = 77
	// hostSlots is how many requests a stand-in host takes at once.
	hostSlots = 8
)

var errNotReplaced = errors.New("the configuration was not taken")

// run starts the tier, does what the arguments ask for, and stops it.
func run(args arguments) error {
	cluster, err := startTier(args)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	if err := setUp(cluster); err != nil {
		return err
	}
	switch {
	case args.Takeovers > 0:
		return measureTakeovers(cluster, args.Takeovers)
	case args.Once:
		return sendOneTurn(cluster.FrontAddresses()[0])
	}
	fmt.Print(greeting(addresses{
		Fronts:   cluster.FrontAddresses(),
		Controls: cluster.ControlAddresses(),
		Status:   cluster.StatusAddresses(),
		Logs:     args.Dir,
	}))
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	<-ended
	return nil
}

// startTier starts the processes of the tier in an emptied folder.
func startTier(args arguments) (*tiercluster.Cluster, error) {
	if err := os.RemoveAll(args.Dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(args.Dir, 0o755); err != nil {
		return nil, err
	}
	return tiercluster.Start(tiercluster.Options{
		Program:         args.Program,
		Dir:             args.Dir,
		Network:         network,
		Fronts:          2,
		Controls:        3,
		Stores:          replicas,
		ToleratedLosses: 1,
	})
}

// setUp starts the stand-in hosts, sends the first configuration and waits until the fronts are ready.
func setUp(cluster *tiercluster.Cluster) error {
	for id, service := range map[string]string{"engine-1": "engine", "engine-2": "engine", "records-1": "records"} {
		if _, err := cluster.AddHost(id, service, hostSlots); err != nil {
			return err
		}
	}
	if err := replaceConfig(cluster, 0); err != nil {
		return err
	}
	if err := cluster.WaitReady(startTimeout); err != nil {
		return fmt.Errorf("the tier did not become ready: %w", err)
	}
	return nil
}

// replaceConfig puts the next configuration in the place of version base.
func replaceConfig(cluster *tiercluster.Cluster, base uint64) error {
	response := cluster.ReplaceConfig(base, tiercluster.Config(base+1), startTimeout)
	if response.Err != nil {
		return fmt.Errorf("%w: version %d: status %d, %w", errNotReplaced, base+1, response.Status, response.Err)
	}
	if response.Status != http.StatusOK {
		return fmt.Errorf("%w: version %d: status %d", errNotReplaced, base+1, response.Status)
	}
	return nil
}

// sendOneTurn sends a turn to a front and prints what it answers.
func sendOneTurn(front string) error {
	header := map[string]string{"X-Request-Id": "0001", "Program": "p1", "Session": "s1", "Budget": "60", "X-Token-Count": "10,30"}
	response := tiercluster.Call(http.MethodPost, "http://"+front+"/chat/1", tiercluster.ExampleHost, header, "hello ")
	if response.Err != nil {
		return response.Err
	}
	fmt.Printf("%d\n%s", response.Status, response.Body)
	return nil
}
