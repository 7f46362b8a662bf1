package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterseam/tier/consensus"
	"otterseam/tier/directory"
	"otterseam/tier/replica"
	"otterseam/tier/status"
)

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFilesAreChecked(t *testing.T) {
	for _, test := range []struct {
		args     arguments
		wantText string
		ok       bool
	}{
		{arguments{CheckConfig: &checkConfigCommand{writeFile(t, `{"version":3,"routes":[],"services":[]}`)}}, "is valid: version 3", true},
		{arguments{CheckConfig: &checkConfigCommand{writeFile(t, `{"version":3,"routes":[{"name":"r","service":"x","timeout_ms":1}]}`)}}, "service x is unknown", false},
		{arguments{CheckSettings: &checkSettingsCommand{writeFile(t, "node=n\nrole=r\nip=1.2.3.4\nzone=z\ninternal_ports=1,9\n")}}, "is valid: node n", true},
		{arguments{CheckSettings: &checkSettingsCommand{writeFile(t, "node=n\n")}}, "role is missing", false},
		{arguments{Explain: &explainCommand{"301"}}, "budget-spent", true},
		{arguments{Explain: &explainCommand{"7"}}, "is not a result code", false},
		{arguments{Status: &statusCommand{Control: []string{"127.0.0.1:1"}, Timeout: time.Millisecond}}, "give the addresses of machines with their first internal port", false},
		{arguments{Status: &statusCommand{Control: []string{"127.0.0.1:1"}, Timeout: time.Millisecond}}, "no control process", false},
	} {
		var out bytes.Buffer
		err := run(test.args, &out)
		text := out.String()
		if err != nil {
			text += err.Error()
		}
		if (err == nil) != test.ok || !strings.Contains(text, test.wantText) {
			t.Errorf("%+v: %q", test.args, text)
		}
	}
}

func TestPrintTables(t *testing.T) {
	state := status.Status{
		ConfigVersion: 4,
		Control:       consensus.Record{Epoch: 2, Primary: 9, InSync: []uint64{9}, Members: []consensus.Member{{ID: 9, Address: "10.0.0.1:7380"}}},
		Stores:        []directory.Store{{Identity: 5, Node: "storage-1"}},
		Shards:        []directory.Shard{{ID: 3, Total: 8, View: replica.View{Epoch: 6, Primary: 5, InSync: []uint64{5}, Replicas: []uint64{5}}}},
		Hosts:         []directory.Host{{ID: "h", Service: "engine", Draining: true}},
		Recovery: []status.Recovery{
			{Address: "10.0.0.9:7381", AfterMS: map[string]int64{"shard-led": 310, "process-up": 0, "disk-read": 41}},
		},
		Ejected: map[string]int64{"h": 4000},
	}
	var out bytes.Buffer
	if err := printTables(state, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"version 4", "10.0.0.1:7380", "storage-1", "draining", "control bears the loss of 0 more", "BEARS", "all of 1 copy in sync",
		"set aside for 4000 ms", "10.0.0.9:7381", "process-up 0, disk-read 41, shard-led 310",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}
