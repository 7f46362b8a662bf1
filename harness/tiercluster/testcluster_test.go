package tiercluster

import (
	"fmt"
	"net/http"
	"os"
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
	limit = 20 * time.Second // for each condition that a test waits for
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
	if program, err = Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// testCluster is a running cluster with an applied configuration, two engine hosts and a records host.
type testCluster struct {
	*testing.T
	cluster *Cluster
	engines []*tierhost.Host
	records *tierhost.Host
	lastID  int
}

// newTestCluster starts a cluster of 3 control machines and a number of stores that survives the loss of one machine.
func newTestCluster(t *testing.T, stores int) *testCluster {
	t.Helper()
	return startTestCluster(t, Options{Controls: 3, Stores: stores, ToleratedLosses: 1})
}

// startTestCluster starts a cluster with at least two fronts. It sets the program, directory, network and process ID of options.
func startTestCluster(t *testing.T, options Options) *testCluster {
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
	c := &testCluster{T: t, cluster: cluster}
	t.Cleanup(func() {
		if t.Failed() {
			state, err := cluster.Status()
			t.Logf("control: %+v, %v", state.Control, err)
		}
		cluster.Stop()
		if t.Failed() {
			c.showLogs()
		}
	})
	for _, id := range []string{"engine-1", "engine-2"} {
		c.engines = append(c.engines, c.addHost(id, "engine"))
	}
	c.records = c.addHost("records-1", "records")
	c.replace(0, 1, http.StatusOK)
	if err := cluster.WaitReady(limit); err != nil {
		t.Fatal(err)
	}
	c.waitServing()
	return c
}

func (c *testCluster) showLogs() {
	names, _ := filepath.Glob(filepath.Join(c.cluster.options.Dir, "*.log"))
	for _, name := range names {
		if text, err := os.ReadFile(name); err == nil && len(text) > 0 {
			c.Logf("%s:\n%s", filepath.Base(name), text)
		}
	}
}

func (c *testCluster) addHost(id, service string) *tierhost.Host {
	c.Helper()
	host, err := c.cluster.AddHost(id, service, 8)
	if err != nil {
		c.Fatal(err)
	}
	return host
}

func (c *testCluster) replace(base, version uint64, want int) {
	c.Helper()
	if got := c.cluster.ReplaceConfig(base, Config(version), limit); got.Err != nil || got.Status != want {
		c.Fatalf("version %d with base %d: status %d, %v", version, base, got.Status, got.Err)
	}
}

func (c *testCluster) nextID() string {
	c.lastID++
	return fmt.Sprintf("%08x", c.lastID)
}

// call sends a request to a front and returns the response and the request ID.
func (c *testCluster) call(front int, method, path string, header map[string]string, body string) (Response, string) {
	id := c.nextID()
	all := map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000"}
	for name, value := range header {
		all[name] = value
	}
	return Call(method, "http://"+c.cluster.FrontAddresses()[front]+path, ExampleHost, all, body), id
}

// turn requests a turn and retries while the front returns status 503.
func (c *testCluster) turn(front int, program, previous, budget string, tokens int, body string) (Response, string) {
	c.Helper()
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
		got, id = c.call(front, http.MethodPost, "/chat/x", header, body)
		return got.Err == nil && got.Status != http.StatusServiceUnavailable
	})
	if err != nil {
		c.Fatalf("turn of %s: %v, last response %+v", program, err, got)
	}
	return got, id
}

func (c *testCluster) turnOK(front int, program, previous, budget string, tokens int, body string) string {
	c.Helper()
	got, id := c.turn(front, program, previous, budget, tokens, body)
	if got.Status != http.StatusOK {
		c.Fatalf("turn of %s: %+v", program, got)
	}
	return id
}

// waitServing waits until all fronts reach hosts and stores.
func (c *testCluster) waitServing() {
	c.Helper()
	for front := range c.cluster.FrontAddresses() {
		c.turnOK(front, fmt.Sprintf("warm-%d", front), "", "", 3, "x")
		err := WaitUntil(limit, func() bool {
			got, _ := c.call(front, http.MethodGet, "/lookup/x", nil, "")
			return got.Status == http.StatusOK
		})
		if err != nil {
			c.Fatal(err)
		}
	}
}

// executions returns the executions of a request on the engine hosts and the records host.
func (c *testCluster) executions(id string) []tierhost.Execution {
	var runs []tierhost.Execution
	for _, host := range append([]*tierhost.Host{c.records}, c.engines...) {
		for _, run := range host.Executions() {
			if run.RequestID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// waitInSync waits until control and every shard have three replicas in sync again. A machine with an emptied disk is rejected while the
// tier couldn't survive one more loss.
func (c *testCluster) waitInSync() {
	c.Helper()
	if err := WaitUntil(limit, func() bool { return c.cluster.IsInSync(3) }); err != nil {
		c.Fatal(err)
	}
}

func (c *testCluster) start(machine *Machine) {
	c.Helper()
	if err := c.cluster.StartMachine(machine); err != nil {
		c.Fatal(err)
	}
}
