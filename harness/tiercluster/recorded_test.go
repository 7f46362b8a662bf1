package tiercluster

import (
	"archive/tar"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"otterseam/harness/tierhost"
	"otterseam/tier/status"
)

// The data directories of a complete tier of the build of commit 1895881 after all its processes were killed at once, and the data that
// this tier had acknowledged. testdata/recorder wrote both.
const (
	recordedData  = "testdata/tier-1895881.tar.gz"
	recordedState = "testdata/tier-1895881.json"
)

// recordedNetwork is the network of the recorded addresses. The stored data contains the addresses of the tier's processes, so the test
// has to use the same ones: network 250 with the default ports, which no other test uses.
const recordedNetwork = 250

// recordedLockTimeout limits how long a run of the test waits for another run on this computer, which uses the same addresses.
const recordedLockTimeout = 2 * time.Minute

// recording is the data that the recorded tier had acknowledged. It is read from JSON by its field names.
type recording struct {
	Version      uint64
	Config       string
	Hosts        []struct{ ID, Service, Address string }
	Deregistered string
	Programs     []recordedProgram
	Retired      []string // store machines whose retirement was complete
	Retiring     []string // store machines whose retirement had just begun
	Rewritten    []string // directories whose journal had been replaced by a snapshot
}

type recordedProgram struct {
	Name     string
	Spent    int    // tokens, including the estimate for a turn in progress
	LastTurn string // newest stored turn
	Chain    string // history that precedes the body of a turn that continues LastTurn
}

// Guards against a build that can't read older data: a tier starts with the disks of the build of 1895881, which was killed while it
// handled requests, and has to serve all acknowledged data.
func TestTierOfAnOlderBuildServesAllAcknowledgedData(t *testing.T) {
	lockRecordedAddresses(t)
	var recorded recording
	text, err := os.ReadFile(recordedState)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &recorded); err != nil {
		t.Fatal(err)
	}
	c := newRecordedCluster(t)
	c.checkRecordedSnapshots(recorded)
	for _, machine := range c.cluster.Machines {
		if strings.HasPrefix(machine.Name, "core-") {
			c.start(machine)
		}
	}
	c.checkRecordedControl(recorded)
	for _, host := range recorded.Hosts {
		c.startRecordedHost(host.ID, host.Service, host.Address)
	}
	for _, machine := range c.cluster.Machines {
		if !strings.HasPrefix(machine.Name, "core-") {
			c.start(machine)
		}
	}
	if err := c.cluster.WaitReady(limit); err != nil {
		t.Fatal(err)
	}
	c.checkRecordedPrograms(recorded.Programs)
	c.checkRecordedRetirements(recorded)
	c.checkDeregistered(recorded.Deregistered)

	c.replace(recorded.Version-1, recorded.Version+1, http.StatusPreconditionFailed)
	c.replace(recorded.Version, recorded.Version+1, http.StatusOK)
	c.checkRecordedPrograms(recorded.Programs[:1])
}

// lockRecordedAddresses waits until no other run of the test uses the addresses, and locks them until the test ends.
func lockRecordedAddresses(t *testing.T) {
	t.Helper()
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "otterseam-recorded-tier.lock"), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lock.Close() })
	err = WaitUntil(recordedLockTimeout, func() bool { return unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil })
	if err != nil {
		t.Fatalf("another run uses the addresses: %v", err)
	}
}

// newRecordedCluster returns a cluster whose machines are down and have the recorded disks.
func newRecordedCluster(t *testing.T) *testCluster {
	t.Helper()
	dir := t.TempDir()
	if err := unpack(recordedData, filepath.Join(dir, "data")); err != nil {
		t.Fatal(err)
	}
	allMachines := []string{"core-1", "core-2", "core-3", "storage-1", "storage-2", "storage-3", "storage-4", "front-1", "front-2"}
	cluster, err := Start(Options{
		Program: program, Dir: dir, Network: recordedNetwork, Fronts: 2, Controls: 3, Stores: 4, ToleratedLosses: 1, InitiallyDown: allMachines,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range allMachines {
		cluster.hasStarted[name] = true
	}
	c := &testCluster{T: t, cluster: cluster, lastID: 1 << 24}
	t.Cleanup(func() {
		cluster.Stop()
		if t.Failed() {
			c.showLogs()
		}
	})
	return c
}

// unpack extracts a gzip-compressed tar archive into a directory.
func unpack(archive, dir string) error {
	file, err := os.Open(archive)
	if err != nil {
		return err
	}
	defer file.Close()
	zip, err := gzip.NewReader(file)
	if err != nil {
		return err
	}
	files := tar.NewReader(zip)
	for {
		header, err := files.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		path := filepath.Join(dir, filepath.FromSlash(header.Name))
		if header.Typeflag == tar.TypeDir {
			if err := os.MkdirAll(path, 0o755); err != nil {
				return err
			}
			continue
		}
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		content, err := io.ReadAll(files)
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, content, 0o644); err != nil {
			return err
		}
	}
}

// checkRecordedSnapshots checks that the recording covers control members and stores whose journal was replaced by a snapshot.
func (c *testCluster) checkRecordedSnapshots(recorded recording) {
	c.Helper()
	classes := map[string]int{}
	for _, folder := range recorded.Rewritten {
		class, _, _ := strings.Cut(folder, "-")
		classes[class]++
		if _, err := os.Stat(filepath.Join(c.cluster.options.Dir, "data", folder)); err != nil {
			c.Fatal(err)
		}
	}
	if classes["core"] == 0 || classes["storage"] == 0 {
		c.Fatalf("directories with a snapshot: %v", recorded.Rewritten)
	}
}

// checkRecordedControl checks the data that only control has: the configuration, and the hosts before any of them sends a heartbeat.
func (c *testCluster) checkRecordedControl(recorded recording) { //nolint:cyclop // tests of recorded data are not restructured
	c.Helper()
	var state status.Status
	err := WaitUntil(limit, func() bool {
		var err error
		state, err = c.cluster.Status()
		return err == nil && state.ConfigVersion == recorded.Version
	})
	if err != nil {
		c.Fatalf("%v, version %d, not %d", err, state.ConfigVersion, recorded.Version)
	}
	for _, host := range recorded.Hosts {
		found := false
		for _, each := range state.Hosts {
			found = found || each.ID == host.ID && each.Service == host.Service && each.Address == host.Address
		}
		if !found {
			c.Fatalf("host %+v is missing in %+v", host, state.Hosts)
		}
	}
	if len(state.Hosts) != len(recorded.Hosts) {
		c.Fatalf("unexpected number of hosts: %+v", state.Hosts)
	}
	for _, control := range c.cluster.ControlAddresses() {
		var got Response
		err := WaitUntil(limit, func() bool {
			got = Call(http.MethodGet, "http://"+control+"/v1/config/read", control, nil, "")
			return got.Err == nil && got.Status != http.StatusServiceUnavailable
		})
		if err != nil || got.Status != http.StatusOK || got.Body != recorded.Config {
			c.Fatalf("%s returns %+v, %v", control, got, err)
		}
	}
}

// startRecordedHost starts a stand-in host at its recorded address.
func (c *testCluster) startRecordedHost(id, service, at string) {
	c.Helper()
	host := &tierhost.Host{ID: id, Service: service, Slots: 8, Controls: c.cluster.ControlAddresses}
	if err := host.Start(at); err != nil {
		c.Fatal(err)
	}
	c.cluster.Hosts = append(c.cluster.Hosts, host)
	switch service {
	case "engine":
		c.engines = append(c.engines, host)
	case "records":
		c.records = host
	}
}

// checkRecordedPrograms checks for each program that exactly the recorded tokens are spent and that its turns are still stored. It
// spends more tokens and updates programs.
func (c *testCluster) checkRecordedPrograms(programs []recordedProgram) {
	c.Helper()
	const more = 3 // tokens
	for i, p := range programs {
		spent := p.Spent
		for _, previous := range []string{"", p.LastTurn} {
			if got, _ := c.turn(i%2, p.Name, previous, fmt.Sprint(spent+more-1), more, "x"); got.Status != http.StatusPaymentRequired {
				c.Fatalf("%+v exceeds its budget of %d: %+v", p, spent+more-1, got)
			}
			body := "more of " + p.Name
			id := c.turnOK(i%2, p.Name, previous, fmt.Sprint(spent+more), more, body)
			spent += more
			want := body
			if previous != "" {
				want = p.Chain + body
			}
			if runs := c.executions(id); len(runs) != 1 || runs[0].Body != want {
				c.Fatalf("hosts executed %+v for %+v, want %q", runs, p, want)
			}
		}
		other := c.turnOK((i+1)%2, "another", p.LastTurn, "", more, "apart")
		if runs := c.executions(other); len(runs) != 1 || runs[0].Body != p.Chain+"apart" {
			c.Fatalf("hosts executed %+v for another program, want %q", runs, p.Chain+"apart")
		}
		programs[i].Spent = spent
	}
	if got, _ := c.turn(0, "another", "00000000", "", more, "x"); got.Status != http.StatusNotFound {
		c.Fatalf("previous turn that doesn't exist: %+v", got)
	}
}

// checkRecordedRetirements checks that all recorded retirements are found and complete, including one that had just begun when the
// processes were killed.
func (c *testCluster) checkRecordedRetirements(recorded recording) {
	c.Helper()
	read := func(node string) Response {
		return Call(http.MethodGet, "http://"+c.cluster.ControlAddresses()[0]+"/v1/retire/"+node+"/read", "", nil, "")
	}
	for _, node := range append(slices.Clone(recorded.Retired), recorded.Retiring...) {
		var got Response
		err := WaitUntil(limit, func() bool {
			if got = read(node); got.Status == http.StatusNotFound {
				c.Fatalf("retirement of %s not found: %+v", node, got)
			}
			return got.Status == http.StatusOK && strings.Contains(got.Body, `"completed"`)
		})
		if err != nil {
			c.Fatalf("retirement of %s not completed: %+v, %v", node, got, err)
		}
	}
	if got := read("storage-1"); got.Status != http.StatusNotFound {
		c.Fatalf("storage-1 was never retired: %+v", got)
	}
}

// checkDeregistered checks that a late heartbeat doesn't register a deregistered host again.
func (c *testCluster) checkDeregistered(id string) {
	c.Helper()
	const lateHeartbeat = `{"service":"records","address":"127.0.250.1:9004","zone":"zone-a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq_no":1000000}`
	var got Response
	err := WaitUntil(limit, func() bool {
		got = Call(http.MethodPost, "http://"+c.cluster.ControlAddresses()[0]+"/v1/instances/"+id+"/heartbeat", "", nil, lateHeartbeat)
		return got.Err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		c.Fatalf("late heartbeat of %s: %+v, %v", id, got, err)
	}
	state, err := c.cluster.Status()
	if err != nil {
		c.Fatal(err)
	}
	for _, host := range state.Hosts {
		if host.ID == id {
			c.Fatalf("%s was deregistered and is listed again: %+v", id, state.Hosts)
		}
	}
}
