package sockets

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterseam/gateway/http1"
	"otterseam/harness/leakcheck"
	"otterseam/sim/eventqueue"
	"otterseam/sim/scenario"
	"otterseam/sim/scenarios"
)

// gateway builds the api gateway as it stands.
func gateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "otterseam")
	if out, err := exec.Command("go", "build", "-o", path, "otterseam/cmd/otterseam").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

func short(t *testing.T, troubles string, sets ...string) *scenario.Day {
	t.Helper()
	rough, err := scenarios.Load("rough-4")
	if err != nil {
		t.Fatal(err)
	}
	rough.Troubles = nil
	d, err := scenario.Read("short.toml", []byte(rough.Text()+troubles))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range append([]string{"length=4s", "fleet.gateways=2", "fleet.hosts=3", "clients.rate=40/s"}, sets...) {
		key, value, _ := strings.Cut(s, "=")
		if err := d.Set(key, value); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// A day with a restart and a killed api gateway: every try ends, nothing runs twice, nothing foreign is served, and the
// processes that were started are gone at the end. How fast answers come is not judged: the machine may be busy.
func TestDayOnSockets(t *testing.T) {
	leakcheck.Check(t)
	d := short(t, "\n[[trouble]]\nkind = \"kill\"\nat = \"1s\"\nlasts = \"300ms\"\npart = 0.5\n"+
		"\n[[trouble]]\nkind = \"errors\"\nat = \"500ms\"\nlasts = \"2s\"\nsize = 0.3\n")
	dir := t.TempDir()
	var told []string
	f, w, err := Play(context.Background(), d, 3, Options{Gateway: gateway(t), Dir: dir, Memory: 64, Tell: func(s string) { told = append(told, s) }})
	if err != nil {
		t.Fatal(err)
	}
	ended := 0.0
	for _, n := range f.Outcomes {
		ended += n
	}
	if f.Invocations < 100 || ended != f.Invocations || f.Outcomes["served"] < f.Invocations/4 {
		t.Errorf("%.0f tries, %.0f ended, %v", f.Invocations, ended, f.Outcomes)
	}
	for _, b := range w.Oracle.Violations {
		if b.Rule != 1 || !strings.Contains(b.Text, "gave up") {
			t.Error(b)
		}
	}
	if len(told) == 0 || !strings.Contains(told[0], "api gateway") {
		t.Errorf("nobody was killed: %q", told)
	}
	log, err := os.ReadFile(filepath.Join(dir, "edge-0.log"))
	if err != nil || !strings.Contains(string(log), `"ended"`) {
		t.Errorf("the api gateway did not end well: %v %s", err, log)
	}
	if f.CounterCalls == 0 || f.Attempts == 0 {
		t.Error("neither counter nor hosts were called")
	}
}

func TestAddressesElsewhereAreRefused(t *testing.T) {
	leakcheck.Check(t)
	for _, a := range []string{"10.0.0.1:80", "192.0.2.1:8443", "example.org:80", "nonsense"} {
		if _, _, err := RunClients(context.Background(), short(t, ""), 1, []string{a}); err == nil {
			t.Errorf("%s was taken", a)
		}
	}
	if err := Check(short(t, "\n[[trouble]]\nkind = \"starve\"\nat = \"1s\"\nlasts = \"1s\"\nsize = 0.5\n")); err == nil {
		t.Error("a trouble that sockets can't play was taken")
	}
	big, _ := scenarios.Load("calm-300")
	if Check(big) == nil {
		t.Error("60,000 listeners were taken")
	}
}

// An api gateway that does not come up ends the day with where its log is, and leaves no process.
func TestGatewayThatDoesNotStart(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	script := filepath.Join(dir, "bad")
	os.WriteFile(script, []byte("#!/bin/sh\necho broken >&2\nexit 3\n"), 0o755)
	_, _, err := Play(context.Background(), short(t, ""), 1, Options{Gateway: script, Dir: dir, Memory: 64, Tell: func(string) {}})
	if err == nil || !strings.Contains(err.Error(), "does not come up") || !strings.Contains(err.Error(), dir) {
		t.Fatal(err)
	}
}

// A slow api gateway hides nothing: times count from the intended sending, also when answers come one after another.
func TestTimesCountFromTheIntendedSending(t *testing.T) {
	leakcheck.Check(t)
	s, err := NewScriptedServer(func(m *http1.Message, n int) string {
		time.Sleep(30 * time.Millisecond) // all of its connections wait for each other
		body := field(m, "req-id") + " by nobody"
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.CloseAll()
	f, _, err := RunClients(context.Background(), short(t, "", "fleet.gateways=1", "length=2s", "clients.rate=60/s", "clients.retries=0"), 1, []string{s.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	// Twice as many come as it can answer: what waits grows, and a closed loop would see 30 ms throughout.
	if f.Quantile("all", 0.5) < 0.1 {
		t.Errorf("half of the answers within %.3f s", f.Quantile("all", 0.5))
	}
}

// The counter's stand-in answers calls in order, adds exactly, and turns down what is no call.
func TestCounterStandIn(t *testing.T) {
	leakcheck.Check(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	dir := t.TempDir()
	ready := make(chan []string, 1)
	go RunStandIns(ctx, short(t, "", "length=20s"), 1, dir, nil, func(p []string) { ready <- p })
	text, err := os.ReadFile((<-ready)[0])
	if err != nil {
		t.Fatal(err)
	}
	_, addr, _ := strings.Cut(string(text), `"counter": "`)
	addr, _, _ = strings.Cut(addr, `"`)
	tcp, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	tcp.SetDeadline(time.Now().Add(10 * time.Second))
	for _, target := range []string{
		"/counters/7?by=2.5&expire_ms=60000", "/counters/7?by=-1&expire_ms=1", "/counters/x?by=1&expire_ms=1",
		"/counters/7?by=NaN&expire_ms=1", "/counters/9?by=4&expire_ms=60000",
	} {
		io.WriteString(tcp, "POST "+target+" HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n")
	}
	var got []string
	ReadMessages(tcp, true, func(m *http1.Message) bool {
		got = append(got, fmt.Sprint(m.Status, " ", string(m.Body)))
		return len(got) < 5
	})
	// What is no call is answered where it stands in the order.
	if strings.Join(got, "|") != "200 2.5|200 1.5|400 |400 |200 4" {
		t.Fatalf("%q", got)
	}
}

// Events happen in the order of their times though they come from sockets and from the queue.
func TestPumpKeepsTime(t *testing.T) {
	leakcheck.Check(t)
	q := &eventqueue.Queue{}
	p := newPump(q)
	var order []string
	fired := make(chan bool)
	p.Do(func() { order = append(order, "first") })
	q.Schedule(0.2, func() {
		order = append(order, "queue")
		close(fired)
	})
	go func() {
		<-fired
		p.Do(func() {
			order = append(order, fmt.Sprintf("after %v", q.Now() >= 0.2))
			q.Stop()
		})
	}()
	p.run(context.Background(), 30)
	if strings.Join(order, ",") != "first,queue,after true" {
		t.Fatal(order)
	}
}
