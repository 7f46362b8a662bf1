package main

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/server"
	"otterseam/quotastore/statemachine"
)

// Operators' scripts and unit files depend on the names of these commands and flags.
func TestCommandLinesAreParsed(t *testing.T) {
	tests := map[string]struct {
		line  string
		check func(*arguments) bool
	}{
		"run": {"run --list f --name n --dir d --peer p --door o --memory 64", func(a *arguments) bool {
			return a.Run == runCommand{clusterFlag: clusterFlag{Path: "f"}, Name: "n", Dir: "d", PeerAddress: "p", CounterAddress: "o", Memory: 64}
		}},
		"run by default": {"run --list f --name n", func(a *arguments) bool { return a.Run.Memory == 256 && a.Run.Dir == "" }},
		"found":          {"found --list f", func(a *arguments) bool { return a.Bootstrap.Path == "f" && a.Bootstrap.Wait == 20*time.Second }},
		"found from a snapshot": {"found --list f --from s --wait 1s", func(a *arguments) bool {
			return a.Bootstrap.From == "s" && a.Bootstrap.Wait == time.Second
		}},
		"status": {"status --list f", func(a *arguments) bool { return a.Status.Path == "f" }},
		"save":   {"save --list f --to s", func(a *arguments) bool { return a.Save.Path == "f" && a.Save.To == "s" }},
		"take":   {"take --list f --batch 7", func(a *arguments) bool { return a.Take.Path == "f" && a.Take.Batch == 7 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var args arguments
			parser, err := kong.New(&args, kong.Name(programName))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := parser.Parse(strings.Fields(test.line)); err != nil || !test.check(&args) {
				t.Errorf("parsed as %+v: %v", args, err)
			}
		})
	}
}

func TestStatusPrintsServersAndGroups(t *testing.T) {
	config := &server.ClusterConfig{Groups: 3, Members: []server.MemberConfig{{Name: "a", Zone: "x"}, {Name: "b", Zone: "y"}, {Name: "c"}}}
	all := []protocol.ReplicaID{protocol.NewReplicaID(0, 1), protocol.NewReplicaID(1, 1)}
	answers := map[string]*protocol.Admin{
		"a": {Incarnation: 0xdeadbeef, Health: []protocol.GroupHealth{
			{Group: 0, IsLeader: true, HasReplica: true, Leader: 0, Replicas: all, Stable: true, Counters: 12, AppliedIndex: 9},
			{Group: 1, IsLeader: true, HasReplica: true, Leader: 0, AppliedIndex: 3, Stable: true}, // a former leader that has not yet learned of its successor
		}},
		"b": {Incarnation: 1, Health: []protocol.GroupHealth{
			{Group: 0, HasReplica: true, Leader: 0},
			{Group: 1, IsLeader: true, HasReplica: true, Leader: 1, Replicas: all[1:], Counters: 5, AppliedIndex: 4},
		}},
	}
	var text strings.Builder
	leaders, err := printMembers(&text, config, func(member server.MemberConfig) (*protocol.Admin, error) {
		if answer := answers[member.Name]; answer != nil {
			return answer, nil
		}
		return nil, errors.New("no answer")
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := printGroups(&text, config, leaders); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"keeper zone life leads holds", "a x deadbeef 2 2", "b y 00000001 1 2", "c no answer", "",
		"group led by held by names", "0 a a b 12", "1 b b (changing) 5", "2 nobody: calls for it are turned away", "",
	}
	lines := strings.Split(text.String(), "\n")
	for i := range lines {
		lines[i] = strings.Join(strings.Fields(lines[i]), " ")
	}
	if got := strings.Join(lines, "\n"); got != strings.Join(want, "\n") {
		t.Errorf("unexpected output:\n%s", &text)
	}
}

func TestTakePrintsASumForEachCustomer(t *testing.T) {
	var text strings.Builder
	usage := []statemachine.CustomerUsage{{Customer: "b", Units: 1.5}, {Customer: "a", Units: 1}, {Customer: "b", Units: 0.25}}
	if err := printUsage(&text, 3, usage); err != nil || text.String() != "3\tb\t1.75\n3\ta\t1\n" {
		t.Errorf("unexpected output %q (%v)", text.String(), err)
	}
}

func TestReadSnapshotRejectsAnotherNumberOfGroups(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	snapshot := &server.Snapshot{Groups: 1, States: map[int][]byte{0: statemachine.New().Snapshot()}}
	if err := snapshot.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	if _, err := readSnapshot(path, &server.ClusterConfig{Groups: 1}); err != nil {
		t.Error(err)
	}
	var countErr *groupCountError
	if _, err := readSnapshot(path, &server.ClusterConfig{Groups: 2}); !errors.As(err, &countErr) || countErr.snapshot != 1 || countErr.cluster != 2 {
		t.Errorf("unexpected error %v", err)
	}
}
