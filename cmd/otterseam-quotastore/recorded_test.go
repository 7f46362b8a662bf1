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

// recordedFolder holds the folders of three stores as processes of the code of commit 1895881 left them when they were killed,
// the database files compressed, and what had been acknowledged until then.
const recordedFolder = "testdata/recorded"

// startLimit is for how long the stores may take to serve, in seconds. Names live for a minute of the groups' own clock,
// which stands still while a group has no leader.
const startLimit = 30 * time.Second

// acknowledged is what the recorded stores had answered for.
type acknowledged struct {
	Cluster uint64                       `json:"cluster"`
	Lives   []uint32                     `json:"lives"`
	Totals  map[string]float64           `json:"totals"`
	Batch   []statemachine.CustomerUsage `json:"batch"`
}

// unpack copies a recorded store's folder, and unpacks its database.
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

// startRecorded starts three stores of this build on the recorded folders, and waits until each group has a leader.
func startRecorded(t *testing.T) (*server.ClusterConfig, *acknowledged) {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "store")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	text, err := os.ReadFile(filepath.Join(recordedFolder, "acknowledged.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := &acknowledged{}
	if err := json.Unmarshal(text, want); err != nil {
		t.Fatal(err)
	}
	list := &server.ClusterConfig{Groups: 3, Replicas: 3, ReplaceAfter: 30, SnapshotRate: 4e6, MaxLogEntries: 64}
	for i := range want.Lives {
		spot := server.MemberConfig{Name: fmt.Sprint("keeper-", i), Zone: fmt.Sprint("zone-", i)}
		for _, to := range []*string{&spot.PeerAddress, &spot.CounterAddress} {
			if *to, err = sockets.Free(); err != nil {
				t.Fatal(err)
			}
		}
		list.Members = append(list.Members, spot)
	}
	path := filepath.Join(dir, "list.json")
	if text, err = json.Marshal(list); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, spot := range list.Members {
		unpack(t, filepath.Join(recordedFolder, spot.Name), filepath.Join(dir, spot.Name, "held"))
		process, err := childprocess.StartWith([]string{program, "run", "--list", path, "--name", spot.Name, "--dir", "held"}, spot.Name, dir)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := process.End(); err != nil {
				t.Error(err)
			}
			if log, err := os.ReadFile(process.Log); err != nil || t.Failed() {
				t.Logf("%s (%v):\n%s", process.Name, err, log)
			}
		})
	}
	awaitLeaders(t, list)
	return list, want
}

func awaitLeaders(t *testing.T, list *server.ClusterConfig) {
	t.Helper()
	led := map[int]bool{}
	for until := time.Now().Add(startLimit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		clear(led)
		for _, spot := range list.Members {
			answer, err := server.SendCommand(spot.PeerAddress, &protocol.Admin{Operation: protocol.OperationStatus}, time.Second)
			if err != nil {
				continue
			}
			for _, health := range answer.Health {
				if health.IsLeader {
					led[health.Group] = true
				}
			}
		}
		if len(led) == list.Groups {
			return
		}
	}
	t.Fatalf("%d of %d groups have a leader after %v", len(led), list.Groups, startLimit)
}

// guest is a stream to a store, as a gateway has one.
type guest struct {
	t      *testing.T
	stream net.Conn
	reader *bufio.Reader
	number uint64
}

func newGuest(t *testing.T, addr string) *guest {
	t.Helper()
	stream, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stream.Close() })
	g := &guest{t: t, stream: stream, reader: bufio.NewReader(stream)}
	g.send(protocol.ClientHello())
	return g
}

func (g *guest) send(f *protocol.Frame) {
	g.t.Helper()
	text, err := f.AppendTo(nil)
	if err != nil {
		g.t.Fatal(err)
	}
	if _, err := g.stream.Write(text); err != nil {
		g.t.Fatal(err)
	}
}

// ask asks until a group's leader has answered: all that is asked here may be asked again, as it changes nothing.
func (g *guest) ask(e statemachine.Command) statemachine.Reply {
	g.t.Helper()
	var last protocol.Response
	for until := time.Now().Add(startLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		g.number++
		g.send(protocol.RequestsFrame([]protocol.Request{{ID: g.number, Command: e}}))
		g.stream.SetReadDeadline(until)
		f, err := protocol.ReadFrame(g.reader, protocol.MaxFrameBytes)
		if err != nil {
			g.t.Fatal(err)
		}
		if len(f.Responses) != 1 || f.Responses[0].RequestID != g.number {
			g.t.Fatalf("%+v is answered %+v", e, f)
		}
		if last = f.Responses[0]; !last.NotLeader && !last.Unknown {
			return last.Reply
		}
	}
	g.t.Fatalf("%+v is still answered %+v", e, last)
	return statemachine.Reply{}
}

// total asks one store's listener for a count, by adding nothing to it. Only a call that was turned away is made again.
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

// Stores of this build start on folders that the recorded code left behind, are the stores that they were, and serve all
// that was acknowledged: totals, parts and debts of a living holder, a dead holder's debt put back once, marks of deliveries
// and the batch of use handed out last.
func TestRecordedFoldersAreServed(t *testing.T) {
	leakcheck.Check(t)
	list, want := startRecorded(t)
	for i, spot := range list.Members {
		answer, err := server.SendCommand(spot.PeerAddress, &protocol.Admin{Operation: protocol.OperationStatus}, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if answer.Replica != i || answer.Incarnation != want.Lives[i] || answer.Cluster != want.Cluster {
			t.Errorf("store %d is number %d, life %08x of installation %016x; life %08x of %016x was recorded", i, answer.Replica,
				answer.Incarnation, answer.Cluster, want.Lives[i], want.Cluster)
		}
		for name, sum := range want.Totals {
			if got := total(t, spot.CounterAddress, name); got != fmt.Sprint(sum) {
				t.Errorf("%s stands at %s at store %d, %v was acknowledged", name, got, i, sum)
			}
		}
	}
	// Words of a lower order than the recorded ones change nothing, and are answered with what stands.
	g := newGuest(t, list.Members[1].PeerAddress)
	for i := range 6 {
		name := fmt.Sprint("name-", i)
		part := g.ask(statemachine.Command{Kind: statemachine.ReportUsage, Holder: "edge-a.1", Key: name, Amount: 1, Version: 1, TTL: 60})
		if part.Code != statemachine.Done || part.HolderTotal != 100+float64(i) || part.Total != want.Totals[name] {
			t.Errorf("the holder's part of %s is answered %+v", name, part)
		}
		debt := g.ask(statemachine.Command{Kind: statemachine.RecordUnreported, Holder: "edge-a.1", Key: name, Amount: 1, Version: 1, TTL: 60})
		if debt.Code != statemachine.Done || debt.HolderTotal != 110+float64(i) {
			t.Errorf("the holder's debt for %s is answered %+v", name, debt)
		}
		mark := g.ask(statemachine.Command{Kind: statemachine.AcquireMarker, Holder: "edge-b.1", Key: fmt.Sprint("invocation-", i), Scope: "elsewhere", TTL: 60})
		if mark.Code != statemachine.MarkerHeld || mark.MarkerHolder != "edge-a.1" {
			t.Errorf("a second delivery of invocation %d is answered %+v", i, mark)
		}
	}
	dead := g.ask(statemachine.Command{Kind: statemachine.ReportUsage, Holder: "edge-gone.1", Key: "put-back", Amount: 99, Version: 9, TTL: 60})
	if dead.Code != statemachine.LeaseExpired || dead.HolderTotal != 9.5 || dead.Total != want.Totals["put-back"] {
		t.Errorf("a dead holder's word is answered %+v", dead)
	}
	checkUse(t, list, want)
}

// checkUse asks for the batch handed out last once more, and for the next: what was counted after the one before.
func checkUse(t *testing.T, list *server.ClusterConfig, want *acknowledged) {
	t.Helper()
	take := func(batch uint64) []statemachine.CustomerUsage {
		last := ""
		for until := time.Now().Add(startLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			answer, err := server.SendCommand(list.Members[2].PeerAddress, &protocol.Admin{Operation: protocol.OperationCollectUsage, Batch: batch}, 5*time.Second)
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
