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

// TestMain is the program itself where a test starts it so.
func TestMain(m *testing.M) {
	if os.Getenv("OTTERSEAM_TEST_RUN") != "" {
		main()
		return
	}
	signal.Notify(make(chan os.Signal, 1), syscall.SIGUSR2) // what the runtime keeps for signals is there before tests count
	os.Exit(m.Run())
}

// program is the api gateway as a process of its own, with stand-ins round it.
type program struct {
	t         *testing.T
	cmd       *exec.Cmd
	addr      string
	path      string // of the configuration
	config    map[string]any
	log       *logText
	ended     chan error
	discovery net.Listener // discovery
	watches   chan net.Conn
	host      *sockets.ScriptedServer
	counter   *sockets.ScriptedServer
}

type logText struct {
	mu sync.Mutex
	strings.Builder
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Builder.Write(p)
}

func (l *logText) has(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.String(), part)
}

func text(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func newScript(t *testing.T, say func(m *http1.Message, n int) string) *sockets.ScriptedServer {
	s, err := sockets.NewScriptedServer(say)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.CloseAll)
	return s
}

// listen is a listener whose connections are handed over.
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

const operations = `{"balancers":1,"classes":[{"name":"look","goal_time":0.5,"deadline":1,"effect":"idempotent"},
{"name":"pay","goal_time":0.5,"deadline":1,"late_worth":0.5,"effect":"at_most_once"}],"plans":[{"name":"team","rate":1000,"burst":1000}],
"caps":{"try_limit":3,"cancel":true,"dial_timeout":0.25,"idle_close":10},"extra":{"counter":true,"count_limit":0.1,"most_units":8}}`

// newProgram prepares one; what it says of its configuration may be changed before it starts.
func newProgram(t *testing.T) *program {
	leakcheck.Check(t)
	p := &program{t: t, path: filepath.Join(t.TempDir(), "config.json"), log: &logText{}}
	p.discovery, p.watches = listen(t)
	p.host = newScript(t, func(m *http1.Message, n int) string { return text("served") })
	p.counter = newScript(t, func(m *http1.Message, n int) string { return text("1") })
	p.addr = free(t)
	p.config = map[string]any{
		"name": "n", "listen": p.addr, "discovery": p.discovery.Addr().String(), "seed": "1",
		"counter": p.counter.Addr().String(), "settings": json.RawMessage(operations),
		"known": json.RawMessage(list(1, true, entry("h", p.host.Addr().String(), "Ready"))),
	}
	return p
}

func free(t *testing.T) string {
	addr, err := sockets.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func entry(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"state":%q,"weight":1,"started_ms":0}`, id, addr, state)
}

func list(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// write writes the configuration, whole at once, as who replaces one should.
func (p *program) write() {
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

// start starts it, with so many descriptors at most.
func (p *program) start(descriptors int) {
	p.t.Helper()
	p.write()
	p.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q", descriptors, os.Args[0]))
	p.cmd.Env = append(os.Environ(), "OTTERSEAM_TEST_RUN=1", "EDGE_CONFIG="+p.path, "EDGE_OPERATOR=")
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan error, 1)
	p.ended = ended
	cmd := p.cmd
	go func() { ended <- cmd.Wait() }()
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_, _ = p.exit(5 * time.Second)
		if p.t.Failed() {
			p.t.Log(p.log.String())
		}
	})
}

// exit waits for its end; ok: it has come.
func (p *program) exit(within time.Duration) (err error, ok bool) {
	select {
	case err = <-p.ended:
		p.ended <- err
		return err, true
	case <-time.After(within):
		return nil, false
	}
}

// ready waits until it says that it is, and gives how long that took.
func (p *program) ready() time.Duration {
	p.t.Helper()
	begun := time.Now()
	for ; time.Since(begun) < 12*time.Second; time.Sleep(5 * time.Millisecond) {
		if status, _ := p.ask("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n"); status == 200 {
			return time.Since(begun)
		}
	}
	p.t.Fatal("it is not ready: ", p.log.String())
	return 0
}

// ask asks on a connection of its own; status 0: it got no answer.
func (p *program) ask(request string) (status int, body string) {
	tcp, err := net.Dial("tcp", p.addr)
	if err != nil {
		return 0, ""
	}
	defer tcp.Close()
	_ = tcp.SetDeadline(time.Now().Add(4 * time.Second))
	status, body, _, _ = exchange(tcp, request)
	return status, body
}

// exchange sends a request and reads its answer; last: the connection ends with it. err is what ended the reading.
func exchange(tcp net.Conn, request string) (status int, body string, last bool, err error) {
	_, _ = io.WriteString(tcp, request) // an error shows by what is read
	err = sockets.ReadMessages(tcp, true, func(m *http1.Message) bool {
		status, body, last = m.Status, string(m.Body), m.Close
		return false
	})
	return status, body, last, err
}

// signal sends the process a signal.
func (p *program) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("%v: %v", s, err)
	}
}

var (
	requestCount int
	askedMu      sync.Mutex
)

// invocation is a request with an id of its own.
func invocation(operation string) string {
	askedMu.Lock()
	requestCount++
	id := requestCount
	askedMu.Unlock()
	method, length := "GET", ""
	if operation == "pay" {
		method, length = "POST", "Content-Length: 1\r\n\r\nx"
	} else {
		length = "\r\n"
	}
	return fmt.Sprintf("%s /%s/1 HTTP/1.1\r\nReq-Id: %016x\r\nReq-Kind: %s\r\nX-Tier: team\r\nCookie: key=0000000000000007\r\n"+
		"Req-Deadline-Ms: 1000\r\nX-Call-Terms: units=1,spread=1,first=0\r\n%s", method, operation, id, operation, length)
}

// watch answers the next watch with a head and a list.
func (p *program) watch(text string) net.Conn {
	p.t.Helper()
	select {
	case tcp := <-p.watches:
		answerWatch(tcp, text)
		return tcp
	case <-time.After(5 * time.Second):
		p.t.Fatal("no watch came")
		return nil
	}
}

// answerWatch reads the request of a watch, and begins its stream with a text.
func answerWatch(tcp net.Conn, text string) {
	_ = sockets.ReadMessages(tcp, false, func(m *http1.Message) bool { return false })
	fmt.Fprintf(tcp, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
}

// deaf is an address on which no connection ever comes up.
func deaf(t *testing.T) string {
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
	for range 10 { // nobody accepts: once its line is full, the next gets no answer
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("this system goes on accepting")
	return ""
}

// A restarted process is ready soon, whether or not counter and discovery can be had.
func TestReadyThoughCounterAndDiscoveryAreAway(t *testing.T) {
	for name, away := range map[string]func(t *testing.T) string{
		"refused": free,
		"silent":  func(t *testing.T) string { l, _ := listen(t); return l.Addr().String() },
		"deaf":    deaf,
	} {
		t.Run(name, func(t *testing.T) {
			p := newProgram(t)
			p.config["discovery"], p.config["counter"] = away(t), away(t)
			p.start(256)
			if took := p.ready(); took > 3*time.Second {
				t.Errorf("ready after %v", took)
			}
			if status, body := p.ask(invocation("pay")); status != 200 || body != "served" {
				t.Errorf("got %d %q", status, body)
			}
		})
	}
}

// crowd is idle clients without end: each comes again as soon as its connection is closed.
func (p *program) crowd(clients int, stop chan bool, running *sync.WaitGroup) {
	for range clients {
		running.Go(func() {
			for !stopped(stop) {
				p.stayIdle(stop)
			}
		})
	}
}

// stayIdle connects and says nothing, until the connection is closed or the test stops.
func (p *program) stayIdle(stop chan bool) {
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

// Idle clients take all the descriptors they can get while discovery is down. When it is back it is heard, and counter and
// hosts are reached; usual clients are served meanwhile.
func TestIdleClientsLeaveDescriptorsForTheRest(t *testing.T) {
	p := newProgram(t)
	const most = 100
	p.config["limits"] = map[string]any{"memory_mb": 64, "sockets": most}
	p.start(most)
	p.ready()
	stop := make(chan bool)
	var running sync.WaitGroup
	p.crowd(3*most, stop, &running)
	defer running.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second) // discovery says nothing all this while
	second := newScript(t, func(m *http1.Message, n int) string { return text("second") })
	running.Go(func() {
		for {
			select {
			case <-stop:
				return
			case tcp := <-p.watches:
				answerWatch(tcp, list(2, true, entry("second", second.Addr().String(), "Ready")))
			}
		}
	})
	good := 0
	for until := time.Now().Add(6 * time.Second); good < 5 && time.Now().Before(until); {
		if status, body := p.ask(invocation("pay")); status == 200 && body == "second" {
			good++
		}
	}
	if good < 5 {
		t.Errorf("%d invocations reached the host that discovery told of", good)
	}
	if len(p.counter.Requests) == 0 {
		t.Error("the counter was not reached")
	}
	if p.log.has("panic") {
		t.Error("it has ended")
	}
}

// load is clients that ask all the time, on connections that they keep and on new ones.
type load struct {
	p       *program
	stop    chan bool
	running sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int // requests by what became of them
}

func (l *load) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

// client asks until the load stops: every 0 to 6 ms, and each third client on a new connection each time.
func (l *load) client(number int) {
	var kept net.Conn
	defer func() {
		if kept != nil {
			kept.Close()
		}
	}()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(number%7) * time.Millisecond):
		}
		fresh := kept == nil
		if fresh {
			var err error
			if kept, err = net.Dial("tcp", l.p.addr); err != nil {
				kept = nil
				l.count("refused")
				time.Sleep(5 * time.Millisecond)
				continue
			}
		}
		if keep := l.ask(kept, number, fresh); !keep || number%3 == 0 {
			kept.Close()
			kept = nil
		}
	}
}

// ask asks once and counts what becomes of it; keep: the connection can be used on.
func (l *load) ask(tcp net.Conn, number int, fresh bool) (keep bool) {
	_ = tcp.SetDeadline(time.Now().Add(3 * time.Second))
	status, _, last, err := exchange(tcp, invocation([]string{"look", "pay"}[number%2]))
	switch {
	case status != 0:
		l.count(fmt.Sprint(status))
	case fresh:
		l.count("lost on a new connection")
	case err == nil || strings.Contains(err.Error(), "reset") || errors.Is(err, io.EOF):
		l.count("crossed a close")
	default:
		l.count("lost: " + err.Error())
	}
	return status != 0 && !last
}

// SIGTERM while clients ask on connections they keep and on new ones: each request on a new connection is answered, one on a
// kept one is answered or its connection was closed before it was read, and the process ends well.
func TestSIGTERMUnderLoadLosesNoRequest(t *testing.T) {
	p := newProgram(t)
	p.start(512)
	p.ready()
	l := &load{p: p, stop: make(chan bool), counts: map[string]int{}}
	for number := range 40 {
		l.running.Go(func() { l.client(number) })
	}
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	time.Sleep(lateFront)
	close(l.stop) // the front sends nobody any more
	l.running.Wait()
	if err, ok := p.exit(4 * time.Second); !ok || err != nil {
		t.Errorf("it ended: %v, with %v", ok, err)
	}
	for what, n := range l.counts {
		if strings.HasPrefix(what, "lost") {
			t.Errorf("%s: %d", what, n)
		}
	}
	if l.counts["200"] < 100 {
		t.Errorf("too little was asked: %v", l.counts)
	}
	t.Log(l.counts)
}

// lateFront is for how long a front sends to a process that was told to end.
const lateFront = 400 * time.Millisecond

// reloadHalfAFile has the process read a configuration that is half written, and waits until it says so.
func (p *program) reloadHalfAFile() {
	p.t.Helper()
	complete, err := os.ReadFile(p.path)
	if err == nil {
		err = os.WriteFile(p.path, complete[:len(complete)/2], 0o600)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	for until := time.Now().Add(3 * time.Second); !p.log.has("not used") && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
}

// moveDiscovery puts discovery at another address, and writes the configuration that says so.
func (p *program) moveDiscovery() {
	p.t.Helper()
	p.discovery, p.watches = listen(p.t)
	p.config["discovery"] = p.discovery.Addr().String()
	p.write()
}

// New addresses in a row, among them files that are half written, and then a drain at the newest: nothing goes to the host
// that left, and SIGTERM is heard behind all of it.
func TestSIGHUPsThenADrainThenSIGTERMAreAllHeard(t *testing.T) {
	p := newProgram(t)
	p.start(256)
	p.ready()
	other := newScript(t, func(m *http1.Message, n int) string { return text("other") })
	var last net.Conn
	for i := range 5 {
		p.reloadHalfAFile()
		p.moveDiscovery()
		for range 20 {
			p.signal(syscall.SIGHUP)
		}
		last = p.watch(list(10+i, true, entry("h", p.host.Addr().String(), "Ready"), entry("o", other.Addr().String(), "Ready")))
	}
	if !p.log.has("not used") {
		t.Error("the log does not say that a file could not be used")
	}
	s := list(20, false, entry("h", p.host.Addr().String(), "Terminating"))
	fmt.Fprintf(last, "%x\r\n%s\r\n", len(s), s)
	time.Sleep(100 * time.Millisecond)
	for len(p.host.Requests) > 0 {
		<-p.host.Requests
	}
	for i := range 20 {
		if status, body := p.ask(invocation("pay")); status != 200 || body != "other" {
			t.Fatalf("invocation %d: %d %q", i, status, body)
		}
	}
	for range 20 {
		p.signal(syscall.SIGHUP)
	}
	p.signal(syscall.SIGTERM)
	if err, ok := p.exit(4 * time.Second); !ok || err != nil {
		t.Errorf("it ended: %v, with %v", ok, err)
	}
}

// SIGTERM at any moment of its start ends it, and well once it has its configuration.
func TestSIGTERMAtAnyMomentOfTheStartEndsTheProcess(t *testing.T) {
	for _, after := range []time.Duration{0, 2, 5, 10, 20, 40} {
		p := newProgram(t)
		p.start(256)
		time.Sleep(after * time.Millisecond)
		p.signal(syscall.SIGTERM)
		err, ok := p.exit(4 * time.Second)
		if !ok || err != nil && p.log.has(`"up"`) {
			t.Errorf("after %d ms: ended %v with %v", after, ok, err)
		}
	}
}

// Killed with connections open, and at once after an accept: its next life listens at the same address and serves.
func TestARestartedProcessServesAtTheSameAddress(t *testing.T) {
	p := newProgram(t)
	p.start(256)
	p.ready()
	for range 3 {
		tcp, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(tcp, invocation("pay"))
		p.signal(syscall.SIGKILL)
		_, _ = p.exit(3 * time.Second)
		p.start(256)
		p.ready()
		tcp.Close()
		if status, body := p.ask(invocation("pay")); status != 200 || body != "served" {
			t.Fatalf("got %d %q", status, body)
		}
	}
}
