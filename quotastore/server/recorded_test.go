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

// The bytes in testdata/recorded are as the code of commit 1895881 wrote them: its disks, operators' snapshots and callers have
// to be understood by any later one.

// recordedIdentity is who wrote the recorded disk.
var recordedIdentity = identity{incarnation: 0xdeadbeef, cluster: 0x1122334455667789}

func recordedBytes(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata/recorded", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// writeRecordedHistory writes to a new disk what the recorded one was given.
func writeRecordedHistory(t *testing.T, dir string) {
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
	for i := range writeHistory {
		if err := s.write(writeHistory[i : i+1]); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.write([]replication.Write{{Group: 9, HardState: hardState(7, 0), DropReplica: true}}); err != nil {
		t.Fatal(err)
	}
}

// listed are all buckets, keys and values of a database, one a line.
func listed(t *testing.T, path string) []byte {
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

func unpackDisk(t *testing.T, dir string) {
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

func TestDiskIsTheRecordedBuckets(t *testing.T) {
	dir := t.TempDir()
	writeRecordedHistory(t, dir)
	if got, want := listed(t, filepath.Join(dir, "held.db")), recordedBytes(t, "buckets.bin"); !bytes.Equal(got, want) {
		t.Errorf("written are\n%s\nrecorded are\n%s", got, want)
	}
	count, err := os.ReadFile(filepath.Join(dir, "held.count"))
	if err != nil {
		t.Fatal(err)
	}
	if want := recordedBytes(t, "held.count.bin"); !bytes.Equal(count, want) {
		t.Errorf("the count of writes is %x, recorded is %x", count, want)
	}
}

func TestRecordedDiskIsRead(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	unpackDisk(t, dir)
	if got, want := listed(t, filepath.Join(dir, "held.db")), recordedBytes(t, "buckets.bin"); !bytes.Equal(got, want) {
		t.Fatalf("the recorded database holds\n%s\nrecorded are\n%s", got, want)
	}
	s, saved, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	want := map[int]*replication.PersistentState{9: {HardState: hardState(7, 0)}}
	for i := range writeHistory {
		g := writeHistory[i].Group
		if want[g] == nil {
			want[g] = &replication.PersistentState{}
		}
		want[g].Apply(&writeHistory[i])
	}
	for g := range want {
		want[g] = want[g].AfterSnapshot()
	}
	if s.identity() != recordedIdentity || s.discarded != nil || !sameGroups(saved, want) {
		t.Errorf("%+v, discarded: %v\n%v\nwanted\n%v", s.identity(), s.discarded, saved, want)
	}
}

// recordedGroup is one group's state in the recorded snapshot of an operator.
func recordedGroup(group int) []byte {
	s := statemachine.New()
	s.Apply(&statemachine.Batch{Clock: 5, Commands: []statemachine.Command{
		{Kind: statemachine.Add, Key: fmt.Sprint("count-", group), Amount: 2.5 * float64(group+1), TTL: 60},
		{Kind: statemachine.AcquireMarker, Key: "invocation", Holder: "edge-1.1", TTL: 60},
	}})
	return s.Snapshot()
}

func TestOperatorsSnapshotIsTheRecordedBytes(t *testing.T) {
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
		t.Errorf("written is\n%x\nrecorded is\n%x", got, want)
	}
	// Groups stand in a snapshot of several in any order, so that one is only read.
	for name, want := range map[string]*Snapshot{"snapshot-one.bin": one, "snapshot-three.bin": three} {
		back, err := DecodeSnapshot(recordedBytes(t, name))
		if err != nil {
			t.Fatal(name, err)
		}
		if !reflect.DeepEqual(back, want) {
			t.Errorf("%s is read as\n%+v\nwanted is\n%+v", name, back, want)
		}
	}
}

// recordedCalls are calls in the counter's protocol, one after another on one connection.
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

// answered makes calls on one connection at once, and gives as many answers as they are, byte for byte.
func answered(t *testing.T, addr string, calls ...string) []byte {
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

func TestListenerAnswersTheRecordedBytes(t *testing.T) {
	leakcheck.Check(t)
	if got, want := []byte(strings.Join(recordedCalls, "")), recordedBytes(t, "calls.bin"); !bytes.Equal(got, want) {
		t.Fatal("the calls are not the recorded ones")
	}
	config := startSingleServer(t)
	address := config.Members[0].CounterAddress
	if got, want := answered(t, address, recordedCalls[0]), recordedBytes(t, "answers-not-founded.bin"); !bytes.Equal(got, want) {
		t.Errorf("before the bootstrap it answers\n%s\nrecorded is\n%s", got, want)
	}
	if _, err := Bootstrap(config, nil, 20*time.Second); err != nil {
		t.Fatal(err)
	}
	awaitServing(t, address)
	if got, want := answered(t, address, recordedCalls...), recordedBytes(t, "answers.bin"); !bytes.Equal(got, want) {
		t.Errorf("it answers\n%s\nrecorded is\n%s", got, want)
	}
}

// awaitServing waits until both groups take calls, which the names used for it show: each lies in one of the groups.
func awaitServing(t *testing.T, address string) {
	t.Helper()
	var calls []string
	for i := range 8 {
		calls = append(calls, fmt.Sprintf("POST /counters/await-%d?by=0&expire_ms=1000 HTTP/1.1\r\nHost: counter\r\n\r\n", i))
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if text := answered(t, address, calls...); bytes.Count(text, []byte("200 OK")) == len(calls) {
			return
		}
	}
	t.Fatal("it still turns calls away")
}

// The names of an answer on health, which operators' checks read; their values differ from run to run.
func TestHealthHasTheRecordedNames(t *testing.T) {
	leakcheck.Check(t)
	config := startSingleServer(t)
	text := answered(t, config.Members[0].CounterAddress, "GET /_health HTTP/1.1\r\nHost: counter\r\n\r\n")
	head, rest, _ := strings.Cut(string(text), "\r\n\r\n")
	want := `{"away":2,"disk":false,"groups":2,"held":0,"installation":"0000000000000000","led":0,"life":"`
	if !strings.HasPrefix(head, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: ") || !strings.HasPrefix(rest, want) ||
		!strings.HasSuffix(rest, `","moved":0,"put_back":0,"state":"not founded"}`) {
		t.Errorf("health before the bootstrap is\n%s", text)
	}
}

// Before the bootstrap a client's requests are rejected, and what only servers may request is invalid.
func TestClientsAreAnsweredTheRecordedBytes(t *testing.T) {
	leakcheck.Check(t)
	if got, want := clientRequests(t), recordedBytes(t, "guest-asks.bin"); !bytes.Equal(got, want) {
		t.Fatalf("asked is\n%x\nrecorded is\n%x", got, want)
	}
	config := startSingleServer(t)
	if got, want := clientResponses(t, config.Members[0].PeerAddress), recordedBytes(t, "guest-replies.bin"); !bytes.Equal(got, want) {
		t.Errorf("answered is\n%x\nrecorded is\n%x", got, want)
	}
}

// clientRequests is what the recorded client sends: its hello, then one frame.
func clientRequests(t *testing.T) (text []byte) {
	t.Helper()
	asks := protocol.RequestsFrame([]protocol.Request{
		{ID: 7, Command: statemachine.Command{Kind: statemachine.Add, Key: "count", Amount: 1, TTL: 60}},
		{ID: 8, Command: statemachine.Command{Kind: statemachine.CollectUsage, Version: 1}},
		{ID: 9, Command: statemachine.Command{Kind: statemachine.RecoverUnreported, Holder: "a", Key: "b"}},
		{ID: 10, Command: statemachine.Command{Kind: statemachine.AcquireMarker, Holder: "a", Key: "b", TTL: 60}},
	})
	for _, f := range []*protocol.Frame{protocol.ClientHello(), asks} {
		var err error
		if text, err = f.AppendTo(text); err != nil {
			t.Fatal(err)
		}
	}
	return text
}

// clientResponses sends the recorded requests to a server, and returns its four responses as they come on the stream.
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

// The first frame of a stream between servers says who sends: its number and its incarnation.
func TestStreamsBeginWithTheRecordedHello(t *testing.T) {
	leakcheck.Check(t)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	dir := t.TempDir()
	unpackDisk(t, dir)
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
		t.Errorf("it begins with\n%x (%v)\nrecorded is\n%x", got, err, want)
	}
	f, err := protocol.ReadFrame(bytes.NewReader(want), protocol.MaxFrameBytes)
	if err != nil || f.Hello == nil || *f.Hello != (protocol.Hello{Sender: 0, Incarnation: recordedIdentity.incarnation}) {
		t.Errorf("the recorded hello is read as %+v (%v)", f, err)
	}
}
