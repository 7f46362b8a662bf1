package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/gateway/http1"
	"otterseam/gateway/simprotocol"
	"otterseam/harness/leakcheck"
	"otterseam/harness/sockets"
)

// settings are gateway settings with one idempotent and one non-idempotent operation, which differ on the wire.
const settings = `{"balancers":1,"locality":"z","caps":{"try_limit":3,"cancel":true,"dial_timeout":0.25,"idle_close":10},
"classes":[{"name":"look","goal_time":0.5,"deadline":1,"gain":1,"effect":"idempotent"},
{"name":"pay","goal_time":0.5,"deadline":1,"gain":1,"late_worth":0.5,"effect":"at_most_once"}],
"contract":{"start_capacity":0.2,"warm_up":5,"overload_factor":3},"plans":[{"name":"team","rate":50,"burst":1000}],
"extra":{"counter":true,"count_limit":0.3,"most_units":8}}`

// fakeServer is a scripted host or counter service, based on harness/sockets.
type fakeServer struct{ *sockets.ScriptedServer }

func newFakeServer(t *testing.T, respond func(m *http1.Message, n int) string) *fakeServer {
	t.Helper()
	leakcheck.Check(t)
	s, err := sockets.NewScriptedServer(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.CloseAll)
	return &fakeServer{s}
}

func readMessages(tcp net.Conn, response bool, each func(m *http1.Message) bool) {
	_ = sockets.ReadMessages(tcp, response, each)
}

func (s *fakeServer) nextRequest(t *testing.T) string {
	t.Helper()
	select {
	case x := <-s.Requests:
		return x
	case <-time.After(3 * time.Second):
		t.Fatal("no request arrived")
		return ""
	}
}

func (s *fakeServer) expectNoRequest(t *testing.T) {
	t.Helper()
	select {
	case x := <-s.Requests:
		t.Fatalf("unexpected request %q", x)
	default:
	}
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// belowQuota is the script of a counter whose totals are always below any quota.
func belowQuota(m *http1.Message, n int) string { return ok("1") }

// testGateway is a gateway connected to fake servers.
type testGateway struct {
	t               *testing.T
	addr            string
	loop            *EventLoop
	clients         *ClientListener
	pool            *HostPool
	counter         *CounterClient
	discovery       *DiscoveryClient
	discoveryServer *fakeDiscovery
	hook            *connHook
	discoveryLines  chan string // lines that the fake discovery sends
	log             *logBuffer
}

type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), text)
}

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

func entry(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z","state":%q,"weight":1,"started_ms":0}`, id, addr, state)
}

// gatewaySetup describes the parts of a testGateway that differ from the defaults.
type gatewaySetup struct {
	counter         func(m *http1.Message, n int) string
	hosts           []*fakeServer
	settings        string
	shortTimeouts   bool                                                              // short silence timeouts for discovery
	manualDiscovery bool                                                              // the test itself writes to the watches
	listener        func(l net.Listener) net.Listener                                 // wraps the default listener
	connect         func(ctx context.Context, network, addr string) (net.Conn, error) // replaces the dialer for hosts
}

func start(t *testing.T, counter func(m *http1.Message, n int) string, hosts ...*fakeServer) *testGateway {
	t.Helper()
	return gatewaySetup{counter: counter, hosts: hosts}.start(t)
}

// start starts a gateway that knows the hosts from the beginning. It stops when the test ends.
func (setup gatewaySetup) start(t *testing.T) *testGateway {
	t.Helper()
	leakcheck.Check(t)
	if setup.settings == "" {
		setup.settings = settings
	}
	var policySettings simprotocol.Settings
	if err := json.Unmarshal([]byte(setup.settings), &policySettings); err != nil {
		t.Fatal(err)
	}
	root, stop := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(root)
	gw := &testGateway{t: t, discoveryLines: make(chan string, 10), log: &logBuffer{}}
	gw.loop = NewEventLoop(zerolog.New(gw.log))
	gatewayPolicy, err := policySettings.NewPolicy(1, gw.loop)
	if err != nil {
		t.Fatal(err)
	}
	peers, err := NewPeerSocket(gw.loop, PeerOptions{Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	setup.makeParts(ctx, group, gw, &policySettings)
	if setup.counter != nil {
		gw.counter.UseAddress(newFakeServer(t, setup.counter).Addr().String())
	}
	group.Go(func() error { return gw.loop.Run(ctx, gatewayPolicy, gw.pool, gw.counter, peers) })
	group.Go(func() error { return peers.Read(ctx) })
	group.Go(func() error { return peers.Write(ctx) })
	setup.startDiscovery(ctx, group, gw)
	if setup.counter != nil {
		for until := time.Now().Add(3 * time.Second); !gw.counter.allConnected() && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
	}
	group.Go(gw.clients.Accept)
	group.Go(gw.clients.ReapIdle)
	t.Cleanup(func() {
		stop()
		gw.clients.Close()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return gw
}

// makeParts creates the parts between the event loop and the sockets.
func (setup gatewaySetup) makeParts(ctx context.Context, group *errgroup.Group, gw *testGateway, s *simprotocol.Settings) {
	gw.t.Helper()
	log := zerolog.New(gw.log)
	buffers := NewBufferPool(8, 100)
	gw.pool = NewHostPool(ctx, group, gw.loop, buffers, HostPoolOptions{
		MaxConns: 50, ConnectTimeout: s.Caps.DialTimeout, IdleTimeout: s.Caps.IdleTimeout,
	})
	if setup.connect != nil {
		gw.pool.connect = setup.connect
	}
	gw.counter = NewCounterClient(ctx, group, gw.loop, CounterOptions{CallTimeout: s.Shared.CounterTimeout})
	var err error
	gw.clients, err = NewClientListener(ctx, group, gw.loop, log, buffers, ClientOptions{
		Address: "127.0.0.1:0", OperationLimit: s.Accepts, MaxConns: 50, Ready: func() bool { return true },
	})
	if err != nil {
		gw.t.Fatal(err)
	}
	gw.clients.requestTimeout = 200 * time.Millisecond
	gw.addr = gw.clients.listener.Addr().String()
	if setup.listener != nil {
		gw.clients.listener = setup.listener(gw.clients.listener)
	}
	gw.discovery = NewDiscoveryClient(ctx, group, gw.loop, log, DiscoveryOptions{})
	if setup.shortTimeouts {
		gw.discovery.silenceTimeout, gw.discovery.firstDataTimeout = 300*time.Millisecond, 100*time.Millisecond
	}
}

// startDiscovery applies the initial list of hosts and starts to watch a fake discovery.
func (setup gatewaySetup) startDiscovery(ctx context.Context, group *errgroup.Group, gw *testGateway) {
	first := Roster{Full: true}
	for i, h := range setup.hosts {
		first.Servers = append(first.Servers, RosterEntry{
			ID: fmt.Sprint("h", i), Addr: h.Addr().String(), Zone: "z",
			State: "Ready", Weight: 1,
		})
	}
	gw.discovery.UseSaved(ctx, first)
	gw.loop.post(ctx, func() {}) // the list is applied before the watch begins
	gw.discoveryServer = newFakeDiscovery(gw.t)
	if !setup.manualDiscovery {
		lines := gw.discoveryLines
		group.Go(func() error {
			gw.discoveryServer.serveWatches(ctx, lines)
			return nil
		})
	}
	gw.discovery.Watch(gw.discoveryServer.Addr().String())
}

// fakeDiscovery is a fake discovery service: a listener that hands its watches to the test.
type fakeDiscovery struct {
	net.Listener
	opened chan *fakeWatch
}

// fakeWatch is one watch opened by the gateway.
type fakeWatch struct {
	net.Conn
	from  int64
	ended chan struct{} // closed when the gateway has closed the connection
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	leakcheck.Check(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeDiscovery{l, make(chan *fakeWatch, 100)}
	var mu sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	})
	go func() {
		for {
			tcp, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, tcp)
			mu.Unlock()
			go func() {
				f := &fakeWatch{Conn: tcp, from: -1, ended: make(chan struct{})}
				readMessages(tcp, false, func(m *http1.Message) bool {
					_, _ = fmt.Sscanf(string(m.Target), "/catalog/members?watch=1&from=%d", &f.from)
					a.opened <- f
					return true
				})
				tcp.Close()
				close(f.ended)
			}()
		}
	}()
	return a
}

// next returns the next watch that is opened.
func (a *fakeDiscovery) next(t *testing.T) *fakeWatch {
	t.Helper()
	select {
	case f := <-a.opened:
		return f
	case <-time.After(5 * time.Second):
		t.Fatal("no watch was opened")
		return nil
	}
}

// waitClosed waits until the gateway has closed the watch.
func (f *fakeWatch) waitClosed(t *testing.T) {
	t.Helper()
	select {
	case <-f.ended:
	case <-time.After(4 * time.Second):
		t.Fatal("the watch was not closed")
	}
}

// sendHead sends the response head that starts the stream. send sends text as one chunk.
func (f *fakeWatch) sendHead() {
	sendText(f, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func (f *fakeWatch) send(text string) { fmt.Fprintf(f, "%x\r\n%s\r\n", len(text), text) }

// serveWatches sends an empty line to every watch at short intervals, and each of the test's lines to the newest watch.
func (a *fakeDiscovery) serveWatches(ctx context.Context, lines chan string) {
	var all []*fakeWatch
	heartbeat := time.NewTicker(500 * time.Millisecond)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-a.opened:
			f.sendHead()
			all = append(all, f)
		case <-heartbeat.C:
			for _, f := range all {
				f.send("\n")
			}
		case line := <-lines:
			if len(all) == 0 {
				select {
				case <-ctx.Done():
					return
				case f := <-a.opened:
					f.sendHead()
					all = append(all, f)
				}
			}
			all[len(all)-1].send(line + "\n")
		}
	}
}

// allConnected reports whether every connection is established.
func (c *CounterClient) allConnected() bool {
	for _, conn := range c.conns {
		conn.mu.Lock()
		established := conn.connected
		conn.mu.Unlock()
		if !established {
			return false
		}
	}
	return true
}

// connections returns the number of client connections.
func (gw *testGateway) connections() int {
	n, _ := gw.clients.counts()
	return n
}

func (gw *testGateway) dial() net.Conn {
	gw.t.Helper()
	tcp, err := net.Dial("tcp", gw.addr)
	if err != nil {
		gw.t.Fatal(err)
	}
	gw.t.Cleanup(func() { tcp.Close() })
	_ = tcp.SetDeadline(time.Now().Add(5 * time.Second))
	return tcp
}

// exchange sends text on a connection and returns the status and body of the response. status is 0 if the connection ended without
// a response.
func exchange(conn net.Conn, text string) (status int, body string) {
	sendText(conn, text)
	readMessages(conn, true, func(m *http1.Message) bool {
		status, body = m.Status, string(m.Body)
		return false
	})
	return status, body
}

// closed reports whether the gateway has closed the connection.
func closed(conn net.Conn) bool {
	n, err := conn.Read(make([]byte, 1))
	return n == 0 && err != nil && !isTimeout(err)
}

var requestCount atomic.Uint64

// invoke returns a client's request for an operation, with a unique ID and a deadline in milliseconds.
func invoke(operation string, ms int, body string) string {
	method := map[string]string{"look": "GET", "pay": "POST"}[operation]
	text := fmt.Sprintf("%s /%s/1?x=2 HTTP/1.1\r\nHost: app\r\nReq-Id: %016x\r\nReq-Kind: %s\r\nX-Tier: team\r\n"+
		"Cookie: key=00000000b4d65521\r\nReq-Deadline-Ms: %d\r\nX-Call-Terms: units=1,spread=1,first=0\r\n",
		method, operation, requestCount.Add(1), operation, ms)
	if method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// sendText sends text on a connection. A write error is ignored, as it shows in what is read next.
func sendText(conn io.Writer, text string) { _, _ = io.WriteString(conn, text) }

// waitFor waits until a condition holds, which it evaluates on the event loop.
func (gw *testGateway) waitFor(condition func() bool) {
	gw.t.Helper()
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		got := make(chan bool)
		gw.loop.queue <- func() { got <- condition() }
		if <-got {
			return
		}
	}
	gw.t.Fatal("the condition was not met in time")
}
