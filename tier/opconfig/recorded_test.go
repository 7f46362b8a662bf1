package opconfig

import (
	"testing"

	"github.com/mailru/easyjson"

	"otterseam/tier/internal/recorded"
)

// marshal returns a function that encodes a value as JSON.
func marshal[T easyjson.Marshaler](t *testing.T) func(T) []byte {
	return func(value T) []byte {
		data, err := easyjson.Marshal(value)
		if err != nil {
			t.Error(err)
		}
		return data
	}
}

func TestRecordedHeartbeat(t *testing.T) {
	heartbeat := Heartbeat{
		Service: "chat", Address: "10.0.1.1:8000", Zone: "zone-a", Version: "v3.2.1", Slots: 16, State: StateDraining, Stage: "canary",
		Models: easyjson.RawMessage(`["m1","m2"]`), SeqNo: 0x0102030405060708,
	}
	read := func(data []byte) (Heartbeat, error) {
		var h Heartbeat
		err := easyjson.Unmarshal(data, &h)
		return h, err
	}
	recorded.CheckBoth(t, "heartbeat", heartbeat, marshal[Heartbeat](t), read)
}

func TestRecordedConfig(t *testing.T) {
	config := Config{
		Version: 0x0102030405060708,
		Routes: []Route{
			{
				Name: "chat", Host: "chat.example", PathPrefix: "/v1", RouteType: RouteStreaming, TimeoutMS: 60_000.5, TargetMS: 500.25,
				Priority: 2, Service: "chat", Split: []Split{{Service: "chat", Weight: 0.75}, {Service: "chat-next", Weight: 0.25}},
				MaxAttempts: 3, Retained: true, RetentionS: 900.5, Sticky: true, Resumable: true, GapTargetMS: 40.5,
			},
			{
				Name: "files", Host: "files.example", PathPrefix: "/", RouteType: RouteSafe, TimeoutMS: 1000, TargetMS: 100, Priority: 1,
				Service: "chat-next", Split: []Split{{Service: "chat-next", Weight: 1}}, MaxAttempts: 2, RetentionS: 1, GapTargetMS: 1,
			},
		},
		Services: []Service{
			{
				Name: "chat", HealthPath: "/healthz", MaxConns: 64, Protocol: "http", TLS: true,
				Engine: &Engine{Slots: 8, KVTokens: 100_000, Stride: 4},
			},
			{Name: "chat-next", HealthPath: "/ready", MaxConns: 32, Protocol: "http"},
		},
		Limits: Limits{MaxHeaderBytes: 16_384, MaxBodyBytes: 1 << 33, HeaderTimeoutMS: 5000.5, IdleTimeoutMS: 60_000.5},
	}
	read := func(data []byte) (Config, error) {
		c, err := Parse(data)
		if err != nil {
			return Config{}, err
		}
		return *c, nil
	}
	recorded.CheckBoth(t, "config", config, marshal[Config](t), read)
}
