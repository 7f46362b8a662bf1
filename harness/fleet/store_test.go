package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/gateway/http1"
	"otterseam/harness/childprocess"
	"otterseam/harness/sockets"
)

// playStore runs a script of the quota store and fails the test if a rule is violated.
func playStore(t *testing.T, name string, overrides ...string) *Result {
	t.Helper()
	r := scriptPlay{name: name, overrides: overrides}.play(t)
	checkFailures(t, r, "promised")
	return r
}

// These scripts start up to a dozen processes, so they run one at a time and in parallel with no other test of this package.

// Members of the quota store lose their disks, are killed, suspended or cut off, and api gateways are killed with unreported usage. Nothing
// that was acknowledged may be lost, and nothing may be counted or delivered twice.
func TestStoreKeepsWhatItAcknowledged(t *testing.T) {
	for name, wantApplied := range map[string]int{
		"keepers-lost-two": 4, "keepers-frozen": 2, "keepers-no-disk": 3, "keepers-adds": 3,
		"keepers-restart": 4,
	} {
		t.Run(name, func(t *testing.T) {
			r := playStore(t, name)
			if len(r.Audit.Lost)+len(r.Audit.CountedTwice)+len(r.Audit.SecondEffects) > 0 {
				t.Error(r.Audit, r.Audit.Lost, r.Audit.CountedTwice, r.Audit.SecondEffects)
			}
			if r.FaultsApplied < wantApplied || r.Audit.Claims < 50 {
				t.Errorf("%d faults were applied, %d claims were checked", r.FaultsApplied, r.Audit.Claims)
			}
		})
	}
}

// With a single member and no replicas, what the member acknowledged is lost with its machine, and the audit must detect that.
func TestWithoutReplicasAcknowledgedUsageIsLost(t *testing.T) {
	for name, overrides := range map[string][]string{
		"keepers-no-disk": {"fault[0].keeper=0", "fault[1].keeper=0"},
		"keepers-adds":    {"fault[1].keeper=0", "fault[2].keeper=0"},
	} {
		t.Run(name, func(t *testing.T) {
			r := scriptPlay{name: name, overrides: append(overrides, "keepers.count=1", "keepers.copies=1")}.play(t)
			if len(r.Audit.Lost) == 0 || !hasFailure(r, "promised-lost") {
				t.Errorf("the only member was lost, but the audit found nothing missing: %v", r.Audit)
			}
		})
	}
}

// gatewayPair is two api gateways, with or without a quota store that holds their markers, and a host that starts requests and never
// answers.
type gatewayPair struct {
	addresses []string
	processes []*childprocess.Process
	ran       atomic.Int32 // requests that the host has started
}

// newGatewayPair starts the processes and waits until they are ready.
func newGatewayPair(t *testing.T, withStore bool) *gatewayPair {
	t.Helper()
	programs, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	p := &gatewayPair{}
	host := p.startHost(t)
	discovery, err := sockets.NewScriptedServer(func(*http1.Message, int) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.CloseAll)
	var env []string
	if withStore {
		env = startMarkerStore(t, programs, dir)
	}
	for gateway := range 2 {
		p.startGateway(t, filepath.Join(programs, "whole"), dir, gatewayConfig(t, gateway, discovery.Addr().String(), host), env)
	}
	time.Sleep(300 * time.Millisecond) // for the streams to the store to connect
	return p
}

// startHost starts a host that counts the requests it gets and answers none. It returns the address of the host.
func (p *gatewayPair) startHost(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.countRequests(c)
		}
	}()
	return listener.Addr().String()
}

// countRequests counts the blank lines that end request heads, since the requests have no bodies.
func (p *gatewayPair) countRequests(c net.Conn) {
	defer c.Close()
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "" {
			p.ran.Add(1)
		}
	}
}

// startMarkerStore starts a quota store of three members, and returns the environment variable that makes api gateways keep their markers
// in it.
func startMarkerStore(t *testing.T, programs, dir string) []string {
	t.Helper()
	options := Options{QuotaStore: filepath.Join(programs, "keeper"), Dir: dir, Report: func(text string) { t.Log(text) }}
	s, stop, err := startStandaloneStore(context.Background(), options, 3, 4, false)
	t.Cleanup(stop)
	if err != nil {
		t.Fatal(err)
	}
	var peers []string
	for _, member := range s.config.Members {
		peers = append(peers, member.PeerAddress)
	}
	text, err := json.Marshal(map[string]any{"copies": map[string]any{"keepers": peers, "marks": true}})
	if err != nil {
		t.Fatal(err)
	}
	return operatorFile(t, string(text))
}

// gatewayConfig returns the configuration of one of the two api gateways.
func gatewayConfig(t *testing.T, gateway int, discovery, host string) map[string]any {
	t.Helper()
	address, err := sockets.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	server := map[string]any{"id": "h", "addr": host, "zone": "a", "kind": "x", "cell": 1, "state": "Ready", "weight": 1, "started_ms": 0}
	return map[string]any{
		"name":      fmt.Sprint("edge-", gateway),
		"listen":    address,
		"discovery": discovery,
		"seed":      fmt.Sprint(gateway + 1),
		"limits":    map[string]any{"memory_mb": 64, "sockets": 512},
		"known":     map[string]any{"version": 1, "full": true, "servers": []any{server}},
		"settings": map[string]any{
			"balancers": 2,
			"slot_no":   gateway,
			"caps":      map[string]any{"try_limit": 1, "dial_timeout": 0.25, "idle_close": 10},
			"classes":   []any{map[string]any{"name": "pay", "goal_time": 3, "deadline": 4, "gain": 1, "effect": "at_most_once"}},
			"plans":     []any{map[string]any{"name": "team", "rate": 50, "burst": 1000}},
		},
	}
}

// startGateway starts an api gateway and waits until it is ready.
func (p *gatewayPair) startGateway(t *testing.T, program, dir string, config map[string]any, env []string) {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	name := config["name"].(string)
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
	process, err := childprocess.Start(program, name, dir, append(env, "EDGE_CONFIG="+path)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = process.Stop() }) // how it exits isn't checked here
	gateway := len(p.addresses)
	p.addresses = append(p.addresses, config["listen"].(string))
	p.processes = append(p.processes, process)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if p.sendRequest(gateway, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", time.Second) == "200" {
			return
		}
	}
	log, err := os.ReadFile(process.LogPath)
	t.Fatalf("api gateway %d did not become ready: %s, %v", gateway, log, err)
}

// sendRequest sends a request and returns the status code of the answer, or "" if none came in time.
func (p *gatewayPair) sendRequest(gateway int, request string, timeout time.Duration) string {
	c, err := net.DialTimeout("tcp", p.addresses[gateway], timeout)
	if err != nil {
		return ""
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return ""
	}
	if _, err := io.WriteString(c, request); err != nil {
		return ""
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || len(line) < 12 {
		return ""
	}
	return line[9:12]
}

// payRequest returns a non-idempotent request.
func payRequest(ref string) string {
	return "POST /pay/1 HTTP/1.1\r\nHost: x\r\nReq-Id: " + ref + "\r\nReq-Kind: pay\r\nX-Tier: team\r\nCookie: key=0000000000000007\r\n" +
		"Req-Deadline-Ms: 4000\r\nX-Call-Terms: units=1,spread=2,first=0\r\nContent-Length: 0\r\n\r\n"
}

// An api gateway is killed during a non-idempotent delivery, and its client retries at the other one. With markers in the quota store, the
// second gateway knows the invocation, and the host runs it once. Without them, the host runs it twice.
func TestRetryAtAnotherGatewayRunsOnce(t *testing.T) {
	for name, withStore := range map[string]bool{"copies": true, "no copies": false} {
		t.Run(name, func(t *testing.T) {
			p := newGatewayPair(t, withStore)
			go p.sendRequest(0, payRequest("00000000000000aa"), 4*time.Second)
			for until := time.Now().Add(5 * time.Second); p.ran.Load() == 0 && time.Now().Before(until); {
				time.Sleep(5 * time.Millisecond)
			}
			p.processes[0].Kill()
			<-p.processes[0].Done()
			got := p.sendRequest(1, payRequest("00000000000000aa"), 1500*time.Millisecond)
			if ran := p.ran.Load(); withStore && (ran != 1 || got != "409") || !withStore && ran != 2 {
				t.Errorf("the host ran it %d times, the second api gateway answered %q", ran, got)
			}
			if withStore { // an invocation without a marker is delivered
				go p.sendRequest(1, payRequest("00000000000000bb"), time.Second)
				time.Sleep(700 * time.Millisecond)
				if p.ran.Load() != 2 {
					t.Error("an invocation without a marker was not delivered")
				}
			}
		})
	}
}
