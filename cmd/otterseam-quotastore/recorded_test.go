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

// recordedFolder holds the folders of three servers as processes of the code of commit 1895881 left them when they were killed,
// the database files compressed, and what had been acknowledged until then.
const recordedFolder = "testdata/recorded"

// startLimit is for how long the servers may take to serve, in seconds. Names live for a minute of the groups' own clock,
// which stands still while a group has no leader.
const startLimit = 30 * time.Second

// acknowledged is what the recorded servers had acknowledged.
type acknowledged struct {
	Cluster uint64                       `json:"cluster"`
	Lives   []uint32                     `json:"lives"`
	Totals  map[string]float64           `json:"totals"`
	Batch   []statemachine.CustomerUsage `json:"batch"`
}

// unpack copies a recorded server's folder, and unpacks its database.
func unpack(t *testing.T, from, to string) {
	t.Helper()
	if err := os.MkdirAll(to, 0o755); err != nil {
		t.Fatal(err)
	}
	packed, err := os.Open(filepath.Join(from, "held.db.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	plain, err := gzip.NewReader(packed)
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

// readAcknowledged reads what the recorded servers had acknowledged.
func readAcknowledged(t *testing.T) *acknowledged {
	t.Helper()
	encoded, err := os.ReadFile(filepath.Join(recordedFolder, "acknowledged.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := &acknowledged{}
	if err := json.Unmarshal(encoded, want); err != nil {
		t.Fatal(err)
	}
	return want
}

// recordedConfig configures the recorded servers, at free addresses.
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

// startRecorded starts servers of this build on the recorded folders, and waits until each group has a leader.
func startRecorded(t *testing.T, servers int) *server.ClusterConfig {
	t.Helper()
	dir := t.TempDir()
	program := buildProgram(t, dir)
	config := recordedConfig(t, servers) // after the build, which takes longer than an address stays free
	encoded, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "list.json")
	if err := os.WriteFile(path, encoded, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, member := range config.Members {
		unpack(t, filepath.Join(recordedFolder, member.Name), filepath.Join(dir, member.Name, "held"))
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
	for until := time.Now().Add(startLimit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
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
	t.Fatalf("%d of %d groups have a leader after %v", len(led), config.Groups, startLimit)
}

// client is a stream to a server, as a gateway has one.
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

// request asks until a group's leader has answered: all that is asked here may be asked again, as it changes nothing.
func (c *client) request(command statemachine.Command) statemachine.Reply {
	c.t.Helper()
	var last protocol.Response
	for until := time.Now().Add(startLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
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
			c.t.Fatalf("%+v is answered %+v", command, f)
		}
		if last = f.Responses[0]; !last.NotLeader && !last.Unknown {
			return last.Reply
		}
	}
	c.t.Fatalf("%+v is still answered %+v", command, last)
	return statemachine.Reply{}
}

// total asks one server's counter listener for a total, by adding nothing to it. Only a call that was rejected is made again.
func total(t *testing.T, addr, name string) (text string) {
	t.Helper()
	client := http.Client{Timeout: startLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	status := ""
	for until := time.Now().Add(startLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		answer, err := client.Post(fmt.Sprintf("http://%s/counters/%s?by=0&expire_ms=60000", addr, name), "", nil)
		if err != nil { // nothing is known of it; it added nothing
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

// Servers of this build start on folders that the recorded code left behind, are the servers that they were, and serve all
// that was acknowledged: totals, reported and unreported usage of a living holder, a dead holder's unreported usage added once,
// markers of deliveries and the batch of usage handed out last.
func TestRecordedFoldersAreServed(t *testing.T) {
	leakcheck.Check(t)
	want := readAcknowledged(t)
	config := startRecorded(t, len(want.Lives))
	for i, member := range config.Members {
		checkIdentity(t, member, i, want)
		for name, sum := range want.Totals {
			if got := total(t, member.CounterAddress, name); got != fmt.Sprint(sum) {
				t.Errorf("%s stands at %s at server %d, %v was acknowledged", name, got, i, sum)
			}
		}
	}
	c := newClient(t, config.Members[1].PeerAddress)
	for i := range 6 {
		checkLivingHolder(t, c, i, want)
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
	if answer.Replica != number || answer.Incarnation != want.Lives[number] || answer.Cluster != want.Cluster {
		t.Errorf("server %d is number %d, incarnation %08x of cluster %016x; incarnation %08x of %016x was recorded", number, answer.Replica,
			answer.Incarnation, answer.Cluster, want.Lives[number], want.Cluster)
	}
}

// checkLivingHolder sends commands of a lower version than the recorded ones: they change nothing, and are answered with what
// stands.
func checkLivingHolder(t *testing.T, c *client, i int, want *acknowledged) {
	t.Helper()
	name := fmt.Sprint("name-", i)
	report := c.request(statemachine.Command{Kind: statemachine.ReportUsage, Holder: "edge-a.1", Key: name, Amount: 1, Version: 1, TTL: 60})
	if report.Code != statemachine.Done || report.HolderTotal != 100+float64(i) || report.Total != want.Totals[name] {
		t.Errorf("the holder's report of %s is answered %+v", name, report)
	}
	record := c.request(statemachine.Command{Kind: statemachine.RecordUnreported, Holder: "edge-a.1", Key: name, Amount: 1, Version: 1, TTL: 60})
	if record.Code != statemachine.Done || record.HolderTotal != 110+float64(i) {
		t.Errorf("the holder's unreported usage of %s is answered %+v", name, record)
	}
	marker := c.request(statemachine.Command{Kind: statemachine.AcquireMarker, Holder: "edge-b.1", Key: fmt.Sprint("invocation-", i), Scope: "elsewhere", TTL: 60})
	if marker.Code != statemachine.MarkerHeld || marker.MarkerHolder != "edge-a.1" {
		t.Errorf("a second delivery of invocation %d is answered %+v", i, marker)
	}
}

func checkExpiredHolder(t *testing.T, c *client, want *acknowledged) {
	t.Helper()
	reply := c.request(statemachine.Command{Kind: statemachine.ReportUsage, Holder: "edge-gone.1", Key: "put-back", Amount: 99, Version: 9, TTL: 60})
	if reply.Code != statemachine.LeaseExpired || reply.HolderTotal != 9.5 || reply.Total != want.Totals["put-back"] {
		t.Errorf("an expired holder's report is answered %+v", reply)
	}
}

// checkUsage asks for the batch handed out last once more, and for the next: what was counted after the one before.
func checkUsage(t *testing.T, config *server.ClusterConfig, want *acknowledged) {
	t.Helper()
	take := func(batch uint64) []statemachine.CustomerUsage {
		last := ""
		for until := time.Now().Add(startLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
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
	if got := take(1); !reflect.DeepEqual(sorted(got), sorted(want.Batch)) {
		t.Errorf("batch 1 is %+v, %+v was handed out", got, want.Batch)
	}
	if got := take(2); !reflect.DeepEqual(got, []statemachine.CustomerUsage{{Customer: "plan-a customer-1", Units: 7.75}}) {
		t.Errorf("batch 2 is %+v", got)
	}
}

// sorted gives a batch's lines in one order: groups answer in any.
func sorted(uses []statemachine.CustomerUsage) (all []string) {
	for _, u := range uses {
		all = append(all, fmt.Sprint(u.Customer, " ", u.Units))
	}
	slices.Sort(all)
	return all
}
