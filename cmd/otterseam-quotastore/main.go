// Command otterseam-quotastore runs one server of the quota store. It also has the operator's commands for a cluster.
//
//	otterseam-quotastore run     runs one server
//	otterseam-quotastore found   creates a cluster, empty or from a snapshot
//	otterseam-quotastore status  prints the state of the servers and groups
//	otterseam-quotastore save    writes a snapshot of all groups to a file
//	otterseam-quotastore take    prints a batch of metered usage
//
// All commands read the cluster's configuration file, such as deploy/keepers.json. Its keys are defined in quotastore/server. A
// server reloads it on SIGHUP, and ends on SIGTERM or SIGINT. It logs to stderr, one JSON object per line. A command that fails
// prints the error to stderr and exits with status 1.
//
// This package handles arguments, logging, signals and output. Everything else is in quotastore/server.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"otterseam/quotastore/server"
)

const programName = "otterseam-quotastore"

// arguments are the commands of the program. Operators' scripts depend on the names of commands and flags.
type arguments struct {
	Run       runCommand       `cmd:"" help:"Run one server of the cluster."`
	Bootstrap bootstrapCommand `cmd:"" name:"found" help:"Begin a cluster with all servers of the list, once; or again from a snapshot when all was lost."`
	Status    statusCommand    `cmd:"" help:"Show the servers and groups; exit 1 where a group has no leader."`
	Save      saveCommand      `cmd:"" help:"Save the state of all groups to a file."`
	Take      takeCommand      `cmd:"" help:"Hand out a batch of metered usage; the next number says that the one before was taken over."`
}

// clusterFlag is the flag with the path of the cluster's configuration file.
type clusterFlag struct {
	Path string `name:"list" required:"" help:"The cluster's list of servers." placeholder:"FILE.json"`
}

func (f *clusterFlag) read() (*server.ClusterConfig, error) { return server.ReadClusterConfig(f.Path) }

func main() {
	var args arguments
	command := kong.Parse(&args,
		kong.Name(programName),
		kong.Description("Holds counters, markers and usage for the gateways of several machines."),
		kong.UsageOnError(),
	)
	if err := command.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
		os.Exit(1)
	}
}
