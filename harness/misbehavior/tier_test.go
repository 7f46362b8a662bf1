package misbehavior

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/harness/childprocess"
	"otterseam/harness/tiercluster"
	"otterseam/harness/tierhost"
)

const (
	// processMemoryMB is the memory limit of a proxy and of control in the settings of these tests, and the bound of their peak.
	processMemoryMB = 128
	// storeMemoryMB and storeDiskMB are the limits of a store, and the bounds of its peaks.
	storeMemoryMB = 192
	storeDiskMB   = 150
	// proxyDescriptors is the descriptor limit of a proxy. reservedDescriptors of them are not for sockets, by the platform's terms.
	proxyDescriptors    = 400
	reservedDescriptors = 200

	maxBodyBytes = 4 << 20
	waitLimit    = 30 * time.Second
	// holdTime is how long a crowd stays connected after it has sent everything, longer than the time limit of a head. The processes
	// have read by then what they read at all.
	holdTime = 4 * time.Second
)

var network atomic.Int32

// tier is a running tier whose processes know their limits.
type tier struct {
	*testing.T
	cluster *tiercluster.Cluster
	engine  *tierhost.Host
	ids     atomic.Int64
}

func startTier(t *testing.T) *tier {
	t.Helper()
	requireEnabled(t)
	dir := t.TempDir()
	cluster, err := tiercluster.Start(tiercluster.Options{
		Program: programs.tier, Dir: dir, Network: int(network.Add(1)), ProcessID: os.Getpid(),
		Fronts: 1, Controls: 3, Stores: 3, ToleratedLosses: 1,
		Limits: map[string]tiercluster.Limits{
			"proxy":   {MemoryMB: processMemoryMB, MaxFDs: proxyDescriptors},
			"control": {MemoryMB: processMemoryMB, MaxFDs: 4096, DiskMB: 128},
			"store":   {MemoryMB: storeMemoryMB, MaxFDs: 8200, DiskMB: storeDiskMB},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &tier{T: t, cluster: cluster}
	t.Cleanup(func() {
		cluster.Stop()
		if t.Failed() {
			showLogs(t, dir)
		}
	})
	if s.engine, err = cluster.AddHost("engine-1", "engine", 64); err != nil {
		t.Fatal(err)
	}
	if _, err = cluster.AddHost("records-1", "records", 64); err != nil {
		t.Fatal(err)
	}
	if got := cluster.ReplaceConfig(0, config(1), waitLimit); got.Err != nil || got.Status != http.StatusOK {
		t.Fatalf("first configuration: %+v", got)
	}
	if err := cluster.WaitReady(waitLimit); err != nil {
		t.Fatal(err)
	}
	if err := tiercluster.WaitUntil(waitLimit, func() bool { return cluster.IsInSync(3) }); err != nil {
		t.Fatal(err)
	}
	s.checkOrdinaryRequests()
	return s
}

func showLogs(t *testing.T, dir string) {
	names, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, name := range names {
		if text, err := os.ReadFile(name); err == nil && len(text) > 0 {
			t.Logf("%s:\n%s", filepath.Base(name), text[max(0, len(text)-4000):])
		}
	}
}

// config returns the example configuration with the body limit of the platform's example.
func config(version uint64) string {
	return strings.Replace(tiercluster.Config(version), `"max_body_bytes":65536`, fmt.Sprintf(`"max_body_bytes":%d`, maxBodyBytes), 1)
}

func (s *tier) front() string { return s.cluster.FrontAddresses()[0] }

func (s *tier) proxy() *childprocess.Process { return s.cluster.Machine("front-1").Process("proxy") }

// call sends one request on a connection of its own.
func (s *tier) call(method, path string, header map[string]string, body string) (tiercluster.Response, string) {
	id := fmt.Sprintf("call-%06x", s.ids.Add(1))
	all := map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000"}
	for name, value := range header {
		all[name] = value
	}
	return tiercluster.Call(method, "http://"+s.front()+path, tiercluster.ExampleHost, all, body), id
}

// turn sends a retained turn.
func (s *tier) turn(program, previous, body string) (tiercluster.Response, string) {
	header := map[string]string{"Program": program, "Session": program, "Budget": "1000000", "X-Token-Count": "1,6"}
	if previous != "" {
		header["Previous"] = previous
	}
	return s.call(http.MethodPost, "/chat/x", header, body)
}

// checkOrdinaryRequests checks that a plain request and a retained turn are answered, if need be after tries that are refused.
func (s *tier) checkOrdinaryRequests() {
	s.Helper()
	var got tiercluster.Response
	err := tiercluster.WaitUntil(waitLimit, func() bool {
		got, _ = s.call(http.MethodGet, "/lookup/1", nil, "")
		return got.Err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		s.Errorf("an ordinary request isn't answered: %s", summary(got))
	}
	err = tiercluster.WaitUntil(waitLimit, func() bool {
		got, _ = s.turn("ordinary", "", "hello")
		return got.Err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		s.Errorf("an ordinary turn isn't answered: %s", summary(got))
	}
}

// checkProxy lets a crowd at the proxy send everything, and checks the proxy's memory and ordinary requests while the crowd stays.
func checkProxy(t *testing.T, size int, client Client) {
	t.Helper()
	s := startTier(t)
	crowd := Start(s.front(), size, client)
	defer crowd.Stop()
	crowd.AwaitSent()
	time.Sleep(holdTime)
	s.checkOrdinaryRequests()
	checkMemory(t, s.proxy(), processMemoryMB)
}

// retainedTurn is the start of a request for a turn that is retained.
func retainedTurn(bytes, missing int) Request {
	return Request{
		Path: "/chat/x", Host: tiercluster.ExampleHost, IDStart: "crowd-", Bytes: bytes, Missing: missing,
		Fields: []string{"Program: crowd", "Session: crowd", "Budget: 1000000", "X-Token-Count: 1,6", "X-Deadline-Ms: 60000"},
	}
}

func plainRequest() Request {
	return Request{Path: "/issue/x", Host: tiercluster.ExampleHost, IDStart: "plain-", Fields: []string{"X-Deadline-Ms: 60000"}}
}

func TestProxyServesLegalExtremesInCalm(t *testing.T) {
	s := startTier(t)
	header := map[string]string{}
	for i := range 1900 {
		header[fmt.Sprintf("%c%c%c", 'a'+i/676%26, 'a'+i/26%26, 'a'+i%26)] = ""
	}
	if got, _ := s.call(http.MethodGet, "/lookup/1", header, ""); got.Err != nil || got.Status != http.StatusOK {
		t.Errorf("a legal head of many lines: %s", summary(got))
	}
	got, id := s.turn("legal", "", strings.Repeat("x", maxBodyBytes))
	if got.Err != nil || got.Status != http.StatusOK {
		t.Fatalf("a legal body: %s", summary(got))
	}
	if got, _ := s.turn("legal", id, "more"); got.Err != nil || got.Status != http.StatusOK {
		t.Errorf("the turn after it: %s", summary(got))
	}
	checkMemory(t, s.proxy(), processMemoryMB)
}

func TestProxyBoundsOversizedHeads(t *testing.T) {
	checkProxy(t, 60, OpenHead("POST /issue/x HTTP/1.1", 250<<10))
}

func TestProxyBoundsHeadsOfManyLines(t *testing.T) {
	request := plainRequest()
	request.Bytes, request.Missing, request.Lines = 10, 1, 15<<10
	checkProxy(t, 400, Body(request))
}

func TestProxyBoundsIncompleteBodies(t *testing.T) {
	checkProxy(t, 40, Body(retainedTurn(maxBodyBytes, 1)))
}

func TestProxyBoundsCompleteBodies(t *testing.T) {
	checkProxy(t, 20, Body(retainedTurn(maxBodyBytes, 0)))
}

func TestProxyBoundsTrailers(t *testing.T) {
	checkProxy(t, 60, Trailer(plainRequest(), 2<<20))
}

func TestProxyBoundsChunkExtensions(t *testing.T) {
	request := plainRequest()
	request.Bytes = 200 << 10
	checkProxy(t, 40, Chunks(request))
}

func TestProxyBoundsUnreadResponses(t *testing.T) {
	request := plainRequest()
	request.Bytes = 1 << 10
	checkProxy(t, 40, Pipeline(request, 300))
}

func TestProxyBoundsConnections(t *testing.T) {
	s := startTier(t)
	descriptors := SampleDescriptors(s.proxy().PID())
	crowd := Start(s.front(), 600, Silent())
	defer crowd.Stop()
	crowd.AwaitSent()
	time.Sleep(holdTime)
	s.checkOrdinaryRequests()
	checkPeak(t, "descriptors of the proxy", descriptors, proxyDescriptors-reservedDescriptors)
	checkMemory(t, s.proxy(), processMemoryMB)
}

func TestReadinessPortBoundsHeads(t *testing.T) {
	s := startTier(t)
	address := s.cluster.ReadinessAddresses()[0]
	crowd := Start(address, 40, OpenHead("GET /v1/readiness HTTP/1.1", 1<<20))
	defer crowd.Stop()
	crowd.AwaitSent()
	time.Sleep(holdTime)
	if got := tiercluster.Call(http.MethodGet, "http://"+address+"/v1/readiness", address, nil, ""); got.Err != nil || got.Status != http.StatusOK {
		t.Errorf("an ordinary probe: %s", summary(got))
	}
	s.checkOrdinaryRequests()
	checkMemory(t, s.proxy(), processMemoryMB)
}

// checkControl lets a crowd at a control process send everything, and checks that the process is alive, its memory, and that the
// configuration can be replaced while the crowd stays.
func checkControl(t *testing.T, size int, client Client) {
	t.Helper()
	s := startTier(t)
	crowd := Start(s.cluster.ControlAddresses()[0], size, client)
	defer crowd.Stop()
	crowd.AwaitSent()
	time.Sleep(holdTime)
	if got := s.cluster.ReplaceConfig(1, config(2), waitLimit); got.Err != nil || got.Status != http.StatusOK {
		t.Errorf("an ordinary change of the configuration: %s", summary(got))
	}
	for _, name := range []string{"core-1", "core-2", "core-3"} {
		checkMemory(t, s.cluster.Machine(name).Process("control"), processMemoryMB)
	}
}

func TestControlBoundsHeads(t *testing.T) {
	checkControl(t, 60, OpenHead("POST /v1/config/replace HTTP/1.1", 1<<20))
}

func TestControlBoundsIncompleteBodies(t *testing.T) {
	request := Request{
		Path: "/v1/config/replace", Host: "control", IDStart: "change-", Fields: []string{"X-Base-Version: 1"}, Bytes: 16 << 20, Missing: 1,
	}
	checkControl(t, 20, Body(request))
}

// Guards against stores that run out of memory or disk together, and against the loss of an acknowledged turn when they are full.
func TestStoresBoundRetainedTurns(t *testing.T) {
	const (
		rounds    = 2
		turns     = 16 // concurrent, in each round
		turnBytes = 3 << 20
	)
	s := startTier(t)
	var disks []*Sampler
	for i := range 3 {
		disks = append(disks, SampleDiskMB(s.cluster.DataDir(s.cluster.Machine(fmt.Sprintf("storage-%d", i+1)), "store")))
	}
	answered := map[string]string{} // request ID, by program
	for round := range rounds {
		maps.Copy(answered, s.sendLargeTurns(fmt.Sprintf("large-%d", round), turns, turnBytes))
	}
	s.checkOrdinaryRequests()
	t.Logf("%d of %d large turns answered", len(answered), rounds*turns)
	if len(answered) == 0 {
		t.Error("no large turn was answered")
	}
	for program, id := range answered {
		s.checkContinued(program, id, turnBytes)
	}
	for i, disk := range disks {
		checkPeak(t, fmt.Sprintf("MB on the disk of store %d", i+1), disk, storeDiskMB)
		checkMemory(t, s.cluster.Machine(fmt.Sprintf("storage-%d", i+1)).Process("store"), storeMemoryMB)
	}
}

// sendLargeTurns sends turns concurrently, each of a program of its own, and returns the request IDs of those that were answered, by
// program.
func (s *tier) sendLargeTurns(name string, turns, turnBytes int) map[string]string {
	answered := map[string]string{}
	var mu sync.Mutex
	var sending sync.WaitGroup
	for i := range turns {
		sending.Go(func() {
			program := fmt.Sprintf("%s-%d", name, i)
			got, id := s.turn(program, "", strings.Repeat("y", turnBytes))
			if got.Err == nil && got.Status == http.StatusOK {
				mu.Lock()
				answered[program] = id
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	return answered
}

// Guards against full stores that can't be restarted: one that lost its disk gets everything from the others, and all of them come back
// with everything that was answered.
func TestFullStoresRestart(t *testing.T) {
	const turnBytes = 1 << 20
	s := startTier(t)
	answered := map[string]string{}
	for round := range 4 {
		maps.Copy(answered, s.sendLargeTurns(fmt.Sprintf("large-%d", round), 12, turnBytes))
	}
	t.Logf("%d large turns answered", len(answered))
	stores := []*tiercluster.Machine{s.cluster.Machine("storage-1"), s.cluster.Machine("storage-2"), s.cluster.Machine("storage-3")}
	stores[0].Kill()
	if err := s.cluster.WipeDisk(stores[0]); err != nil {
		t.Fatal(err)
	}
	s.startStores(stores[:1])
	for _, store := range stores {
		store.Kill()
	}
	s.startStores(stores)
	s.checkOrdinaryRequests()
	for program, id := range answered {
		s.checkContinued(program, id, turnBytes)
	}
	s.checkStores()
}

// startStores starts stores that are down, waits until all replicas are in sync, and checks the memory of all stores.
func (s *tier) startStores(stores []*tiercluster.Machine) {
	s.Helper()
	for _, store := range stores {
		if err := s.cluster.StartMachine(store); err != nil {
			s.Fatal(err)
		}
	}
	time.Sleep(holdTime) // until the tier has noticed that they were down
	if err := tiercluster.WaitUntil(waitLimit, func() bool { return s.cluster.IsInSync(3) }); err != nil {
		s.Fatal(err)
	}
	s.checkStores()
}

// checkStores checks the memory of all stores.
func (s *tier) checkStores() {
	s.Helper()
	for i := range 3 {
		checkMemory(s.T, s.cluster.Machine(fmt.Sprintf("storage-%d", i+1)).Process("store"), storeMemoryMB)
	}
}

// Guards against the memory of a large chain that many turns continue at once, in the proxy, which sends it to hosts, and in the stores,
// which send it to the proxy.
func TestProcessesBoundContinuedChains(t *testing.T) { checkContinuedChain(t, "chain") }

// The same for turns of another program, which search the chain in all shards.
func TestProcessesBoundChainsOfOtherPrograms(t *testing.T) { checkContinuedChain(t, "other") }

// checkContinuedChain lets many turns of a program continue a large chain of the program "chain".
func checkContinuedChain(t *testing.T, program string) {
	t.Helper()
	s := startTier(t)
	got, id := s.turn("chain", "", strings.Repeat("z", 3<<20))
	if got.Err != nil || got.Status != http.StatusOK {
		t.Fatalf("the first turn: %s", summary(got))
	}
	request := retainedTurn(10, 0)
	request.Path = "/chat/x?" + tierhost.PauseParameter + "=1000"
	request.Fields = []string{
		"Program: " + program, "Session: chain", "Budget: 1000000", "X-Token-Count: 1,6", "X-Deadline-Ms: 60000", "Previous: " + id,
	}
	crowd := Start(s.front(), 200, Body(request))
	defer crowd.Stop()
	crowd.AwaitSent()
	time.Sleep(holdTime)
	s.checkOrdinaryRequests()
	s.checkContinued("chain", id, 3<<20)
	checkMemory(t, s.proxy(), processMemoryMB)
	s.checkStores()
}

// Guards against the memory of long outputs, in the proxy, which keeps them until the turn ends, and in the stores. The hosts send more
// bytes for a token than the tier expects.
func TestProcessesBoundLongOutputs(t *testing.T) {
	s := startTier(t)
	request := retainedTurn(10, 0)
	request.Path = "/chat/x?" + tierhost.PaddingParameter + "=16384"
	request.Fields = []string{"Program: long", "Session: long", "Budget: 1000000", "X-Token-Count: 1,300", "X-Deadline-Ms: 60000"}
	for range 3 {
		crowd := Start(s.front(), 40, Body(request))
		defer crowd.Stop()
		crowd.AwaitSent()
		time.Sleep(holdTime)
		request.IDStart += "next-"
	}
	s.checkOrdinaryRequests()
	checkMemory(t, s.proxy(), processMemoryMB)
	s.checkStores()
}

// checkContinued checks that a turn that was answered can be continued with all of its text, if need be after tries that are refused.
func (s *tier) checkContinued(program, id string, bytes int) {
	s.Helper()
	var got tiercluster.Response
	var next string
	err := tiercluster.WaitUntil(waitLimit, func() bool {
		got, next = s.turn(program, id, "more")
		return got.Err == nil && got.Status != http.StatusServiceUnavailable
	})
	if err != nil || got.Status != http.StatusOK {
		s.Errorf("%s: the turn after an answered one: %s", program, summary(got))
		return
	}
	for _, run := range s.engine.Executions() {
		if run.RequestID == next && len(run.Body) != bytes+len("e1\ne2\n")+len("more") {
			s.Errorf("%s: the host got %d bytes of a chain of %d and more", program, len(run.Body), bytes)
		}
	}
}
