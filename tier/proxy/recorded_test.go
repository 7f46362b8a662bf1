package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/opconfig"
	"otterseam/tier/outlier"
	"otterseam/tier/programs"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/store"
)

// serveRPC calls the handler for each message that arrives at the returned address.
func serveRPC(t *testing.T, handler rpc.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go rpc.Serve(listener, handler)
	return listener.Addr().String()
}

// Guards the encoding of a command that a gateway sends to a store, and the decoding of the answer. A test of package store checks
// that a store decodes the same call and encodes the same answer.
func TestRecordedProgramCall(t *testing.T) {
	begin := programs.Begin{
		Now: 0x0102030405060708, Request: "request-3", Program: "program-a", Session: "session-1", Limited: true, Budget: 100_000,
		Estimate: 2_500, Previous: "request-2", Ticket: programs.Ticket{Gateway: 0x1112131415161718, Number: 0x2122232425262728},
	}
	var code atomic.Uint32
	var answer atomic.Value
	answer.Store("program-answer")
	address := serveRPC(t, func(m rpc.Message) {
		if store.KindProgram != 40 || m.Kind != 40 {
			t.Errorf("kind %d", m.Kind)
		}
		recorded.Check(t, "program-call", m.Payload)
		m.Answer(codes.Code(code.Load()), recorded.Read(t, answer.Load().(string)))
	})
	client := newProgramClient(feed.NewView(), newOutageTracker(), 1<<20)
	client.setShardMap(
		map[uint32]directory.Shard{37: {ID: 37, Total: 64, View: replica.View{Epoch: 1, Primary: 11}}},
		map[uint64]directory.Store{11: {Identity: 11, Address: address}},
	)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got, err := client.callShard(ctx, 37, begin.Encode())
	want := programs.Result{Host: "host-7", Chain: [][]byte{[]byte("input 2"), []byte("output 2\n")}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v, %v", got, err)
	}
	answer.Store("program-answer-chain-ttl")
	want.ChainTTL = 609_915
	if got, err := client.callShard(ctx, 37, begin.Encode()); err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v, %v", got, err)
	}
	code.Store(uint32(codes.BudgetSpent))
	if _, err := client.callShard(ctx, 37, begin.Encode()); !errors.Is(err, codes.BudgetSpent) {
		t.Fatal(err)
	}
}

// Guards the encoding of the observations of hosts that a gateway sends to its agent, including the order of the hosts.
func TestRecordedReport(t *testing.T) {
	reports := make(chan rpc.Message, 1)
	client := rpc.NewClient(serveRPC(t, func(m rpc.Message) { reports <- m }), nil)
	defer client.Close()
	observations := outlier.NewCollector(0x0102030405060708, "zone-b")
	for host, failures := range map[string][]outlier.Failure{
		"host-1": {outlier.Hung}, "host-2": {outlier.ConnectFailed, outlier.ServerError, outlier.ServerError}, "host-3": {outlier.ConnectionBroken, outlier.Hung},
		"host-4": nil,
	} {
		observations.RecordRequest(host)
		for _, failure := range failures {
			observations.RecordFailure(host, failure)
		}
	}
	p := &Proxy{agent: client, hosts: &hostTable{observations: observations}}
	p.reportObservations()
	select {
	case m := <-reports:
		if m.Kind != 33 || m.IsCall() {
			t.Errorf("the report was sent as %+v", m)
		}
		recorded.Check(t, "report", m.Payload)
	case <-time.After(10 * time.Second):
		t.Fatal("no report was sent")
	}
}

// Guards the encoding of requests to hosts. The client's deadline has passed, so that the deadline header has its minimum value. Only
// one header of the client is forwarded, because several would have no fixed order.
func TestRecordedRequestsToAHost(t *testing.T) {
	turn := &request{
		method: http.MethodPost, uri: "/v1/chat?x=1", host: "chat.example",
		header: http.Header{
			"X-Custom": {"first", "second"}, "Connection": {"keep-alive, X-Named"}, "X-Named": {"dropped"}, "X-Deadline-Ms": {"7"},
			"Transfer-Encoding": {"chunked"},
		},
		route: &opconfig.Route{RouteType: opconfig.RouteStreaming, Priority: 2}, deadline: time.Now().Add(-time.Hour),
	}
	recorded.Check(t, "request-streaming", turn.encode("host-7", "event-41", []byte(`{"input":"x"}`)))
	plain := &request{
		method: http.MethodGet, uri: "/files/a", host: "files.example", header: http.Header{"Accept": {"*/*"}},
		route: &opconfig.Route{RouteType: opconfig.RouteSafe}, deadline: time.Now().Add(-time.Hour),
	}
	recorded.Check(t, "request-plain", plain.encode("host-8", "", nil))
}
