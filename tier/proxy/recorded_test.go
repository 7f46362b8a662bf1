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

// listenRecorded has a handler take what arrives at the address returned.
func listenRecorded(t *testing.T, handler rpc.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go rpc.Serve(listener, handler)
	return listener.Addr().String()
}

// A gateway has a store carry out a command with the recorded call, and reads the recorded answer. The store's own test takes the
// same call and gives the same answer.
func TestRecordedProgramCall(t *testing.T) {
	begin := programs.Begin{
		Now: 0x0102030405060708, Request: "request-3", Program: "program-a", Session: "session-1", Limited: true, Budget: 100_000,
		Estimate: 2_500, Previous: "request-2", Ticket: programs.Ticket{Gateway: 0x1112131415161718, Number: 0x2122232425262728},
	}
	var code atomic.Uint32
	address := listenRecorded(t, func(m rpc.Message) {
		if store.KindProgram != 40 || m.Kind != 40 {
			t.Errorf("kind %d", m.Kind)
		}
		recorded.Check(t, "program-call", m.Payload)
		m.Answer(codes.Code(code.Load()), recorded.Read(t, "program-answer"))
	})
	client := newProgramClient(feed.NewView(), newOutageTracker())
	client.setMap(
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
	code.Store(uint32(codes.BudgetSpent))
	if _, err := client.callShard(ctx, 37, begin.Encode()); !errors.Is(err, codes.BudgetSpent) {
		t.Fatal(err)
	}
}

// What a gateway saw of hosts goes to its agent as recorded, with the hosts in their recorded order.
func TestRecordedReport(t *testing.T) {
	reports := make(chan rpc.Message, 1)
	client := rpc.NewClient(listenRecorded(t, func(m rpc.Message) { reports <- m }), nil)
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
			t.Errorf("reported as %+v", m)
		}
		recorded.Check(t, "report", m.Payload)
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was reported")
	}
}

// What goes to a host is as recorded. The client's time has run out here, so that the deadline told to the host is the lowest; one
// header of the client alone is passed on, since several go in no fixed order.
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
