package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
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

// kept plays a script of keepers and says what was not kept but for how fast answers come.
func kept(t *testing.T, name string, sets ...string) (*Result, []string) {
	t.Helper()
	r := script(t, name, "whole", nil, sets...)
	var bad []string
	for _, b := range r.Broken {
		if !strings.Contains(b.Text, "gave up") && !strings.Contains(b.Text, "promised") {
			bad = append(bad, b.Text)
		}
	}
	return r, bad
}

// These scripts have up to a dozen processes, so they are played one at a time and beside no other test of this package.

// Machines of keepers are lost with their disks, killed, stopped, cut off or full, and api gateways die with what they owe:
// nothing that was promised is lost, nothing is counted or delivered twice.
func TestKeepersKeepTheirPromises(t *testing.T) {
	for name, struck := range map[string]int{
		"keepers-lost-two": 4, "keepers-frozen": 2, "keepers-no-disk": 3, "keepers-adds": 3,
		"keepers-restart": 4,
	} {
		t.Run(name, func(t *testing.T) {
			r, bad := kept(t, name)
			if len(bad) > 0 || len(r.Held.Lost)+len(r.Held.Twice)+len(r.Held.Second) > 0 {
				t.Error(r.Held, r.Held.Lost, r.Held.Twice, r.Held.Second, bad)
			}
			if r.Struck < struck || r.Held.Claims < 50 {
				t.Errorf("%d faults struck, %d claims were held against the keepers", r.Struck, r.Held.Claims)
			}
		})
	}
}

// The same with copies off, one keeper alone: what it had promised is gone with its machine, and is found to be.
func TestWithoutCopiesPromisesAreLost(t *testing.T) {
	for name, sets := range map[string][]string{
		"keepers-no-disk": {"fault[0].keeper=0", "fault[1].keeper=0"},
		"keepers-adds":    {"fault[1].keeper=0", "fault[2].keeper=0"},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := kept(t, name, append(sets, "keepers.count=1", "keepers.copies=1")...)
			if len(r.Held.Lost) == 0 || !r.of("promised-lost") {
				t.Errorf("a keeper alone was lost, and nothing was found to be missing: %v", r.Held)
			}
		})
	}
}

// pair is two api gateways with keepers between them or without, and a host that begins to work and answers nothing.
type pair struct {
	addrs []string
	procs []*childprocess.Process
	ran   *atomic.Int32
}

func newPair(t *testing.T, copies bool) *pair {
	t.Helper()
	programs, err := built()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	ran := &atomic.Int32{}
	host, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { host.Close() })
	go func() {
		for {
			c, err := host.Accept()
			if err != nil {
				return
			}
			go func() {
				b := bufio.NewReader(c)
				for {
					line, err := b.ReadString('\n')
					if err != nil {
						c.Close()
						return
					}
					if strings.TrimSpace(line) == "" { // a whole request: it runs, and is never answered
						ran.Add(1)
					}
				}
			}()
		}
	}()
	discovery, err := sockets.NewScriptedServer(func(*http1.Message, int) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.CloseAll)
	var env []string
	if copies {
		k, end, err := bare(context.Background(), Options{Keeper: filepath.Join(programs, "keeper"), Dir: dir, Tell: func(s string) { t.Log(s) }}, 3, 4, false)
		t.Cleanup(end)
		if err != nil {
			t.Fatal(err)
		}
		var peers []string
		for _, spot := range k.direct.Members {
			peers = append(peers, spot.PeerAddress)
		}
		text, _ := json.Marshal(map[string]any{"copies": map[string]any{"keepers": peers, "marks": true}})
		path := filepath.Join(dir, "operator.json")
		os.WriteFile(path, text, 0o644)
		env = []string{"EDGE_OPERATOR=" + path}
	}
	p := &pair{ran: ran}
	for i := range 2 {
		addr, err := sockets.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		server := map[string]any{"id": "h", "addr": host.Addr().String(), "zone": "a", "kind": "x", "cell": 1, "state": "Ready", "weight": 1, "started_ms": 0}
		config := map[string]any{
			"name": fmt.Sprint("edge-", i), "listen": addr, "discovery": discovery.Addr().String(), "seed": fmt.Sprint(i + 1),
			"limits": map[string]any{"memory_mb": 64, "sockets": 512}, "known": map[string]any{"version": 1, "full": true, "servers": []any{server}},
			"settings": map[string]any{
				"balancers": 2, "slot_no": i, "caps": map[string]any{"try_limit": 1, "dial_timeout": 0.25, "idle_close": 10},
				"classes": []any{map[string]any{"name": "pay", "goal_time": 3, "deadline": 4, "gain": 1, "effect": "at_most_once"}},
				"plans":   []any{map[string]any{"name": "team", "rate": 50, "burst": 1000}},
			},
		}
		text, _ := json.Marshal(config)
		path := filepath.Join(dir, fmt.Sprintf("edge-%d.json", i))
		os.WriteFile(path, text, 0o644)
		proc, err := childprocess.Start(filepath.Join(programs, "whole"), fmt.Sprint("edge-", i), dir, append(env, "EDGE_CONFIG="+path)...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { proc.Stop() })
		p.addrs, p.procs = append(p.addrs, addr), append(p.procs, proc)
		up := false
		for until := time.Now().Add(10 * time.Second); !up && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			up = p.ask(i, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", time.Second) == "200"
		}
		if !up {
			text, _ := os.ReadFile(proc.LogPath)
			t.Fatalf("api gateway %d does not come up: %s", i, text)
		}
	}
	time.Sleep(300 * time.Millisecond) // streams to keepers stand
	return p
}

// ask sends a request and gives the status of its answer; "": none came in time.
func (p *pair) ask(i int, request string, limit time.Duration) string {
	c, err := net.DialTimeout("tcp", p.addrs[i], limit)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(limit))
	fmt.Fprint(c, request)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || len(line) < 12 {
		return ""
	}
	return line[9:12]
}

func pay(ref string) string {
	return "POST /pay/1 HTTP/1.1\r\nHost: x\r\nReq-Id: " + ref + "\r\nReq-Kind: pay\r\nX-Tier: team\r\nCookie: key=0000000000000007\r\n" +
		"Req-Deadline-Ms: 4000\r\nX-Call-Terms: units=1,spread=2,first=0\r\nContent-Length: 0\r\n\r\n"
}

// An api gateway is killed with a non-idempotent delivery out; its client's request comes to the other one. With marks held
// by keepers the second one knows it, and the host runs it once; without them it runs twice.
func TestRepeatAtAnotherGatewayRunsOnce(t *testing.T) {
	for name, copies := range map[string]bool{"copies": true, "no copies": false} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, copies)
			go p.ask(0, pay("00000000000000aa"), 4*time.Second)
			for until := time.Now().Add(5 * time.Second); p.ran.Load() == 0 && time.Now().Before(until); {
				time.Sleep(5 * time.Millisecond)
			}
			p.procs[0].Kill()
			<-p.procs[0].Done()
			got := p.ask(1, pay("00000000000000aa"), 1500*time.Millisecond)
			if ran := p.ran.Load(); copies && (ran != 1 || got != "409") || !copies && ran != 2 {
				t.Errorf("it ran %d times, the second api gateway said %q", ran, got)
			}
			if copies { // one that nobody knows is delivered
				go p.ask(1, pay("00000000000000bb"), time.Second)
				time.Sleep(700 * time.Millisecond)
				if p.ran.Load() != 2 {
					t.Error("an invocation that nobody knows was not delivered")
				}
			}
		})
	}
}
