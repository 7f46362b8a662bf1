package tiercluster

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
	limit       = 20 * time.Second
	exampleHost = "try.example"
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tierrig")
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

// world is a rig with two engines, a plain host and a configuration in force.
type world struct {
	*testing.T
	rig     *Rig
	engines []*tierhost.Host
	records *tierhost.Host
	next    int
}

func newWorld(t *testing.T, controls, stores int) *world {
	t.Helper()
	return startWorld(t, Options{Controls: controls, Stores: stores, Tolerate: 1})
}

// startWorld starts a rig of so many machines.
func startWorld(t *testing.T, options Options) *world {
	t.Helper()
	rig, err := Start(Options{
		Program: program, Dir: t.TempDir(), Network: int(network.Add(1)), Process: os.Getpid(), Fronts: max(options.Fronts, 2), Controls: options.Controls,
		Stores: options.Stores, Tolerate: options.Tolerate, Late: options.Late,
	})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{T: t, rig: rig}
	t.Cleanup(func() {
		if t.Failed() {
			state, err := rig.Status()
			t.Logf("control is %+v, %v", state.Control, err)
		}
		rig.Stop()
		if t.Failed() {
			w.showLogs()
		}
	})
	for _, id := range []string{"engine-1", "engine-2"} {
		w.engines = append(w.engines, w.addHost(id, "engine"))
	}
	w.records = w.addHost("records-1", "records")
	w.replace(0, 1, http.StatusOK)
	if err := rig.WaitReady(limit); err != nil {
		t.Fatal(err)
	}
	w.waitServed()
	return w
}

func (w *world) showLogs() {
	names, _ := filepath.Glob(filepath.Join(w.rig.options.Dir, "*.log"))
	for _, name := range names {
		if text, err := os.ReadFile(name); err == nil && len(text) > 0 {
			w.Logf("%s:\n%s", filepath.Base(name), text)
		}
	}
}

func (w *world) addHost(id, service string) *tierhost.Host {
	w.Helper()
	host, err := w.rig.AddHost(id, service, 8)
	if err != nil {
		w.Fatal(err)
	}
	return host
}

func (w *world) replace(base, version uint64, want int) {
	w.Helper()
	if got := w.rig.Replace(base, Config(version), limit); got.Err != nil || got.Status != want {
		w.Fatalf("version %d on %d: status %d, %v", version, base, got.Status, got.Err)
	}
}

func (w *world) id() string {
	w.next++
	return fmt.Sprintf("%08x", w.next)
}

// call sends a request to a front.
func (w *world) call(front int, method, path string, header map[string]string, body string) (Answer, string) {
	id := w.id()
	all := map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000"}
	for name, value := range header {
		all[name] = value
	}
	return Call(method, "http://"+w.rig.Fronts()[front]+path, exampleHost, all, body), id
}

// turn asks for a turn, again for as long as it is refused with a promise.
func (w *world) turn(front int, program, previous, budget string, tokens int, body string) (Answer, string) {
	w.Helper()
	header := map[string]string{"Program": program, "Session": "s", "X-Token-Count": fmt.Sprintf("10,%d", tokens)}
	if previous != "" {
		header["Previous"] = previous
	}
	if budget != "" {
		header["Budget"] = budget
	}
	var got Answer
	var id string
	err := Until(limit, func() bool {
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
	for front := range w.rig.Fronts() {
		w.turnOK(front, fmt.Sprintf("warm-%d", front), "", "", 3, "x")
		err := Until(limit, func() bool {
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

func TestATurnGoesOnFromTheOneBeforeThroughAnyFront(t *testing.T) {
	w := newWorld(t, 3, 3)
	first := w.turnOK(0, "p", "", "600", 6, "hello ")
	second := w.turnOK(1, "p", first, "600", 3, "again ")
	third := w.turnOK(0, "p", second, "600", 3, "more")
	runs := w.ran(third)
	want := "hello e1\ne2\nagain e1\nmore"
	if len(runs) != 1 || runs[0].Body != want {
		t.Fatalf("the host got %+v, not %q", runs, want)
	}
	// another program goes on from it, through a shard of its own
	other := w.turnOK(1, "another", second, "600", 3, "apart")
	if runs := w.ran(other); len(runs) != 1 || runs[0].Body != "hello e1\ne2\nagain e1\napart" {
		t.Fatalf("the host got %+v", runs)
	}
	if got, _ := w.turn(0, "p", "00000000", "600", 3, "x"); got.Status != http.StatusNotFound {
		t.Fatalf("a turn that never was: %+v", got)
	}
}

func TestTheBudgetIsSharedByAllFronts(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.turnOK(0, "p", "", "30", 15, "a")
	w.turnOK(1, "p", "", "30", 15, "b")
	got, id := w.turn(0, "p", "", "30", 3, "c")
	if got.Status != http.StatusPaymentRequired {
		t.Fatalf("past the budget: %+v", got)
	}
	if runs := w.ran(id); len(runs) != 0 {
		t.Fatalf("a turn answered 402 has run: %+v", runs)
	}
	for _, header := range []map[string]string{
		{"Program": "q", "Budget": "many", "X-Token-Count": "1,3"},
		{"Program": "q", "Budget": "30", "X-Token-Count": "1;3"},
		{"Program": "q", "Budget": "30", "X-Token-Count": "1,-3"},
	} {
		if got, _ := w.call(0, http.MethodPost, "/chat/x", header, "x"); got.Status != http.StatusBadRequest {
			t.Fatalf("%v: %+v", header, got)
		}
	}
}

func TestAnUnsafeRequestRunsOnce(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.records.DropNextResponse()
	got, id := w.call(0, http.MethodPost, "/issue/1", nil, "one")
	if got.Status != http.StatusBadGateway {
		t.Fatalf("a lost answer: %+v", got)
	}
	if runs := w.ran(id); len(runs) != 1 {
		t.Fatalf("it ran %d times", len(runs))
	}
	w.records.Reject(true)
	got, id = w.call(0, http.MethodPost, "/issue/1", nil, "two")
	if got.Status != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Fatalf("refused by all hosts: %+v", got)
	}
	if runs := w.ran(id); len(runs) != 0 {
		t.Fatalf("a refused request has run: %+v", runs)
	}
	w.records.Reject(false)
	w.records.DropNextResponse()
	w.addHost("records-2", "records")
	err := Until(limit, func() bool {
		got, _ := w.call(0, http.MethodGet, "/lookup/1", nil, "")
		return got.Status == http.StatusOK && strings.HasPrefix(got.Header.Get("X-Response-Seal"), "seal-")
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestABrokenStreamGoesOnOnlyWhereItMay(t *testing.T) {
	w := newWorld(t, 3, 3)
	for _, host := range w.engines {
		host.BreakNextStream(2)
	}
	header := map[string]string{"X-Token-Count": "10,15"}
	got, id := w.call(0, http.MethodPost, "/draft/1", header, "x")
	if got.Err == nil || len(w.ran(id)) != 2 {
		t.Fatalf("both hosts broke off: %+v, ran %+v", got, w.ran(id))
	}
	w.engines[0].BreakNextStream(2)
	w.engines[1].BreakNextStream(0)
	whole := ""
	for i := 1; i <= 5; i++ {
		whole += fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
	}
	for range 4 { // one of them meets the host that breaks off
		got, _ = w.call(0, http.MethodPost, "/draft/1", header, "x")
		if got.Err != nil || got.Body != whole {
			t.Fatalf("a resumable stream: %+v", got)
		}
	}
	for _, host := range w.engines {
		host.BreakNextStream(2)
	}
	got, id = w.call(0, http.MethodPost, "/chat/1", map[string]string{"X-Token-Count": "10,15", "Program": "p"}, "x")
	if got.Err == nil || len(w.ran(id)) != 1 {
		t.Fatalf("a stream that may not be resumed: %+v, ran %+v", got, w.ran(id))
	}
}

func TestBadRequestsAreNamed(t *testing.T) {
	w := newWorld(t, 3, 3)
	for name, test := range map[string]struct {
		path   string
		header map[string]string
		body   string
		want   int
	}{
		"no route":  {"/nowhere/", nil, "", http.StatusNotFound},
		"long body": {"/issue/1", nil, strings.Repeat("x", 70_000), http.StatusRequestEntityTooLarge},
		"long head": {"/issue/1", map[string]string{"X-Long": strings.Repeat("x", 20_000)}, "", http.StatusRequestHeaderFieldsTooLarge},
		"deadline":  {"/issue/1", map[string]string{"X-Deadline-Ms": "soon"}, "", http.StatusBadRequest},
	} {
		if got, _ := w.call(0, http.MethodPost, test.path, test.header, test.body); got.Status != test.want || !strings.Contains(got.Body, `"code":`) {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// What net/http would settle by itself is refused, and the connection ends.
func TestAmbiguousBodiesAreRefused(t *testing.T) {
	w := newWorld(t, 3, 3)
	conn, err := net.Dial("tcp", w.rig.Fronts()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const text = "POST /issue/1 HTTP/1.1\r\nHost: try.example\r\nX-Request-Id: ffff0001\r\nContent-Length: 3\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 400 ") {
		t.Fatalf("%q, %v", answer, err)
	}
	if runs := w.ran("ffff0001"); len(runs) != 0 {
		t.Fatalf("it has run: %+v", runs)
	}
}

func TestConfigurationsHaveOneWinnerAndARepeatIsTakenAgain(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.replace(1, 4, http.StatusOK)
	w.replace(1, 4, http.StatusOK)                 // the same again
	w.replace(1, 5, http.StatusPreconditionFailed) // another on the same base
	w.replace(4, 4, http.StatusBadRequest)         // its number is the current one
	if got := w.rig.Replace(4, `{"version":9,"routes":[`, limit); got.Status != http.StatusBadRequest {
		t.Fatalf("cut short: %+v", got)
	}
	for _, control := range w.rig.Controls() {
		got := Call(http.MethodGet, "http://"+control+"/v1/config/read", control, nil, "")
		if got.Status != http.StatusOK || got.Body != Config(4) {
			t.Fatalf("%s reads back %+v", control, got)
		}
	}
}

// All that was acknowledged outlives any one machine with a disk, and all of them being killed at once.
func TestWhatWasAcknowledgedOutlivesKillsAndALostDisk(t *testing.T) {
	w := newWorld(t, 3, 3)
	previous := w.turnOK(0, "p", "", "9000", 3, "one ")
	w.replace(1, 2, http.StatusOK)
	version := uint64(2)
	want := "one e1\n"
	strike := func(name string, wipe bool) {
		machine := w.rig.Machine(name)
		machine.Kill()
		if wipe {
			if err := w.rig.Wipe(machine); err != nil {
				t.Fatal(err)
			}
		}
		previous = w.turnOK(1, "p", previous, "9000", 3, name+" ")
		want += name + " e1\n"
		w.replace(version, version+1, http.StatusOK)
		version++
		if err := w.rig.StartMachine(machine); err != nil {
			t.Fatal(err)
		}
		w.waitCopies()
	}
	strike("storage-1", false)
	strike("core-1", false)
	strike("storage-2", true)
	strike("core-2", true)
	strike("storage-3", false)
	strike("core-3", false)
	for _, machine := range w.rig.Machines {
		machine.Kill()
	}
	for _, machine := range w.rig.Machines {
		if err := w.rig.StartMachine(machine); err != nil {
			t.Fatal(err)
		}
	}
	last := w.turnOK(0, "p", previous, "9000", 3, "last")
	if runs := w.ran(last); len(runs) != 1 || runs[0].Body != want+"last" {
		t.Fatalf("the host got %+v, not %q", runs, want+"last")
	}
	w.replace(version, version+1, http.StatusOK)
}

// waitCopies waits until every shard and control have all their copies again, as their processes' logs and answers show: a
// machine that is emptied is refused while one more loss could not be borne.
func (w *world) waitCopies() {
	w.Helper()
	if err := Until(limit, func() bool { return w.rig.InSync(3) }); err != nil {
		w.Fatal(err)
	}
}

// After all of control and all stores were stopped, they serve again without any one of them.
func TestTheTierComesBackWithoutOneOfEach(t *testing.T) {
	w := newWorld(t, 3, 3)
	previous := w.turnOK(0, "p", "", "9000", 3, "one ")
	version := uint64(1)
	for missing := 1; missing <= 3; missing++ {
		lost := map[string]bool{fmt.Sprintf("core-%d", missing): true, fmt.Sprintf("storage-%d", missing): true}
		var down []*Machine
		for _, machine := range w.rig.Machines {
			if strings.HasPrefix(machine.Name, "front-") {
				continue
			}
			machine.Kill()
			down = append(down, machine)
		}
		for _, machine := range down {
			if !lost[machine.Name] {
				w.start(machine)
			}
		}
		w.replace(version, version+1, http.StatusOK)
		version++
		previous = w.turnOK(0, "p", previous, "9000", 3, "again ")
		for _, machine := range down {
			if lost[machine.Name] {
				w.start(machine)
			}
		}
		w.waitCopies()
	}
}

func (w *world) start(machine *Machine) {
	w.Helper()
	if err := w.rig.StartMachine(machine); err != nil {
		w.Fatal(err)
	}
}
