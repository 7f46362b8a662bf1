package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/control/internal/fixture"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/membership"
	"otterseam/tier/outlier"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
)

// recordedPrimary returns a complete control process that is the primary and the only voter, without its periodic work.
func recordedPrimary(ctx context.Context, t *testing.T) *Server {
	t.Helper()
	witness := fixture.Witness()
	witness.Value = fixture.SingleVoterRecord()
	logger, _ := test.NewNullLogger()
	s, err := New(&settings.Settings{
		DataDir: fixture.Disk(t, fixture.Voter, &witness), ListenControl: "10.0.0.1:7000", Node: "ctl-a", IP: "10.0.0.1",
		FirstPort: 7401, LastPort: 7404,
	}, logrus.NewEntry(logger))
	if err != nil {
		t.Fatal(err)
	}
	go s.node.Run(ctx)
	s.node.SetView(state.Group, membership.View(fixture.SingleVoterRecord()))
	for !s.node.IsPrimary(state.Group) {
		if ctx.Err() != nil {
			t.Fatal("no primary")
		}
		time.Sleep(time.Millisecond)
	}
	return s
}

// callUntilAnswered repeats a call that timed out because of a slow disk. All of the calls are idempotent.
func callUntilAnswered(ctx context.Context, t *testing.T, client *rpc.Client, kind rpc.Kind, payload []byte) ([]byte, codes.Code) {
	t.Helper()
	for {
		answer, err := client.Call(ctx, kind, payload)
		code := codes.OK
		if err != nil && !errors.As(err, &code) {
			t.Fatal(err)
		}
		if code != codes.Timeout || ctx.Err() != nil {
			return answer, code
		}
	}
}

// rpcTranscript sends a primary the calls of other processes, one after the other, and returns the encoded calls and responses.
func rpcTranscript(ctx context.Context, t *testing.T, s *Server) []byte {
	t.Helper()
	client := rpc.NewClient(serve(t, s.handle), nil)
	t.Cleanup(client.Close)
	var transcript codec.Encoder
	for _, call := range []struct {
		kind    rpc.Kind
		payload []byte
	}{
		{controlclient.KindSubmit, state.ReadConfig{}.Encode()},
		{controlclient.KindSubmit, state.ReplaceConfig{Version: 5, Body: []byte(`{"v":5}`)}.Encode()},
		{controlclient.KindSubmit, state.ReplaceConfig{Base: 4, Version: 9, Body: []byte(`{"v":9}`)}.Encode()},
		{controlclient.KindSubmit, state.ReadConfig{}.Encode()},
		{controlclient.KindSubmit, state.PutShard{Shard: fixture.Shard(37)}.Encode()},
		{controlclient.KindStoreHeartbeat, controlclient.StoreHeartbeat{Store: fixture.Store(11, "store-a")}.Encode()},
		{controlclient.KindStoreHeartbeat, controlclient.StoreHeartbeat{Store: fixture.Store(12, "store-b"), Leaving: true}.Encode()},
		{controlclient.KindStoreHeartbeat, controlclient.StoreHeartbeat{Store: fixture.Store(14, "store-d")}.Encode()},
		{controlclient.KindHostHeartbeat, controlclient.HostHeartbeat{Host: fixture.Host("host-1", false), Seq: 1}.Encode()},
		{controlclient.KindHostHeartbeat, controlclient.HostHeartbeat{Host: fixture.Host("host-2", true), Seq: 1}.Encode()},
		{controlclient.KindHostHeartbeat, controlclient.HostHeartbeat{Host: fixture.Host("host-2", false), Seq: 2}.Encode()},
		{controlclient.KindDeregisterHost, []byte("host-2")},
		{controlclient.KindHostHeartbeat, controlclient.HostHeartbeat{Host: fixture.Host("host-2", true), Seq: 3}.Encode()},
		{controlclient.KindHeartbeatReport, controlclient.HeartbeatReport{From: fixture.Asker, Echoed: replica.Timestamp{Incarnation: 2, At: 1}}.Encode()}, // echoes a probe of another incarnation
		{controlclient.KindInSyncChange, controlclient.InSyncChange{Shard: 37, Epoch: 1, Replica: 13, Admit: true}.Encode()},
		{controlclient.KindHostObservations, outlier.Window{Reporter: 1, Number: 2, Zone: "zone-a", Contacted: 3}.Encode()},
		{controlclient.KindRetirementState, []byte("store-x")},
		{controlclient.KindRetirementState, nil},
		{999, []byte("a kind that nobody knows")},
	} {
		answer, code := callUntilAnswered(ctx, t, client, call.kind, call.payload)
		transcript.Uint32(uint32(call.kind))
		transcript.Blob(call.payload)
		transcript.Uint32(uint32(code))
		transcript.Blob(answer)
	}
	return transcript.Bytes
}

// httpTranscript sends a primary the requests of hosts and operators, one after the other, and returns the encoded requests and
// responses.
func httpTranscript(ctx context.Context, t *testing.T, s *Server) []byte {
	t.Helper()
	const (
		configBody    = `{"version":7,"routes":[{"name":"a","path_prefix":"/","timeout_ms":1,"service":"chat"}],"services":[{"name":"chat"}]}`
		heartbeatBody = `{"service":"chat","address":"10.0.1.1:8000","zone":"zone-a","version":"v1","slots":4,"state":"ready","stage":"canary","models":["m1"],"seq_no":1}`
	)
	handler := s.api.Handler()
	var transcript codec.Encoder
	for _, call := range []struct{ method, path, base, body string }{
		{http.MethodPost, "/v1/config/replace", "5", configBody},
		{http.MethodPost, "/v1/config/replace", "5", configBody},
		{http.MethodPost, "/v1/config/replace", "6", configBody},
		{http.MethodPost, "/v1/config/replace", "", configBody},
		{http.MethodPost, "/v1/config/replace", "7", `{"version":0}`},
		{http.MethodGet, "/v1/config/read", "", ""},
		{http.MethodPost, "/v1/instances/host-8/heartbeat", "", heartbeatBody},
		{http.MethodPost, "/v1/instances/host-8/heartbeat", "", `{}`},
		{http.MethodPost, "/v1/instances/host-8/deregister", "", ""},
		{http.MethodPost, "/v1/instances/host-8/heartbeat", "", heartbeatBody},
		{http.MethodGet, "/v1/retire/store-a/read", "", ""},
		{http.MethodPost, "/v1/retire/store-x/begin", "", `{"deadline_s":30}`},
		{http.MethodPost, "/v1/retire/store-a/begin", "", `{"deadline_s":30}`},
		{http.MethodGet, "/v1/retire/store-a/read", "", ""},
		{http.MethodPost, "/v1/retire/store-d/begin", "", `[`},
		{http.MethodPost, "/v1/retire/store-d/begin", "", ""},
		{http.MethodGet, "/v1/retire/store-d/read", "", ""},
		{http.MethodPost, "/v1/retire/store-b/begin", "", ""},
		{http.MethodGet, "/v1/nothing", "", ""},
	} {
		answer := httptest.NewRecorder()
		for {
			request := httptest.NewRequest(call.method, call.path, strings.NewReader(call.body))
			if call.base != "" {
				request.Header.Set("X-Base-Version", call.base)
			}
			handler.ServeHTTP(answer, request)
			if answer.Code != http.StatusServiceUnavailable || ctx.Err() != nil {
				break // a 503 comes from a slow disk, and all of the requests may be repeated
			}
			answer = httptest.NewRecorder()
		}
		transcript.String(call.method + " " + call.path + " " + call.base + " " + call.body)
		transcript.Uint32(uint32(answer.Code))
		for _, name := range []string{"Content-Type", "Content-Length", "Retry-After"} {
			transcript.String(answer.Header().Get(name))
		}
		transcript.Blob(answer.Body.Bytes())
	}
	return transcript.Bytes
}

// A primary's responses to other processes, to hosts and to operators are as recorded.
func TestRecordedResponsesOfPrimary(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s := recordedPrimary(ctx, t)
	recorded.Check(t, "primary-rpc", rpcTranscript(ctx, t, s))
	recorded.Check(t, "primary-http", httpTranscript(ctx, t, s))
}

// serve serves calls with a handler and returns the address.
func serve(t *testing.T, handler rpc.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go rpc.Serve(listener, handler)
	return listener.Addr().String()
}
