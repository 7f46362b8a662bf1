package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"otterseam/gateway/http1"
	"otterseam/harness/leakcheck"
	"otterseam/harness/sockets"
)

// TestMain runs the program instead of the tests if a test has started this binary with OTTERSEAM_TEST_RUN.
func TestMain(m *testing.M) {
	if os.Getenv("OTTERSEAM_TEST_RUN") != "" {
		main()
		return
	}
	signal.Notify(make(chan os.Signal, 1), syscall.SIGUSR2) // starts the runtime's signal handling before leakcheck counts
	os.Exit(m.Run())
}

// gatewayProcess runs the API gateway as a separate process, with fake services around it.
type gatewayProcess struct {
	t         *testing.T
	cmd       *exec.Cmd
	addr      string
	path      string // path of the configuration file
	config    map[string]any
	log       *logBuffer
	exited    chan error
	discovery net.Listener
	watches   chan net.Conn
	host      *sockets.ScriptedServer
	counter   *sockets.ScriptedServer
}

type logBuffer struct {
	mu sync.Mutex
	strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Builder.Write(p)
}

func (l *logBuffer) contains(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.String(), part)
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func newScriptedServer(t *testing.T, respond func(m *http1.Message, n int) string) *sockets.ScriptedServer {
	s, err := sockets.NewScriptedServer(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.CloseAll)
	return s
}

// listen opens a listener and returns it with a channel of its accepted connections.
func listen(t *testing.T) (net.Listener, chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 1000)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			conns <- c
		}
	}()
	return l, conns
}

const settingsWithCounter = `{"balancers":1,"classes":[{"name":"look","goal_time":0.5,"deadline":1,"effect":"idempotent"},
{"name":"pay","goal_time":0.5,"deadline":1,"late_worth":0.5,"effect":"at_most_once"}],"plans":[{"name":"team","rate":1000,"burst":1000}],
"caps":{"try_limit":3,"cancel":true,"dial_timeout":0.25,"idle_close":10},"extra":{"counter":true,"count_limit":0.1,"most_units":8}}`

// newGatewayProcess prepares a process. The test may change its configuration before calling start.
func newGatewayProcess(t *testing.T) *gatewayProcess {
	leakcheck.Check(t)
	p := &gatewayProcess{t: t, path: filepath.Join(t.TempDir(), "config.json"), log: &logBuffer{}}
	p.discovery, p.watches = listen(t)
	p.host = newScriptedServer(t, func(m *http1.Message, n int) string { return okResponse("served") })
	p.counter = newScriptedServer(t, func(m *http1.Message, n int) string { return okResponse("1") })
	p.addr = freeAddress(t)
	p.config = map[string]any{
		"name": "n", "listen": p.addr, "discovery": p.discovery.Addr().String(), "seed": "1",
		"counter": p.counter.Addr().String(), "settings": json.RawMessage(settingsWithCounter),
		"known": json.RawMessage(hostList(1, true, hostEntry("h", p.host.Addr().String(), "Ready"))),
	}
	return p
}

func freeAddress(t *testing.T) string {
	addr, err := sockets.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func hostEntry(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"state":%q,"weight":1,"started_ms":0}`, id, addr, state)
}

func hostList(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// writeConfig writes the configuration and replaces the file atomically, as operators should do it.
func (p *gatewayProcess) writeConfig() {
	p.t.Helper()
	b, err := json.Marshal(p.config)
	if err == nil {
		err = os.WriteFile(p.path+".new", b, 0o600)
	}
	if err == nil {
		err = os.Rename(p.path+".new", p.path)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

// start starts the process with a limit on its file descriptors.
func (p *gatewayProcess) start(descriptors int) {
	p.t.Helper()
	p.writeConfig()
	p.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q", descriptors, os.Args[0]))
	p.cmd.Env = append(os.Environ(), "OTTERSEAM_TEST_RUN=1", "EDGE_CONFIG="+p.path, "EDGE_OPERATOR=")
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan error, 1)
	p.exited = exited
	cmd := p.cmd
	go func() { exited <- cmd.Wait() }()
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_, _ = p.waitExit(5 * time.Second)
		if p.t.Failed() {
			p.t.Log(p.log.String())
		}
	})
}

// waitExit waits until the process exits and returns its error. ok is false if it did not exit in time.
func (p *gatewayProcess) waitExit(within time.Duration) (err error, ok bool) {
	select {
	case err = <-p.exited:
		p.exited <- err
		return err, true
	case <-time.After(within):
		return nil, false
	}
}

// waitReady waits until the health check succeeds, and returns how long that took.
func (p *gatewayProcess) waitReady() time.Duration {
	p.t.Helper()
	started := time.Now()
	for ; time.Since(started) < 12*time.Second; time.Sleep(5 * time.Millisecond) {
		if status, _ := p.roundTrip("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n"); status == 200 {
			return time.Since(started)
		}
	}
	p.t.Fatal("the process did not become ready: ", p.log.String())
	return 0
}

// roundTrip sends a request on a new connection. The returned status is 0 if there was no response.
func (p *gatewayProcess) roundTrip(request string) (status int, body string) {
	tcp, err := net.Dial("tcp", p.addr)
	if err != nil {
		return 0, ""
	}
	defer tcp.Close()
	_ = tcp.SetDeadline(time.Now().Add(4 * time.Second))
	status, body, _, _ = exchange(tcp, request)
	return status, body
}

// exchange sends a request and reads its response. last reports that the response closes the connection, and err is the error
// that ended reading.
func exchange(tcp net.Conn, request string) (status int, body string, last bool, err error) {
	_, _ = io.WriteString(tcp, request) // a failed write also makes the read fail
	err = sockets.ReadMessages(tcp, true, func(m *http1.Message) bool {
		status, body, last = m.Status, string(m.Body), m.Close
		return false
	})
	return status, body, last, err
}

// signal sends the process a signal.
func (p *gatewayProcess) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("%v: %v", s, err)
	}
}

var (
	requestCount   int
	requestCountMu sync.Mutex
)

// newInvocation returns a request with a unique ID.
func newInvocation(operation string) string {
	requestCountMu.Lock()
	requestCount++
	id := requestCount
	requestCountMu.Unlock()
	method, length := "GET", ""
	if operation == "pay" {
		method, length = "POST", "Content-Length: 1\r\n\r\nx"
	} else {
		length = "\r\n"
	}
	return fmt.Sprintf("%s /%s/1 HTTP/1.1\r\nReq-Id: %016x\r\nReq-Kind: %s\r\nX-Tier: team\r\nCookie: key=0000000000000007\r\n"+
		"Req-Deadline-Ms: 1000\r\nX-Call-Terms: units=1,spread=1,first=0\r\n%s", method, operation, id, operation, length)
}

// acceptWatch accepts the next watch connection, and sends a response head and text as the first chunk of its stream.
func (p *gatewayProcess) acceptWatch(text string) net.Conn {
	p.t.Helper()
	select {
	case tcp := <-p.watches:
		answerWatch(tcp, text)
		return tcp
	case <-time.After(5 * time.Second):
		p.t.Fatal("no watch request was received")
		return nil
	}
}

// answerWatch reads a watch request and sends a response head and text as the first chunk of its stream.
func answerWatch(tcp net.Conn, text string) {
	_ = sockets.ReadMessages(tcp, false, func(m *http1.Message) bool { return false })
	fmt.Fprintf(tcp, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
}

// unacceptingAddress returns an address at which connection attempts get no reply.
func unacceptingAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	at, _ := syscall.Getsockname(fd)
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	for range 10 { // nothing accepts, so connection attempts get no reply once the backlog is full
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the kernel completed all connections despite the full backlog")
	return ""
}

// A restarted process becomes ready soon even if counter and discovery are unavailable.
func TestReadyWithoutCounterAndDiscovery(t *testing.T) {
	for name, unavailable := range map[string]func(t *testing.T) string{
		"refused": freeAddress,
		"silent":  func(t *testing.T) string { l, _ := listen(t); return l.Addr().String() },
		"deaf":    unacceptingAddress,
	} {
		t.Run(name, func(t *testing.T) {
			p := newGatewayProcess(t)
			p.config["discovery"], p.config["counter"] = unavailable(t), unavailable(t)
			p.start(256)
			if took := p.waitReady(); took > 3*time.Second {
				t.Errorf("ready after %v", took)
			}
			if status, body := p.roundTrip(newInvocation("pay")); status != 200 || body != "served" {
				t.Errorf("got %d %q", status, body)
			}
		})
	}
}

// startIdleClients starts clients that keep idle connections open. Each reconnects as soon as its connection is closed.
func (p *gatewayProcess) startIdleClients(clients int, stop chan bool, running *sync.WaitGroup) {
	for range clients {
		running.Go(func() {
			for !stopped(stop) {
				p.holdIdleConnection(stop)
			}
		})
	}
}

// holdIdleConnection connects and sends nothing until the connection is closed or the test stops.
func (p *gatewayProcess) holdIdleConnection(stop chan bool) {
	tcp, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer tcp.Close()
	go func() {
		<-stop
		_ = tcp.SetDeadline(time.Now())
	}()
	_, _ = tcp.Read(make([]byte, 1))
}

func stopped(stop chan bool) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// Idle clients take all the descriptors they can get while discovery does not respond. The process must still have descriptors to
// reach discovery once it is back, the counter and the hosts, and to serve other clients.
func TestIdleClientsLeaveDescriptorsForOtherUses(t *testing.T) {
	p := newGatewayProcess(t)
	const descriptorLimit = 100
	p.config["limits"] = map[string]any{"memory_mb": 64, "sockets": descriptorLimit}
	p.start(descriptorLimit)
	p.waitReady()
	stop := make(chan bool)
	var running sync.WaitGroup
	p.startIdleClients(3*descriptorLimit, stop, &running)
	defer running.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second) // discovery does not respond during this time
	second := newScriptedServer(t, func(m *http1.Message, n int) string { return okResponse("second") })
	running.Go(func() {
		for {
			select {
			case <-stop:
				return
			case tcp := <-p.watches:
				answerWatch(tcp, hostList(2, true, hostEntry("second", second.Addr().String(), "Ready")))
			}
		}
	})
	reached := 0
	for until := time.Now().Add(6 * time.Second); reached < 5 && time.Now().Before(until); {
		if status, body := p.roundTrip(newInvocation("pay")); status == 200 && body == "second" {
			reached++
		}
	}
	if reached < 5 {
		t.Errorf("%d invocations reached the host announced by discovery, want 5", reached)
	}
	if len(p.counter.Requests) == 0 {
		t.Error("the counter was not reached")
	}
	if p.log.contains("panic") {
		t.Error("the process panicked")
	}
}

// load is a set of clients that send requests continuously, on persistent and on new connections.
type load struct {
	p       *gatewayProcess
	stop    chan bool
	running sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int // number of requests by outcome
}

func (l *load) count(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcome]++
}

// client sends requests until the load stops, with a delay of 0 to 6 ms between them. Every third client opens a new connection
// for each request.
func (l *load) client(number int) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(number%7) * time.Millisecond):
		}
		fresh := conn == nil
		if fresh {
			var err error
			if conn, err = net.Dial("tcp", l.p.addr); err != nil {
				conn = nil
				l.count("refused")
				time.Sleep(5 * time.Millisecond)
				continue
			}
		}
		if keep := l.roundTrip(conn, number, fresh); !keep || number%3 == 0 {
			conn.Close()
			conn = nil
		}
	}
}

// roundTrip sends one request and counts its outcome. keep reports whether the connection can be reused.
func (l *load) roundTrip(tcp net.Conn, number int, fresh bool) (keep bool) {
	_ = tcp.SetDeadline(time.Now().Add(3 * time.Second))
	status, _, last, err := exchange(tcp, newInvocation([]string{"look", "pay"}[number%2]))
	switch {
	case status != 0:
		l.count(fmt.Sprint(status))
	case fresh:
		l.count("lost on a new connection")
	case err == nil || strings.Contains(err.Error(), "reset") || errors.Is(err, io.EOF):
		l.count("raced with a close")
	default:
		l.count("lost: " + err.Error())
	}
	return status != 0 && !last
}

// SIGTERM while clients send requests. Each request on a new connection is answered. A request on a persistent connection is
// answered, or the connection was closed before the request was read. The process exits without an error.
func TestSIGTERMUnderLoadLosesNoRequest(t *testing.T) {
	p := newGatewayProcess(t)
	p.start(512)
	p.waitReady()
	l := &load{p: p, stop: make(chan bool), counts: map[string]int{}}
	for number := range 40 {
		l.running.Go(func() { l.client(number) })
	}
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	time.Sleep(frontStopDelay)
	close(l.stop) // the front has stopped routing clients to this process
	l.running.Wait()
	if err, ok := p.waitExit(4 * time.Second); !ok || err != nil {
		t.Errorf("exited: %v, with error %v", ok, err)
	}
	for outcome, n := range l.counts {
		if strings.HasPrefix(outcome, "lost") {
			t.Errorf("%s: %d", outcome, n)
		}
	}
	if l.counts["200"] < 100 {
		t.Errorf("too few requests were answered: %v", l.counts)
	}
	t.Log(l.counts)
}

// frontStopDelay is how long a front still routes clients to a process after SIGTERM.
const frontStopDelay = 400 * time.Millisecond

// reloadTruncatedConfig makes the process read a partially written configuration, and waits until it logs the failure.
func (p *gatewayProcess) reloadTruncatedConfig() {
	p.t.Helper()
	complete, err := os.ReadFile(p.path)
	if err == nil {
		err = os.WriteFile(p.path, complete[:len(complete)/2], 0o600)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	for until := time.Now().Add(3 * time.Second); !p.log.contains("failed to reload") && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
}

// moveDiscovery moves discovery to another address and writes the configuration with that address.
func (p *gatewayProcess) moveDiscovery() {
	p.t.Helper()
	p.discovery, p.watches = listen(p.t)
	p.config["discovery"] = p.discovery.Addr().String()
	p.writeConfig()
}

// Repeated reloads, some of a partially written file, are followed by the drain of a host at the newest discovery address. No
// request goes to the drained host, and a SIGTERM after many SIGHUPs is still handled.
func TestSIGHUPsThenADrainThenSIGTERMAreAllHandled(t *testing.T) {
	p := newGatewayProcess(t)
	p.start(256)
	p.waitReady()
	other := newScriptedServer(t, func(m *http1.Message, n int) string { return okResponse("other") })
	var last net.Conn
	for i := range 5 {
		p.reloadTruncatedConfig()
		p.moveDiscovery()
		for range 20 {
			p.signal(syscall.SIGHUP)
		}
		last = p.acceptWatch(hostList(10+i, true, hostEntry("h", p.host.Addr().String(), "Ready"), hostEntry("o", other.Addr().String(), "Ready")))
	}
	if !p.log.contains("failed to reload") {
		t.Error("the log does not report the failed reload")
	}
	s := hostList(20, false, hostEntry("h", p.host.Addr().String(), "Terminating"))
	fmt.Fprintf(last, "%x\r\n%s\r\n", len(s), s)
	time.Sleep(100 * time.Millisecond)
	for len(p.host.Requests) > 0 {
		<-p.host.Requests
	}
	for i := range 20 {
		if status, body := p.roundTrip(newInvocation("pay")); status != 200 || body != "other" {
			t.Fatalf("invocation %d: %d %q", i, status, body)
		}
	}
	for range 20 {
		p.signal(syscall.SIGHUP)
	}
	p.signal(syscall.SIGTERM)
	if err, ok := p.waitExit(4 * time.Second); !ok || err != nil {
		t.Errorf("exited: %v, with error %v", ok, err)
	}
}

// SIGTERM at any time during startup ends the process, without an error once the process has logged that it is up.
func TestSIGTERMDuringStartupEndsTheProcess(t *testing.T) {
	for _, after := range []time.Duration{0, 2, 5, 10, 20, 40} {
		p := newGatewayProcess(t)
		p.start(256)
		time.Sleep(after * time.Millisecond)
		p.signal(syscall.SIGTERM)
		err, ok := p.waitExit(4 * time.Second)
		if !ok || err != nil && p.log.contains(`"up"`) {
			t.Errorf("SIGTERM after %d ms: exited: %v, with error %v", after, ok, err)
		}
	}
}

// A process is killed with open connections, right after it accepted one. The next process listens on the same address and
// serves.
func TestARestartedProcessServesAtTheSameAddress(t *testing.T) {
	p := newGatewayProcess(t)
	p.start(256)
	p.waitReady()
	for range 3 {
		tcp, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(tcp, newInvocation("pay"))
		p.signal(syscall.SIGKILL)
		_, _ = p.waitExit(3 * time.Second)
		p.start(256)
		p.waitReady()
		tcp.Close()
		if status, body := p.roundTrip(newInvocation("pay")); status != 200 || body != "served" {
			t.Fatalf("got %d %q", status, body)
		}
	}
}
