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

// The data folders of a whole tier as the build of commit 1895881 left them when all its processes were killed at once, and what
// that tier had acknowledged. testdata/recorder wrote both.
const (
	recordedFolders = "testdata/tier-1895881.tar.gz"
	recordedFacts   = "testdata/tier-1895881.json"
)

// The stored data names addresses of the tier's processes, so that it comes up on the same ones: those of network 250 with the
// usual ports, which no other test uses.
const recordedNetwork = 250

// recordedBatch is how long a run of the test may wait for another one on this computer, which needs the same addresses.
const recordedBatch = 2 * time.Minute

// recording is what the recorded tier had acknowledged.
type recording struct {
	Version      uint64
	Config       string
	Hosts        []struct{ ID, Service, Address string }
	Deregistered string
	Programs     []recordedProgram
	Retired      []string // store machines whose retirement was complete
	Retiring     []string // store machines whose retirement had just begun
	Rewritten    []string // folders with a journal that had been replaced by a snapshot
}

type recordedProgram struct {
	Name     string
	Spent    int    // tokens, with the estimate of a turn that was under way
	LastTurn string // its newest kept turn
	Chain    string // what a turn that goes on from it is given
}

// A tier that the build of 1895881 wrote, killed in the middle of its work, comes up with all it acknowledged.
func TestATierRecordedByAnOlderBuildIsServedInFull(t *testing.T) {
	claimRecordedAddresses(t)
	var recorded recording
	text, err := os.ReadFile(recordedFacts)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &recorded); err != nil {
		t.Fatal(err)
	}
	w := recordedWorld(t)
	w.checkRecordedFolders(recorded)
	for _, machine := range w.cluster.Machines {
		if strings.HasPrefix(machine.Name, "core-") {
			w.start(machine)
		}
	}
	w.checkRecordedControl(recorded)
	for _, host := range recorded.Hosts {
		w.startRecordedHost(host.ID, host.Service, host.Address)
	}
	for _, machine := range w.cluster.Machines {
		if !strings.HasPrefix(machine.Name, "core-") {
			w.start(machine)
		}
	}
	if err := w.cluster.WaitReady(limit); err != nil {
		t.Fatal(err)
	}
	w.checkRecordedPrograms(recorded.Programs)
	w.checkRecordedRetirements(recorded)
	w.checkDeregistered(recorded.Deregistered)

	w.replace(recorded.Version-1, recorded.Version+1, http.StatusPreconditionFailed)
	w.replace(recorded.Version, recorded.Version+1, http.StatusOK)
	w.checkRecordedPrograms(recorded.Programs[:1])
}

// claimRecordedAddresses waits until no other run of the test has the addresses.
func claimRecordedAddresses(t *testing.T) {
	t.Helper()
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "otterseam-recorded-tier.lock"), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lock.Close() })
	err = WaitUntil(recordedBatch, func() bool { return unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil })
	if err != nil {
		t.Fatalf("another run holds the addresses: %v", err)
	}
}

// recordedWorld is a cluster whose machines are down and have the recorded disks.
func recordedWorld(t *testing.T) *world {
	t.Helper()
	dir := t.TempDir()
	if err := unpack(recordedFolders, filepath.Join(dir, "data")); err != nil {
		t.Fatal(err)
	}
	late := []string{"core-1", "core-2", "core-3", "storage-1", "storage-2", "storage-3", "storage-4", "front-1", "front-2"}
	cluster, err := Start(Options{
		Program: program, Dir: dir, Network: recordedNetwork, Fronts: 2, Controls: 3, Stores: 4, ToleratedLosses: 1, InitiallyDown: late,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range late {
		cluster.hasStarted[name] = true
	}
	w := &world{T: t, cluster: cluster, next: 1 << 24}
	t.Cleanup(func() {
		cluster.Stop()
		if t.Failed() {
			w.showLogs()
		}
	})
	return w
}

// unpack writes the files of an archive below a folder.
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

// checkRecordedFolders has the recording hold what the test is about: members of control and stores with a snapshot.
func (w *world) checkRecordedFolders(recorded recording) {
	w.Helper()
	classes := map[string]int{}
	for _, folder := range recorded.Rewritten {
		class, _, _ := strings.Cut(folder, "-")
		classes[class]++
		if _, err := os.Stat(filepath.Join(w.cluster.options.Dir, "data", folder)); err != nil {
			w.Fatal(err)
		}
	}
	if classes["core"] == 0 || classes["storage"] == 0 {
		w.Fatalf("journals with a snapshot: %v", recorded.Rewritten)
	}
}

// checkRecordedControl checks what control alone has: hosts before any of them was heard again, and the configuration.
func (w *world) checkRecordedControl(recorded recording) { //nolint:cyclop // a test of recorded data changes in its identifiers alone
	w.Helper()
	var state status.Status
	err := WaitUntil(limit, func() bool {
		var err error
		state, err = w.cluster.Status()
		return err == nil && state.ConfigVersion == recorded.Version
	})
	if err != nil {
		w.Fatalf("%v, version %d, not %d", err, state.ConfigVersion, recorded.Version)
	}
	for _, host := range recorded.Hosts {
		found := false
		for _, each := range state.Hosts {
			found = found || each.ID == host.ID && each.Service == host.Service && each.Address == host.Address
		}
		if !found {
			w.Fatalf("host %+v is not among %+v", host, state.Hosts)
		}
	}
	if len(state.Hosts) != len(recorded.Hosts) {
		w.Fatalf("hosts are %+v", state.Hosts)
	}
	for _, control := range w.cluster.ControlAddresses() {
		var got Response
		err := WaitUntil(limit, func() bool {
			got = Call(http.MethodGet, "http://"+control+"/v1/config/read", control, nil, "")
			return got.Err == nil && got.Status != http.StatusServiceUnavailable
		})
		if err != nil || got.Status != http.StatusOK || got.Body != recorded.Config {
			w.Fatalf("%s reads back %+v, %v", control, got, err)
		}
	}
}

// startRecordedHost starts a stand-in host at the address that it had.
func (w *world) startRecordedHost(id, service, at string) {
	w.Helper()
	host := &tierhost.Host{ID: id, Service: service, Slots: 8, Controls: w.cluster.ControlAddresses}
	if err := host.Start(at); err != nil {
		w.Fatal(err)
	}
	w.cluster.Hosts = append(w.cluster.Hosts, host)
	switch service {
	case "engine":
		w.engines = append(w.engines, host)
	case "records":
		w.records = host
	}
}

// checkRecordedPrograms checks for each program that its tokens are spent, neither more nor less, and that its turns are kept.
func (w *world) checkRecordedPrograms(programs []recordedProgram) {
	w.Helper()
	const more = 3 // tokens
	for i, p := range programs {
		spent := p.Spent
		for _, previous := range []string{"", p.LastTurn} {
			if got, _ := w.turn(i%2, p.Name, previous, fmt.Sprint(spent+more-1), more, "x"); got.Status != http.StatusPaymentRequired {
				w.Fatalf("%+v past its budget of %d: %+v", p, spent+more-1, got)
			}
			body := "more of " + p.Name
			id := w.turnOK(i%2, p.Name, previous, fmt.Sprint(spent+more), more, body)
			spent += more
			want := body
			if previous != "" {
				want = p.Chain + body
			}
			if runs := w.ran(id); len(runs) != 1 || runs[0].Body != want {
				w.Fatalf("the host got %+v for %+v, not %q", runs, p, want)
			}
		}
		other := w.turnOK((i+1)%2, "another", p.LastTurn, "", more, "apart")
		if runs := w.ran(other); len(runs) != 1 || runs[0].Body != p.Chain+"apart" {
			w.Fatalf("the host got %+v for another program, not %q", runs, p.Chain+"apart")
		}
		programs[i].Spent = spent
	}
	if got, _ := w.turn(0, "another", "00000000", "", more, "x"); got.Status != http.StatusNotFound {
		w.Fatalf("a turn that never was: %+v", got)
	}
}

// checkRecordedRetirements checks that retirements are known and complete, also one that was begun when all was killed.
func (w *world) checkRecordedRetirements(recorded recording) {
	w.Helper()
	read := func(node string) Response {
		return Call(http.MethodGet, "http://"+w.cluster.ControlAddresses()[0]+"/v1/retire/"+node+"/read", "", nil, "")
	}
	for _, node := range append(slices.Clone(recorded.Retired), recorded.Retiring...) {
		var got Response
		err := WaitUntil(limit, func() bool {
			if got = read(node); got.Status == http.StatusNotFound {
				w.Fatalf("the retirement of %s is not known: %+v", node, got)
			}
			return got.Status == http.StatusOK && strings.Contains(got.Body, `"completed"`)
		})
		if err != nil {
			w.Fatalf("the retirement of %s: %+v, %v", node, got, err)
		}
	}
	if got := read("storage-1"); got.Status != http.StatusNotFound {
		w.Fatalf("storage-1 was never retired: %+v", got)
	}
}

// checkDeregistered checks that a host that had left for good isn't taken back by a late heartbeat.
func (w *world) checkDeregistered(id string) {
	w.Helper()
	const beat = `{"service":"records","address":"127.0.250.1:9004","zone":"zone-a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq_no":1000000}`
	var got Response
	err := WaitUntil(limit, func() bool {
		got = Call(http.MethodPost, "http://"+w.cluster.ControlAddresses()[0]+"/v1/instances/"+id+"/heartbeat", "", nil, beat)
		return got.Err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		w.Fatalf("late heartbeat of %s: %+v, %v", id, got, err)
	}
	state, err := w.cluster.Status()
	if err != nil {
		w.Fatal(err)
	}
	for _, host := range state.Hosts {
		if host.ID == id {
			w.Fatalf("%s was deregistered and is back: %+v", id, state.Hosts)
		}
	}
}
