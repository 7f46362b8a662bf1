package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"otterseam/harness/leakcheck"
	"otterseam/quotastore/protocol"
)

// testTimeout is the deadline of each operation in a test.
const testTimeout = 20 * time.Second

// singleServerConfig returns the configuration of a single server on ports that the system assigns.
func singleServerConfig() *ClusterConfig {
	return &ClusterConfig{
		Groups:        2,
		Replicas:      1,
		ReplaceAfter:  30,
		SnapshotRate:  4e6,
		MaxLogEntries: 64,
		Members:       []MemberConfig{{Name: "alone", PeerAddress: "127.0.0.1:0", CounterAddress: "127.0.0.1:0"}},
	}
}

// startSingleServer runs a single server without a data directory. It holds all groups after its bootstrap. The returned
// configuration has the server's actual addresses.
func startSingleServer(t *testing.T) *ClusterConfig {
	t.Helper()
	return reachableConfig(startServer(t, singleServerConfig(), Options{Name: "alone"}))
}

// reachableConfig returns the configuration of a single server with its actual addresses. The server itself keeps the
// configuration that it was created with.
func reachableConfig(s *Server) *ClusterConfig {
	config := singleServerConfig()
	config.Members[0].PeerAddress = s.transport.listener.Addr().String()
	config.Members[0].CounterAddress = s.counter.listener.Addr().String()
	return config
}

// startServer runs a server until the test ends.
func startServer(t *testing.T, config *ClusterConfig, options Options) *Server {
	t.Helper()
	s, err := New(config, options, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	stop := run(t, s)
	t.Cleanup(stop)
	return s
}

// run runs a server until the returned function is called, which waits until Run has returned.
func run(t *testing.T, s *Server) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Shutdown ends all goroutines and closes the idle connections of callers and clients.
func TestShutdownClosesOpenConnections(t *testing.T) {
	leakcheck.Check(t)
	s, err := New(singleServerConfig(), Options{Name: "alone", Dir: t.TempDir()}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	stop := run(t, s)
	server := reachableConfig(s).Members[0]
	caller, client := dial(t, server.CounterAddress), dial(t, server.PeerAddress)
	if _, err := client.Write(clientRequests(t)); err != nil {
		t.Fatal(err)
	}
	if _, err := protocol.ReadFrame(client, protocol.MaxFrameBytes); err != nil {
		t.Fatal(err)
	}
	exchange(t, server.CounterAddress, "GET /_health HTTP/1.1\r\nHost: counter\r\n\r\n")
	stop()
	for name, conn := range map[string]net.Conn{"caller": caller, "client": client} {
		if _, err := io.Copy(io.Discard, conn); err != nil && isTimeout(err) {
			t.Errorf("the connection of the %s is still open", name)
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// A malformed call gets status 400 after the responses to the calls before it, even if the caller sends more or has closed its
// side of the connection.
func TestMalformedCallIsAnsweredAfterEarlierCalls(t *testing.T) {
	leakcheck.Check(t)
	address := startSingleServer(t).Members[0].CounterAddress
	const call = "GET /_health HTTP/1.1\r\nHost: counter\r\n\r\n"
	for name, test := range map[string]struct {
		malformed string
		closes    bool
	}{
		"malformed":            {"\x00\x01\r\n\r\n", false},
		"write side closed":    {"\x00\x01\r\n\r\n", true},
		"followed by more":     {"\x00\x01\r\n\r\n" + strings.Repeat("x", 1<<20), false},
		"longer than any call": {"GET /" + strings.Repeat("x", 2*callReadBuffer), false},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 { // the order in which reader and writer run is not deterministic
				conn := dial(t, address)
				go func() {
					_, _ = io.WriteString(conn, call+call+test.malformed)
					if tcp, ok := conn.(*net.TCPConn); ok && test.closes {
						_ = tcp.CloseWrite()
					}
				}()
				text, err := io.ReadAll(conn)
				if got := bytes.Count(text, []byte("HTTP/1.1 ")); err != nil || got != 3 || !bytes.Contains(text, []byte("400 Bad Request")) {
					t.Fatalf("%d responses, %v:\n%s", got, err, text)
				}
				conn.Close()
			}
		})
	}
}

// A configuration that is passed before Run is applied once the server runs.
func TestReconfigureBeforeRunIsAppliedOnceItRuns(t *testing.T) {
	s, err := New(singleServerConfig(), Options{Name: "alone"}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	changed := singleServerConfig()
	changed.Members = append(changed.Members, MemberConfig{Name: "second", PeerAddress: "127.0.0.1:0", CounterAddress: "127.0.0.1:0"})
	s.Reconfigure(changed)
	stop := run(t, s)
	defer stop()
	members := make(chan int, 1)
	s.enqueue(func() { members <- len(s.config.Members) })
	if got := <-members; got != len(changed.Members) {
		t.Fatalf("%d members", got)
	}
}

func TestNewRejectsAServerThatIsNotConfigured(t *testing.T) {
	leakcheck.Check(t)
	_, err := New(singleServerConfig(), Options{Name: "other"}, zerolog.Nop())
	var unknown *UnknownMemberError
	if !errors.As(err, &unknown) || unknown.Name != "other" {
		t.Errorf("unexpected error %v", err)
	}
}

func TestNewClosesItsStorageIfAListenerFails(t *testing.T) {
	leakcheck.Check(t)
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	dir := t.TempDir()
	for name, options := range map[string]Options{
		"peer":    {Name: "alone", Dir: dir, PeerAddress: occupied.Addr().String()},
		"counter": {Name: "alone", Dir: dir, CounterAddress: occupied.Addr().String()},
	} {
		if _, err := New(singleServerConfig(), options, zerolog.Nop()); err == nil || errors.Is(err, ErrInUse) {
			t.Errorf("%s: unexpected error %v", name, err)
		}
	}
}

func TestReconfigureRejectsWhatIsFixedAtBootstrap(t *testing.T) {
	tests := map[string]struct {
		change func(*ClusterConfig)
		want   string
	}{
		"groups":   {func(c *ClusterConfig) { c.Groups = 3 }, "configuration rejected"},
		"replicas": {func(c *ClusterConfig) { c.Replicas = 3 }, "configuration rejected"},
		"removed":  {func(c *ClusterConfig) { c.Members = nil }, "configuration rejected"},
		"renamed":  {func(c *ClusterConfig) { c.Members[0].Name = "other" }, "configuration rejected"},
		"server added": {func(c *ClusterConfig) {
			c.Members = append(c.Members, MemberConfig{Name: "new", PeerAddress: "127.0.0.1:1"})
		}, "configuration reloaded"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leakcheck.Check(t)
			var log bytes.Buffer
			s, err := New(singleServerConfig(), Options{Name: "alone"}, zerolog.New(&log))
			if err != nil {
				t.Fatal(err)
			}
			stop := run(t, s)
			exchange(t, reachableConfig(s).Members[0].CounterAddress, "GET /_health HTTP/1.1\r\nHost: counter\r\n\r\n")
			config := singleServerConfig()
			test.change(config)
			s.Reconfigure(config)
			// The response to a later call shows that the event loop has handled the configuration.
			exchange(t, reachableConfig(s).Members[0].CounterAddress, "GET /_health HTTP/1.1\r\nHost: counter\r\n\r\n")
			stop()
			if !strings.Contains(log.String(), test.want) {
				t.Errorf("unexpected log:\n%s", &log)
			}
		})
	}
}

func TestBootstrapRejectsServersOfAnotherCluster(t *testing.T) {
	leakcheck.Check(t)
	config := startSingleServer(t)
	if _, err := Bootstrap(config, nil, testTimeout); err != nil {
		t.Fatal(err)
	}
	_, err := Bootstrap(config, nil, testTimeout)
	var memberErr *MemberError
	if !errors.Is(err, ErrNotBootstrapped) || !errors.As(err, &memberErr) || memberErr.Name != "alone" {
		t.Errorf("unexpected error %v", err)
	}
}

func TestSendCommandReturnsTheServersFailure(t *testing.T) {
	leakcheck.Check(t)
	config := startSingleServer(t)
	answer, err := SendCommand(config.Members[0].PeerAddress, &protocol.Admin{Operation: "unknown"}, testTimeout)
	var failed *CommandError
	if !errors.As(err, &failed) || failed.Operation != "unknown" || answer == nil || answer.Failure != failed.Failure {
		t.Errorf("answered %+v: %v", answer, err)
	}
}

// TakeSnapshot fails if a group has no leader, as its state would be missing from the snapshot.
func TestTakeSnapshotRequiresAllGroups(t *testing.T) {
	leakcheck.Check(t)
	config := startSingleServer(t)
	_, err := TakeSnapshot(config, time.Now())
	var missing *MissingGroupsError
	if !errors.As(err, &missing) || missing.Missing != 2 || missing.Groups != 2 {
		t.Fatalf("unexpected error %v", err)
	}
	if _, err := Bootstrap(config, nil, testTimeout); err != nil {
		t.Fatal(err)
	}
	awaitServing(t, config.Members[0].CounterAddress)
	snapshot, err := TakeSnapshot(config, time.Unix(1796000000, 0))
	if err != nil || len(snapshot.States) != 2 || snapshot.Taken != 1796000000 {
		t.Errorf("%+v: %v", snapshot, err)
	}
}

func TestConnSetClosesItsConnections(t *testing.T) {
	set := newConnSet(2)
	var others []net.Conn
	add := func() bool {
		conn, other := net.Pipe()
		others = append(others, other)
		t.Cleanup(func() { other.Close() })
		return set.add(conn)
	}
	for range 2 {
		if !add() {
			t.Fatal("a connection within the limit was rejected")
		}
	}
	if add() {
		t.Error("a connection over the limit was accepted")
	}
	set.closeAll()
	if add() {
		t.Error("a connection was accepted after the set was closed")
	}
	for i, other := range others {
		_ = other.SetDeadline(time.Now().Add(testTimeout))
		if _, err := other.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("connection %d is not closed: %v", i, err)
		}
	}
}

// A first frame longer than any hello, and a client's frame longer than the memory for frames, end the connection before they are
// received. Frames within the memory are received.
func TestLongFramesEndTheConnection(t *testing.T) {
	const memoryBytes = 1 << 20
	config := singleServerConfig()
	config = reachableConfig(startServer(t, config, Options{Name: "alone", MemoryBytes: memoryBytes}))
	hello, err := protocol.ClientHello().AppendTo(nil)
	if err != nil {
		t.Fatal(err)
	}
	unknown := &protocol.Admin{Operation: strings.Repeat("x", memoryBytes/frameMemoryShare-100)}
	allowed, err := protocol.AdminFrame(unknown).AppendTo(hello)
	if err != nil {
		t.Fatal(err)
	}
	length := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	for name, test := range map[string]struct {
		sent     []byte
		answered bool
	}{
		"first frame": {length(maxHelloBytes + 1), false},
		"later frame": {slices.Concat(hello, length(memoryBytes/frameMemoryShare+1)), false},
		"allowed":     {allowed, true},
	} {
		conn, err := net.Dial("tcp", config.Members[0].PeerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(test.sent); err != nil {
			t.Fatal(err)
		}
		if _, err := protocol.ReadFrame(bufio.NewReader(conn), protocol.MaxFrameBytes); (err == nil) != test.answered {
			t.Errorf("%s: %v", name, err)
		}
	}
}
