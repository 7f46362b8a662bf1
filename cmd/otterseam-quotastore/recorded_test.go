package main

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"otterseam/harness/childprocess"
	"otterseam/harness/leakcheck"
	"otterseam/harness/sockets"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/server"
	"otterseam/quotastore/statemachine"
)

// recordedDir has the data directories of three servers that ran the code of commit 1895881 and were killed, with compressed
// database files, and a list of what the servers had acknowledged until then.
const recordedDir = "testdata/recorded"

// startTimeout is the time that the servers may take until they serve. Recorded data expires after a minute of its group's clock,
// which is paused while the group has no leader.
const startTimeout = 30 * time.Second

// acknowledged is the state that the recorded servers had acknowledged.
type acknowledged struct {
	Cluster      uint64                       `json:"cluster"`
	Incarnations []uint32                     `json:"lives"`
	Totals       map[string]float64           `json:"totals"`
	Batch        []statemachine.CustomerUsage `json:"batch"`
}

// unpackServerDir copies the data directory of a recorded server and decompresses its database.
func unpackServerDir(t *testing.T, from, to string) {
	t.Helper()
	if err := os.MkdirAll(to, 0o755); err != nil {
		t.Fatal(err)
	}
	compressed, err := os.Open(filepath.Join(from, "held.db.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer compressed.Close()
	plain, err := gzip.NewReader(compressed)
	if err != nil {
		t.Fatal(err)
	}
	database, err := io.ReadAll(plain)
	if err != nil {
		t.Fatal(err)
	}
	count, err := os.ReadFile(filepath.Join(from, "held.count"))
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"held.db": database, "held.count": count} {
		if err := os.WriteFile(filepath.Join(to, name), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// readAcknowledged reads the state that the recorded servers had acknowledged.
func readAcknowledged(t *testing.T) *acknowledged {
	t.Helper()
	encoded, err := os.ReadFile(filepath.Join(recordedDir, "acknowledged.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := &acknowledged{}
	if err := json.Unmarshal(encoded, want); err != nil {
		t.Fatal(err)
	}
	return want
}

// recordedConfig returns a configuration of the recorded servers with free addresses.
func recordedConfig(t *testing.T, servers int) *server.ClusterConfig {
	t.Helper()
	config := &server.ClusterConfig{Groups: 3, Replicas: 3, ReplaceAfter: 30, SnapshotRate: 4e6, MaxLogEntries: 64}
	for i := range servers {
		member := server.MemberConfig{Name: fmt.Sprint("keeper-", i), Zone: fmt.Sprint("zone-", i)}
		for _, to := range []*string{&member.PeerAddress, &member.CounterAddress} {
			var err error
			if *to, err = sockets.FreeAddress(); err != nil {
				t.Fatal(err)
			}
		}
		config.Members = append(config.Members, member)
	}
	return config
}

func buildProgram(t *testing.T, dir string) (path string) {
	t.Helper()
	path = filepath.Join(dir, "store")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// startRecordedServers starts servers of this build on the recorded data directories, and waits until each group has a leader.
func startRecordedServers(t *testing.T, servers int) *server.ClusterConfig {
	t.Helper()
	dir := t.TempDir()
	program := buildProgram(t, dir)
	config := recordedConfig(t, servers) // after the build, because a free address may be taken again during it
	encoded, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "list.json")
	if err := os.WriteFile(path, encoded, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, member := range config.Members {
		unpackServerDir(t, filepath.Join(recordedDir, member.Name), filepath.Join(dir, member.Name, "held"))
		process, err := childprocess.StartCommand([]string{program, "run", "--list", path, "--name", member.Name, "--dir", "held"}, member.Name, dir)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := process.Stop(); err != nil {
				t.Error(err)
			}
			if log, err := os.ReadFile(process.LogPath); err != nil || t.Failed() {
				t.Logf("%s (%v):\n%s", process.Name, err, log)
			}
		})
	}
	awaitLeaders(t, config)
	return config
}

func awaitLeaders(t *testing.T, config *server.ClusterConfig) {
	t.Helper()
	led := map[int]bool{}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		clear(led)
		for _, member := range config.Members {
			answer, err := server.SendCommand(member.PeerAddress, &protocol.Admin{Operation: protocol.OperationStatus}, time.Second)
			if err != nil {
				continue
			}
			for _, health := range answer.Health {
				if health.IsLeader {
					led[health.Group] = true
				}
			}
		}
		if len(led) == config.Groups {
			return
		}
	}
	t.Fatalf("%d of %d groups have a leader after %v", len(led), config.Groups, startTimeout)
}

// client is a client of a server on one stream, like a gateway.
type client struct {
	t      *testing.T
	stream net.Conn
	reader *bufio.Reader
	number uint64
}

func newClient(t *testing.T, addr string) *client {
	t.Helper()
	stream, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stream.Close() })
	c := &client{t: t, stream: stream, reader: bufio.NewReader(stream)}
	c.send(protocol.ClientHello())
	return c
}

func (c *client) send(f *protocol.Frame) {
	c.t.Helper()
	encoded, err := f.AppendTo(nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.stream.Write(encoded); err != nil {
		c.t.Fatal(err)
	}
}

// request sends a command until the leader of its group has answered. The commands in this file may be sent again, as they change
// nothing.
func (c *client) request(command statemachine.Command) statemachine.Reply {
	c.t.Helper()
	var last protocol.Response
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		c.number++
		c.send(protocol.RequestsFrame([]protocol.Request{{ID: c.number, Command: command}}))
		if err := c.stream.SetReadDeadline(until); err != nil {
			c.t.Fatal(err)
		}
		f, err := protocol.ReadFrame(c.reader, protocol.MaxFrameBytes)
		if err != nil {
			c.t.Fatal(err)
		}
		if len(f.Responses) != 1 || f.Responses[0].RequestID != c.number {
			c.t.Fatalf("response to %+v: %+v", command, f)
		}
		if last = f.Responses[0]; !last.NotLeader && !last.Unknown {
			return last.Reply
		}
	}
	c.t.Fatalf("last response to %+v: %+v", command, last)
	return statemachine.Reply{}
}

// readTotal reads the total of a counter from a server's counter listener by adding 0 to it. It repeats the call until it
// succeeds.
func readTotal(t *testing.T, addr, name string) (text string) {
	t.Helper()
	client := http.Client{Timeout: startTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	status := ""
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		answer, err := client.Post(fmt.Sprintf("http://%s/counters/%s?by=0&expire_ms=60000", addr, name), "", nil)
		if err != nil { // the outcome is unknown, but the call would add 0
			status = err.Error()
			continue
		}
		body, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if status = answer.Status; answer.StatusCode == http.StatusOK {
			return string(body)
		}
	}
	t.Fatalf("%s at %s: %s", name, addr, status)
	return ""
}

// Servers of this build start on the data directories of the recorded code, keep their identities, and serve everything that was
// acknowledged: totals, reported and unreported usage of an active holder, the unreported usage of an expired holder added once,
// markers of deliveries and the last batch of usage that was returned.
func TestServersStartOnRecordedData(t *testing.T) {
	leakcheck.Check(t)
	want := readAcknowledged(t)
	config := startRecordedServers(t, len(want.Incarnations))
	for i, member := range config.Members {
		checkIdentity(t, member, i, want)
		for name, sum := range want.Totals {
			if got := readTotal(t, member.CounterAddress, name); got != fmt.Sprint(sum) {
				t.Errorf("%s is %s on server %d, %v was acknowledged", name, got, i, sum)
			}
		}
	}
	c := newClient(t, config.Members[1].PeerAddress)
	for i := range 6 {
		checkActiveHolder(t, c, i, want)
	}
	checkExpiredHolder(t, c, want)
	checkUsage(t, config, want)
}

func checkIdentity(t *testing.T, member server.MemberConfig, number int, want *acknowledged) {
	t.Helper()
	answer, err := server.SendCommand(member.PeerAddress, &protocol.Admin{Operation: protocol.OperationStatus}, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if answer.Replica != number || answer.Incarnation != want.Incarnations[number] || answer.Cluster != want.Cluster {
		t.Errorf("server %d has number %d, incarnation %08x and cluster %016x; recorded are incarnation %08x and cluster %016x", number, answer.Replica,
			answer.Incarnation, answer.Cluster, want.Incarnations[number], want.Cluster)
	}
}

// checkActiveHolder sends commands with a lower version than the recorded ones. They change nothing, and are answered with the
// current state.
func checkActiveHolder(t *testing.T, c *client, i int, want *acknowledged) {
	t.Helper()
	name := fmt.Sprint("name-", i)
	report := c.request(statemachine.Command{Kind: statemachine.ReportUsage, Holder: "edge-a.1", Key: name, Amount: 1, Version: 1, TTL: 60})
	if report.Code != statemachine.Done || report.HolderTotal != 100+float64(i) || report.Total != want.Totals[name] {
		t.Errorf("reply to the holder's report of %s: %+v", name, report)
	}
	record := c.request(statemachine.Command{Kind: statemachine.RecordUnreported, Holder: "edge-a.1", Key: name, Amount: 1, Version: 1, TTL: 60})
	if record.Code != statemachine.Done || record.HolderTotal != 110+float64(i) {
		t.Errorf("reply to the holder's unreported usage of %s: %+v", name, record)
	}
	marker := c.request(statemachine.Command{Kind: statemachine.AcquireMarker, Holder: "edge-b.1", Key: fmt.Sprint("invocation-", i), Scope: "elsewhere", TTL: 60})
	if marker.Code != statemachine.MarkerHeld || marker.MarkerHolder != "edge-a.1" {
		t.Errorf("reply to a second delivery of invocation %d: %+v", i, marker)
	}
}

func checkExpiredHolder(t *testing.T, c *client, want *acknowledged) {
	t.Helper()
	reply := c.request(statemachine.Command{Kind: statemachine.ReportUsage, Holder: "edge-gone.1", Key: "put-back", Amount: 99, Version: 9, TTL: 60})
	if reply.Code != statemachine.LeaseExpired || reply.HolderTotal != 9.5 || reply.Total != want.Totals["put-back"] {
		t.Errorf("reply to an expired holder's report: %+v", reply)
	}
}

// checkUsage requests the last returned batch again, and the next one, which has the usage that was metered after it.
func checkUsage(t *testing.T, config *server.ClusterConfig, want *acknowledged) {
	t.Helper()
	collect := func(batch uint64) []statemachine.CustomerUsage {
		last := ""
		for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			answer, err := server.SendCommand(config.Members[2].PeerAddress, &protocol.Admin{Operation: protocol.OperationCollectUsage, Batch: batch}, 5*time.Second)
			if err == nil {
				return answer.Usage
			}
			if last = err.Error(); !strings.Contains(last, "did not answer") {
				break
			}
		}
		t.Fatalf("batch %d: %s", batch, last)
		return nil
	}
	if got := collect(1); !reflect.DeepEqual(sortedUsage(got), sortedUsage(want.Batch)) {
		t.Errorf("batch 1 is %+v, want %+v", got, want.Batch)
	}
	if got := collect(2); !reflect.DeepEqual(got, []statemachine.CustomerUsage{{Customer: "plan-a customer-1", Units: 7.75}}) {
		t.Errorf("batch 2 is %+v", got)
	}
}

// sortedUsage returns the lines of a batch in sorted order, because groups answer in any order.
func sortedUsage(uses []statemachine.CustomerUsage) (all []string) {
	for _, u := range uses {
		all = append(all, fmt.Sprint(u.Customer, " ", u.Units))
	}
	slices.Sort(all)
	return all
}
