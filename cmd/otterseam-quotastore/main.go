// Command otterseam-quotastore runs one server of the quota store, and is the operator's command for a cluster of them.
//
//	otterseam-quotastore run     runs one server
//	otterseam-quotastore found   begins a cluster, empty or from a snapshot
//	otterseam-quotastore status  shows the servers and groups
//	otterseam-quotastore save    writes a snapshot of all groups to a file
//	otterseam-quotastore take    hands out a batch of metered usage
//
// All of them read the cluster's configuration file, such as deploy/keepers.json; quotastore/server has its keys. A server reads
// it again on SIGHUP, and ends on SIGTERM or SIGINT. Its log goes to stderr, one JSON object a line. A command that fails
// says why on stderr and exits with 1.
//
// This package has the arguments, the log, the signals and what is printed; all else is in quotastore/server.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"otterseam/quotastore/server"
)

const programName = "otterseam-quotastore"

// arguments are the program's commands. Names of commands and flags are the operators'.
type arguments struct {
	Run       runCommand       `cmd:"" help:"Run one server of the cluster."`
	Bootstrap bootstrapCommand `cmd:"" name:"found" help:"Begin a cluster with all servers of the list, once; or again from a snapshot when all was lost."`
	Status    statusCommand    `cmd:"" help:"Show the servers and groups; exit 1 where a group has no leader."`
	Save      saveCommand      `cmd:"" help:"Save the state of all groups to a file."`
	Take      takeCommand      `cmd:"" help:"Hand out a batch of metered usage; the next number says that the one before was taken over."`
}

// clusterFlag names the configuration file of a cluster.
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
