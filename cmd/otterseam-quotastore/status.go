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

// errGroupsWithoutLeader is the result of the status command if a group has no leader.
var errGroupsWithoutLeader = errors.New("not all groups have a leader")

type statusCommand struct{ clusterFlag }

// Run prints what all servers say of themselves, and the groups as their leaders see them.
func (c *statusCommand) Run() error {
	config, err := c.read()
	if err != nil {
		return err
	}
	leaders, err := printMembers(os.Stdout, config, askStatus)
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

func askStatus(member server.MemberConfig) (*protocol.Admin, error) {
	return server.SendCommand(member.PeerAddress, &protocol.Admin{Operation: protocol.OperationStatus}, statusTimeout)
}

// leaderView is each group's state at the server that leads it.
type leaderView map[int]protocol.GroupHealth

// note takes the groups of a server's answer that it leads, and counts those that it leads and holds. If two servers say that
// they lead a group, the one that has applied more does.
func (v leaderView) note(groups []protocol.GroupHealth) (led, held int) {
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

// newTable makes a writer that aligns columns; an error of a write is returned by its flush.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 2, 0, 2, ' ', 0) }

// printMembers prints one line for each server, and returns what the leaders say of their groups.
func printMembers(w io.Writer, config *server.ClusterConfig, ask func(server.MemberConfig) (*protocol.Admin, error)) (leaderView, error) {
	leaders := leaderView{}
	table := newTable(w)
	fmt.Fprintln(table, "keeper\tzone\tlife\tleads\tholds\t")
	for _, member := range config.Members {
		answer, err := ask(member)
		if err != nil {
			fmt.Fprintf(table, "%s\t%s\t%v\t\t\t\n", member.Name, member.Zone, err)
			continue
		}
		led, held := leaders.note(answer.Health)
		fmt.Fprintf(table, "%s\t%s\t%08x\t%d\t%d\t\n", member.Name, member.Zone, answer.Incarnation, led, held)
	}
	return leaders, table.Flush()
}

// printGroups prints one line for each group.
func printGroups(w io.Writer, config *server.ClusterConfig, leaders leaderView) error {
	table := newTable(w)
	fmt.Fprintln(table, "\ngroup\tled by\theld by\tnames\t")
	for group := range config.Groups {
		health, isLed := leaders[group]
		if !isLed {
			fmt.Fprintf(table, "%d\tnobody: calls for it are turned away\t\t\t\n", group)
			continue
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t\n", group, config.Members[health.Leader].Name, holders(config, &health), health.Counters)
	}
	return table.Flush()
}

// holders names the servers that hold a group.
func holders(config *server.ClusterConfig, health *protocol.GroupHealth) string {
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
