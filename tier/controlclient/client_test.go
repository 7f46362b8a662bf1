package controlclient

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

// member is a stand-in for a control process that answers every call in one way, and counts them.
func member(t *testing.T, code codes.Code, hint string) (address string, calls *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	calls = &atomic.Int32{}
	go rpc.Serve(listener, func(m rpc.Message) {
		calls.Add(1)
		m.Answer(code, []byte(hint))
	})
	return listener.Addr().String(), calls
}

// What is tried once presses upon nobody while there is no primary, and finds the primary by hints over the next tries.
func TestATryAsksOneProcess(t *testing.T) {
	primary, atPrimary := member(t, codes.OK, "")
	backup, atBackup := member(t, codes.NotPrimary, primary)
	alone, atAlone := member(t, codes.Unavailable, "")
	addresses := []string{alone, backup}
	client := New(rpc.NewClients(nil), func() []string { return addresses })
	for i, want := range []struct {
		err                    error
		alone, backup, primary int32
	}{
		{codes.Unavailable, 1, 0, 0}, {codes.NotPrimary, 1, 1, 0}, {nil, 1, 1, 1}, {nil, 1, 1, 2},
	} {
		if _, err := client.CallOnce(t.Context(), KindHostObservations, nil); !errors.Is(err, want.err) {
			t.Errorf("try %d: %v, not %v", i, err, want.err)
		}
		if atAlone.Load() != want.alone || atBackup.Load() != want.backup || atPrimary.Load() != want.primary {
			t.Errorf("try %d: asked %d, %d and %d times", i, atAlone.Load(), atBackup.Load(), atPrimary.Load())
		}
	}
}

// A call goes on until the primary answers.
func TestACallFindsThePrimary(t *testing.T) {
	primary, _ := member(t, codes.OK, "done")
	backup, _ := member(t, codes.NotPrimary, primary)
	alone, _ := member(t, codes.Unavailable, "")
	client := New(rpc.NewClients(nil), func() []string { return []string{alone, backup} })
	if got, err := client.Call(t.Context(), KindHostObservations, nil); err != nil || string(got) != "done" {
		t.Fatalf("%q, %v", got, err)
	}
}
