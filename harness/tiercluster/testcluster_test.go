package tiercluster

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/harness/tierhost"
)

var (
	program string
	network atomic.Int32
)

const (
	limit = 20 * time.Second // for whatever a cluster has to come to
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tiercluster")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "otterseam-tier")
	if out, err := exec.Command("go", "build", "-o", program, "otterseam/cmd/otterseam-tier").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// world is a cluster with two engines, a plain host and a configuration in force.
type world struct {
	*testing.T
	cluster *Cluster
	engines []*tierhost.Host
	records *tierhost.Host
	next    int
}

// newWorld starts a cluster of 3 control machines and so many stores, which bears the loss of one machine.
func newWorld(t *testing.T, stores int) *world {
	t.Helper()
	return startWorld(t, Options{Controls: 3, Stores: stores, ToleratedLosses: 1})
}

// startWorld starts a cluster of so many machines, two fronts at least. Where it listens and writes is chosen here.
func startWorld(t *testing.T, options Options) *world {
	t.Helper()
	options.Program = program
	options.Dir = t.TempDir()
	options.Network = int(network.Add(1))
	options.ProcessID = os.Getpid()
	options.Fronts = max(options.Fronts, 2)
	cluster, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{T: t, cluster: cluster}
	t.Cleanup(func() {
		if t.Failed() {
			state, err := cluster.Status()
			t.Logf("control is %+v, %v", state.Control, err)
		}
		cluster.Stop()
		if t.Failed() {
			w.showLogs()
		}
	})
	for _, id := range []string{"engine-1", "engine-2"} {
		w.engines = append(w.engines, w.addHost(id, "engine"))
	}
	w.records = w.addHost("records-1", "records")
	w.replace(0, 1, http.StatusOK)
	if err := cluster.WaitReady(limit); err != nil {
		t.Fatal(err)
	}
	w.waitServed()
	return w
}

func (w *world) showLogs() {
	names, _ := filepath.Glob(filepath.Join(w.cluster.options.Dir, "*.log"))
	for _, name := range names {
		if text, err := os.ReadFile(name); err == nil && len(text) > 0 {
			w.Logf("%s:\n%s", filepath.Base(name), text)
		}
	}
}

func (w *world) addHost(id, service string) *tierhost.Host {
	w.Helper()
	host, err := w.cluster.AddHost(id, service, 8)
	if err != nil {
		w.Fatal(err)
	}
	return host
}

func (w *world) replace(base, version uint64, want int) {
	w.Helper()
	if got := w.cluster.ReplaceConfig(base, Config(version), limit); got.Err != nil || got.Status != want {
		w.Fatalf("version %d on %d: status %d, %v", version, base, got.Status, got.Err)
	}
}

func (w *world) id() string {
	w.next++
	return fmt.Sprintf("%08x", w.next)
}

// call sends a request to a front.
func (w *world) call(front int, method, path string, header map[string]string, body string) (Response, string) {
	id := w.id()
	all := map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000"}
	for name, value := range header {
		all[name] = value
	}
	return Call(method, "http://"+w.cluster.FrontAddresses()[front]+path, ExampleHost, all, body), id
}

// turn asks for a turn, again for as long as it is refused with a promise.
func (w *world) turn(front int, program, previous, budget string, tokens int, body string) (Response, string) {
	w.Helper()
	header := map[string]string{"Program": program, "Session": "s", "X-Token-Count": fmt.Sprintf("10,%d", tokens)}
	if previous != "" {
		header["Previous"] = previous
	}
	if budget != "" {
		header["Budget"] = budget
	}
	var got Response
	var id string
	err := WaitUntil(limit, func() bool {
		got, id = w.call(front, http.MethodPost, "/chat/x", header, body)
		return got.Err == nil && got.Status != http.StatusServiceUnavailable
	})
	if err != nil {
		w.Fatalf("turn of %s: %v, last %+v", program, err, got)
	}
	return got, id
}

func (w *world) turnOK(front int, program, previous, budget string, tokens int, body string) string {
	w.Helper()
	got, id := w.turn(front, program, previous, budget, tokens, body)
	if got.Status != http.StatusOK {
		w.Fatalf("turn of %s: %+v", program, got)
	}
	return id
}

// waitServed waits until both fronts reach hosts and stores.
func (w *world) waitServed() {
	w.Helper()
	for front := range w.cluster.FrontAddresses() {
		w.turnOK(front, fmt.Sprintf("warm-%d", front), "", "", 3, "x")
		err := WaitUntil(limit, func() bool {
			got, _ := w.call(front, http.MethodGet, "/lookup/x", nil, "")
			return got.Status == http.StatusOK
		})
		if err != nil {
			w.Fatal(err)
		}
	}
}

// ran finds what the engines ran for a request.
func (w *world) ran(id string) []tierhost.Execution {
	var runs []tierhost.Execution
	for _, host := range append([]*tierhost.Host{w.records}, w.engines...) {
		for _, run := range host.Executions() {
			if run.RequestID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// waitCopies waits until every shard and control have all their copies again, as their processes' logs and answers show: a
// machine that is emptied is refused while one more loss could not be borne.
func (w *world) waitCopies() {
	w.Helper()
	if err := WaitUntil(limit, func() bool { return w.cluster.IsInSync(3) }); err != nil {
		w.Fatal(err)
	}
}

func (w *world) start(machine *Machine) {
	w.Helper()
	if err := w.cluster.StartMachine(machine); err != nil {
		w.Fatal(err)
	}
}
