// Command standin runs one case of the review: it starts the project's own programs, the stand-ins and the disruption, and judges
// what clients and hosts saw. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

type scenario func(*Bench) error

var scenarios = map[string]scenario{
	"stores-away": storesAway,
	"chaos":       chaos,
	"chaos4":      chaos,
	"hidden":      hidden,
	"first-start": firstStart,
}

// Bench is what a scenario works with.
type Bench struct {
	Cluster *Cluster
	Record  *Record
	Runs    *Runs
	Judge   *Judge
	Client  Client
	Trouble bool
	Seed    uint64
}

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD [SEED]")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordPath string) int {
	play, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no case "+name)
		return 2
	}
	record, err := NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	root, _ = filepath.Abs(root)
	options := Options{Root: root, Dir: dir, Controls: 3, Stores: 3, Fronts: 2}
	if name == "chaos4" {
		options.Stores = 4
	}
	cluster, err := NewCluster(options, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer cluster.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cluster.Stop()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	time.AfterFunc(115*time.Second, func() {
		record.Event("the case took too long")
		cluster.Stop()
		os.RemoveAll(dir)
		os.Exit(2)
	})
	runs := NewRuns()
	judge := NewJudge(record, runs)
	b := &Bench{Cluster: cluster, Record: record, Runs: runs, Judge: judge, Client: Client{cluster, judge}, Trouble: os.Getenv("TROUBLE") != "0"}
	if len(os.Args) > 4 {
		b.Seed, _ = strconv.ParseUint(os.Args[4], 10, 64)
	}
	if err := play(b); err != nil {
		record.Event("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
	breaches := judge.Breaches()
	for _, each := range breaches {
		fmt.Println(each.Rule + ": " + each.What)
	}
	record.Event("result: %d breaches", len(breaches))
	if len(breaches) > 0 {
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
