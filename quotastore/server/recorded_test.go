package server

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"otterseam/harness/leakcheck"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// The bytes in testdata/recorded were written by the code of commit 1895881. Later code must still read its databases and its
// operators' snapshots, and answer its callers and clients the same way.

// recordedIdentity is the identity of the replica that wrote the recorded database.
var recordedIdentity = identity{incarnation: 0xdeadbeef, cluster: 0x1122334455667789}

func recordedBytes(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata/recorded", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// writeRecordedData creates a database with the writes of the recorded one.
func writeRecordedData(t *testing.T, dir string) {
	t.Helper()
	s, _, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	s.id.incarnation = recordedIdentity.incarnation
	if err := s.setCluster(recordedIdentity.cluster); err != nil {
		t.Fatal(err)
	}
	for i := range testWrites {
		if err := s.write(testWrites[i : i+1]); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.write([]replication.Write{{Group: 9, HardState: hardState(7, 0), DropReplica: true}}); err != nil {
		t.Fatal(err)
	}
}

// dumpBuckets returns all buckets, keys and values of a database, one key per line.
func dumpBuckets(t *testing.T, path string) []byte {
	t.Helper()
	db, err := bolt.Open(path, 0o644, &bolt.Options{Timeout: time.Second, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var out bytes.Buffer
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(bucket []byte, in *bolt.Bucket) error {
			return in.ForEach(func(key, value []byte) error {
				_, err := fmt.Fprintf(&out, "%s %x %x\n", bucket, key, value)
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func unpackRecordedData(t *testing.T, dir string) {
	t.Helper()
	plain, err := gzip.NewReader(bytes.NewReader(recordedBytes(t, "held.db.gz")))
	if err != nil {
		t.Fatal(err)
	}
	database, err := io.ReadAll(plain)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"held.db": database, "held.count": recordedBytes(t, "held.count.bin")} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

func TestWrittenDatabaseMatchesTheRecordedBuckets(t *testing.T) {
	dir := t.TempDir()
	writeRecordedData(t, dir)
	if got, want := dumpBuckets(t, filepath.Join(dir, "held.db")), recordedBytes(t, "buckets.bin"); !bytes.Equal(got, want) {
		t.Errorf("wrote buckets\n%s\nrecorded:\n%s", got, want)
	}
	count, err := os.ReadFile(filepath.Join(dir, "held.count"))
	if err != nil {
		t.Fatal(err)
	}
	if want := recordedBytes(t, "held.count.bin"); !bytes.Equal(count, want) {
		t.Errorf("wrote transaction number %x, recorded: %x", count, want)
	}
}

func TestRecordedDatabaseIsRead(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	unpackRecordedData(t, dir)
	if got, want := dumpBuckets(t, filepath.Join(dir, "held.db")), recordedBytes(t, "buckets.bin"); !bytes.Equal(got, want) {
		t.Fatalf("the recorded database has\n%s\nrecorded buckets:\n%s", got, want)
	}
	s, saved, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	want := map[int]*replication.PersistentState{9: {HardState: hardState(7, 0)}}
	for i := range testWrites {
		g := testWrites[i].Group
		if want[g] == nil {
			want[g] = &replication.PersistentState{}
		}
		want[g].Apply(&testWrites[i])
	}
	for g := range want {
		want[g] = want[g].AfterSnapshot()
	}
	if s.identity() != recordedIdentity || s.corruption != nil || !equalStates(saved, want) {
		t.Errorf("%+v, corruption: %v\n%v\nwant\n%v", s.identity(), s.corruption, saved, want)
	}
}

// recordedGroup returns the state of one group in the recorded operator's snapshot.
func recordedGroup(group int) []byte {
	s := statemachine.New()
	s.Apply(&statemachine.Batch{Clock: 5, Commands: []statemachine.Command{
		{Kind: statemachine.Add, Key: fmt.Sprint("count-", group), Amount: 2.5 * float64(group+1), TTL: 60},
		{Kind: statemachine.AcquireMarker, Key: "invocation", Holder: "edge-1.1", TTL: 60},
	}})
	return s.Snapshot()
}

func TestOperatorsSnapshotMatchesTheRecordedBytes(t *testing.T) {
	one := &Snapshot{Taken: 1796000000, Groups: 1, States: map[int][]byte{0: recordedGroup(0)}}
	three := &Snapshot{Taken: 1796000001, Groups: 3, States: map[int][]byte{0: recordedGroup(0), 1: recordedGroup(1), 2: recordedGroup(2)}}
	path := filepath.Join(t.TempDir(), "snapshot")
	if err := one.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := recordedBytes(t, "snapshot-one.bin"); !bytes.Equal(got, want) {
		t.Errorf("wrote bytes\n%x\nrecorded:\n%x", got, want)
	}
	// The order of groups in a snapshot is not deterministic, so the snapshot of three groups is only decoded.
	for name, want := range map[string]*Snapshot{"snapshot-one.bin": one, "snapshot-three.bin": three} {
		decoded, err := DecodeSnapshot(recordedBytes(t, name))
		if err != nil {
			t.Fatal(name, err)
		}
		if !reflect.DeepEqual(decoded, want) {
			t.Errorf("%s is decoded as\n%+v\nwant\n%+v", name, decoded, want)
		}
	}
}

// recordedCalls are calls of the counter's protocol, sent one after another on one connection.
var recordedCalls = []string{
	"POST /counters/count-1?by=2.5&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n",
	"POST /counters/count-1?expire_ms=60000&by=0.125 HTTP/1.1\r\nHost: counter\r\n\r\n",
	"POST /counters/count-1?by=-1&expire_ms=1 HTTP/1.1\r\nhost: counter\r\nContent-Length: 3\r\n\r\nabc",
	"POST /counters/large?by=1e9&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\n\r\n",
	"POST /counters/large?by=1e10&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\n\r\n",
	"GET /counters/count-1?by=1&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\n\r\n",
	"POST /counters/count-1?by=1&expire_ms=0.5 HTTP/1.1\r\nHost: counter\r\n\r\n",
	"POST /counters/count-1?expire_ms=60000 HTTP/1.1\r\nHost: counter\r\n\r\n",
	"POST /counters/" + strings.Repeat("n", 65) + "?by=1&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\n\r\n",
	"POST /elsewhere HTTP/1.1\r\nHost: counter\r\n\r\n",
	"POST /counters/count-2?by=0.1&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\n\r\n",
}

// exchange pipelines calls on one connection, and returns the bytes of as many responses as there are calls.
func exchange(t *testing.T, addr string, calls ...string) []byte {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, strings.Join(calls, "")); err != nil {
		t.Fatal(err)
	}
	var raw bytes.Buffer
	r := bufio.NewReader(io.TeeReader(c, &raw))
	for range calls {
		answer, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%v after\n%s", err, raw.Bytes())
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			t.Fatal(err)
		}
	}
	return raw.Bytes()
}

func TestCounterListenerAnswersTheRecordedBytes(t *testing.T) {
	leakcheck.Check(t)
	if got, want := []byte(strings.Join(recordedCalls, "")), recordedBytes(t, "calls.bin"); !bytes.Equal(got, want) {
		t.Fatal("the calls are not the recorded ones")
	}
	config := startSingleServer(t)
	address := config.Members[0].CounterAddress
	if got, want := exchange(t, address, recordedCalls[0]), recordedBytes(t, "answers-not-founded.bin"); !bytes.Equal(got, want) {
		t.Errorf("response before the bootstrap:\n%s\nrecorded:\n%s", got, want)
	}
	if _, err := Bootstrap(config, nil, 20*time.Second); err != nil {
		t.Fatal(err)
	}
	awaitServing(t, address)
	if got, want := exchange(t, address, recordedCalls...), recordedBytes(t, "answers.bin"); !bytes.Equal(got, want) {
		t.Errorf("got responses\n%s\nrecorded:\n%s", got, want)
	}
}

// awaitServing waits until both groups accept calls. The counter names that it uses are spread over both groups.
func awaitServing(t *testing.T, address string) {
	t.Helper()
	var calls []string
	for i := range 8 {
		calls = append(calls, fmt.Sprintf("POST /counters/await-%d?by=0&expire_ms=1000 HTTP/1.1\r\nHost: counter\r\n\r\n", i))
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if text := exchange(t, address, calls...); bytes.Count(text, []byte("200 OK")) == len(calls) {
			return
		}
	}
	t.Fatal("calls are still rejected")
}

// Operators' checks depend on the keys of the health report. Some of its values differ from run to run.
func TestHealthReportHasTheRecordedKeys(t *testing.T) {
	leakcheck.Check(t)
	config := startSingleServer(t)
	text := exchange(t, config.Members[0].CounterAddress, "GET /_health HTTP/1.1\r\nHost: counter\r\n\r\n")
	head, rest, _ := strings.Cut(string(text), "\r\n\r\n")
	want := `{"away":2,"disk":false,"groups":2,"held":0,"installation":"0000000000000000","led":0,"life":"`
	if !strings.HasPrefix(head, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: ") || !strings.HasPrefix(rest, want) ||
		!strings.HasSuffix(rest, `","moved":0,"put_back":0,"state":"not founded"}`) {
		t.Errorf("health before the bootstrap is\n%s", text)
	}
}

// Before the bootstrap, a client's requests are rejected, and requests that only servers may make are answered as invalid.
func TestClientsAreAnsweredTheRecordedBytes(t *testing.T) {
	leakcheck.Check(t)
	if got, want := clientRequests(t), recordedBytes(t, "guest-asks.bin"); !bytes.Equal(got, want) {
		t.Fatalf("got requests\n%x\nrecorded:\n%x", got, want)
	}
	config := startSingleServer(t)
	if got, want := clientResponses(t, config.Members[0].PeerAddress), recordedBytes(t, "guest-replies.bin"); !bytes.Equal(got, want) {
		t.Errorf("got responses\n%x\nrecorded:\n%x", got, want)
	}
}

// clientRequests returns the encoded frames of the recorded client: its hello and a frame of requests.
func clientRequests(t *testing.T) (text []byte) {
	t.Helper()
	requests := protocol.RequestsFrame([]protocol.Request{
		{ID: 7, Command: statemachine.Command{Kind: statemachine.Add, Key: "count", Amount: 1, TTL: 60}},
		{ID: 8, Command: statemachine.Command{Kind: statemachine.CollectUsage, Version: 1}},
		{ID: 9, Command: statemachine.Command{Kind: statemachine.RecoverUnreported, Holder: "a", Key: "b"}},
		{ID: 10, Command: statemachine.Command{Kind: statemachine.AcquireMarker, Holder: "a", Key: "b", TTL: 60}},
	})
	for _, f := range []*protocol.Frame{protocol.ClientHello(), requests} {
		var err error
		if text, err = f.AppendTo(text); err != nil {
			t.Fatal(err)
		}
	}
	return text
}

// clientResponses sends the recorded requests to a server, and returns the bytes of its four responses.
func clientResponses(t *testing.T, addr string) []byte {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Write(clientRequests(t)); err != nil {
		t.Fatal(err)
	}
	var raw bytes.Buffer
	r := io.TeeReader(c, &raw)
	for range 4 {
		if _, err := protocol.ReadFrame(r, protocol.MaxFrameBytes); err != nil {
			t.Fatalf("%v after\n%x", err, raw.Bytes())
		}
	}
	return raw.Bytes()
}

// The first frame of a stream between servers has the sender's number and incarnation.
func TestStreamsBeginWithTheRecordedHello(t *testing.T) {
	leakcheck.Check(t)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	dir := t.TempDir()
	unpackRecordedData(t, dir)
	config := &ClusterConfig{Groups: 16, Replicas: 1, ReplaceAfter: 30, SnapshotRate: 4e6, MaxLogEntries: 64, Members: []MemberConfig{
		{Name: "here", PeerAddress: "127.0.0.1:0", CounterAddress: "127.0.0.1:0"}, {Name: "there", PeerAddress: other.Addr().String(), CounterAddress: "127.0.0.1:0"},
	}}
	startServer(t, config, Options{Name: "here", Dir: dir})
	c, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	want := recordedBytes(t, "hello.bin")
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the stream begins with\n%x (%v)\nrecorded:\n%x", got, err, want)
	}
	f, err := protocol.ReadFrame(bytes.NewReader(want), protocol.MaxFrameBytes)
	if err != nil || f.Hello == nil || *f.Hello != (protocol.Hello{Sender: 0, Incarnation: recordedIdentity.incarnation}) {
		t.Errorf("the recorded hello is decoded as %+v (%v)", f, err)
	}
}
