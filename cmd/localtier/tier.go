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
	// network is the third byte of the tier's IP addresses.
	network = 77
	// hostSlots is the number of requests that a simulated host serves concurrently.
	hostSlots = 8
)

var errNotReplaced = errors.New("the configuration was not accepted")

// run starts the tier, runs the mode that the arguments select, and stops the tier.
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
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return nil
}

// startTier deletes and creates the folder again, and starts the processes of the tier in it.
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

// setUp starts the simulated hosts, sends the first configuration and waits until the fronts are ready.
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

// replaceConfig replaces the configuration of version base by the next version.
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

// sendOneTurn sends a turn to a front and prints the status and body of the response.
func sendOneTurn(front string) error {
	header := map[string]string{"X-Request-Id": "0001", "Program": "p1", "Session": "s1", "Budget": "60", "X-Token-Count": "10,30"}
	response := tiercluster.Call(http.MethodPost, "http://"+front+"/chat/1", tiercluster.ExampleHost, header, "hello ")
	if response.Err != nil {
		return response.Err
	}
	fmt.Printf("%d\n%s", response.Status, response.Body)
	return nil
}
