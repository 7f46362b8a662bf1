package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/server"
)

const statusTimeout = 2 * time.Second

// errGroupsWithoutLeader is returned by the status command if a group has no leader.
var errGroupsWithoutLeader = errors.New("not all groups have a leader")

type statusCommand struct{ clusterFlag }

// Run prints the status of all servers, and the state of each group as reported by its leader.
func (c *statusCommand) Run() error {
	config, err := c.read()
	if err != nil {
		return err
	}
	leaders, err := printMembers(os.Stdout, config, requestStatus)
	if err != nil {
		return err
	}
	if err := printGroups(os.Stdout, config, leaders); err != nil {
		return err
	}
	if len(leaders) < config.Groups {
		return errGroupsWithoutLeader
	}
	return nil
}

func requestStatus(member server.MemberConfig) (*protocol.Admin, error) {
	return server.SendCommand(member.PeerAddress, &protocol.Admin{Operation: protocol.OperationStatus}, statusTimeout)
}

// leaderView is the state of each group as reported by its leader.
type leaderView map[int]protocol.GroupHealth

// record adds the groups that a server leads, and returns how many groups it leads and how many it has a replica of. If two
// servers report to lead a group, the one with the higher applied index wins.
func (v leaderView) record(groups []protocol.GroupHealth) (led, held int) {
	for _, group := range groups {
		if group.HasReplica {
			held++
		}
		if !group.IsLeader {
			continue
		}
		led++
		if group.AppliedIndex >= v[group.Group].AppliedIndex {
			v[group.Group] = group
		}
	}
	return led, held
}

// newTable returns a writer that aligns columns. Flush returns the error of an earlier write.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 2, 0, 2, ' ', 0) }

// printMembers prints one line per server, and returns the state of the groups as reported by their leaders.
func printMembers(w io.Writer, config *server.ClusterConfig, request func(server.MemberConfig) (*protocol.Admin, error)) (leaderView, error) {
	leaders := leaderView{}
	table := newTable(w)
	fmt.Fprintln(table, "keeper\tzone\tlife\tleads\tholds\t")
	for _, member := range config.Members {
		answer, err := request(member)
		if err != nil {
			fmt.Fprintf(table, "%s\t%s\t%v\t\t\t\n", member.Name, member.Zone, err)
			continue
		}
		led, held := leaders.record(answer.Health)
		fmt.Fprintf(table, "%s\t%s\t%08x\t%d\t%d\t\n", member.Name, member.Zone, answer.Incarnation, led, held)
	}
	return leaders, table.Flush()
}

// printGroups prints one line per group.
func printGroups(w io.Writer, config *server.ClusterConfig, leaders leaderView) error {
	table := newTable(w)
	fmt.Fprintln(table, "\ngroup\tled by\theld by\tnames\t")
	for group := range config.Groups {
		health, isLed := leaders[group]
		if !isLed {
			fmt.Fprintf(table, "%d\tnobody: calls for it are turned away\t\t\t\n", group)
			continue
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t\n", group, config.Members[health.Leader].Name, replicaNames(config, &health), health.Counters)
	}
	return table.Flush()
}

// replicaNames returns the names of the servers that have a replica of a group.
func replicaNames(config *server.ClusterConfig, health *protocol.GroupHealth) string {
	var text strings.Builder
	for _, id := range health.Replicas {
		if number := id.Number(); number < len(config.Members) {
			text.WriteString(config.Members[number].Name + " ")
		}
	}
	if !health.Stable {
		text.WriteString("(changing)")
	}
	return text.String()
}
