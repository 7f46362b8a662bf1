package controlclient

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

// serveAnswer starts a fake control process that gives the same answer to every call and counts the calls.
func serveAnswer(t *testing.T, code codes.Code, hint string) (address string, calls *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	calls = &atomic.Int32{}
	go rpc.Serve(listener, func(m rpc.Message) {
		calls.Add(1)
		m.Answer(code, []byte(hint))
	})
	return listener.Addr().String(), calls
}

// CallOnce makes a single attempt, so it puts little load on control while there is no primary. Successive calls find the primary by the
// addresses in the answers.
func TestCallOnceAsksOneProcess(t *testing.T) {
	primary, primaryCalls := serveAnswer(t, codes.OK, "")
	backup, backupCalls := serveAnswer(t, codes.NotPrimary, primary)
	unavailable, unavailableCalls := serveAnswer(t, codes.Unavailable, "")
	addresses := []string{unavailable, backup}
	client := New(rpc.NewClients(nil), func() []string { return addresses })
	for i, want := range []struct {
		err                          error
		unavailable, backup, primary int32
	}{
		{codes.Unavailable, 1, 0, 0}, {codes.NotPrimary, 1, 1, 0}, {nil, 1, 1, 1}, {nil, 1, 1, 2},
	} {
		if _, err := client.CallOnce(t.Context(), KindHostObservations, nil); !errors.Is(err, want.err) {
			t.Errorf("call %d: %v, not %v", i, err, want.err)
		}
		if unavailableCalls.Load() != want.unavailable || backupCalls.Load() != want.backup || primaryCalls.Load() != want.primary {
			t.Errorf("call %d: the processes were called %d, %d and %d times", i, unavailableCalls.Load(), backupCalls.Load(), primaryCalls.Load())
		}
	}
}

func TestCallRetriesUntilThePrimaryAnswers(t *testing.T) {
	primary, _ := serveAnswer(t, codes.OK, "done")
	backup, _ := serveAnswer(t, codes.NotPrimary, primary)
	unavailable, _ := serveAnswer(t, codes.Unavailable, "")
	client := New(rpc.NewClients(nil), func() []string { return []string{unavailable, backup} })
	if got, err := client.Call(t.Context(), KindHostObservations, nil); err != nil || string(got) != "done" {
		t.Fatalf("%q, %v", got, err)
	}
}

// The error contains the address of the primary that a backup returns, and is empty if the backup knows none.
func TestNotPrimaryErrorNamesThePrimary(t *testing.T) {
	for name, hint := range map[string]string{"known": "10.0.0.1:7401", "not known": ""} {
		t.Run(name, func(t *testing.T) {
			backup, _ := serveAnswer(t, codes.NotPrimary, hint)
			client := New(rpc.NewClients(nil), func() []string { return []string{backup} })
			_, err := client.CallOnce(t.Context(), KindHostObservations, nil)
			var notPrimary *NotPrimaryError
			if !errors.As(err, &notPrimary) || notPrimary.Primary != hint || !errors.Is(err, codes.NotPrimary) {
				t.Fatalf("%#v", err)
			}
		})
	}
}

// A rejection by the primary is returned with its body and not retried at another process.
func TestCallReturnsTheBodyOfARejection(t *testing.T) {
	primary, calls := serveAnswer(t, codes.ConfigBase, "9")
	client := New(rpc.NewClients(nil), func() []string { return []string{primary} })
	body, err := client.Call(t.Context(), KindSubmit, nil)
	if !errors.Is(err, codes.ConfigBase) || string(body) != "9" || calls.Load() != 1 {
		t.Fatalf("%q, %v after %d calls", body, err, calls.Load())
	}
}

func TestCallEndsWithItsContext(t *testing.T) {
	unavailable, _ := serveAnswer(t, codes.Unavailable, "")
	for name, addresses := range map[string][]string{"no address": nil, "no primary": {unavailable}} {
		t.Run(name, func(t *testing.T) {
			client := New(rpc.NewClients(nil), func() []string { return addresses })
			ctx, cancel := context.WithTimeout(t.Context(), 2*retryInterval)
			defer cancel()
			if _, err := client.Call(ctx, KindSubmit, nil); !errors.Is(err, codes.Timeout) {
				t.Fatalf("%v", err)
			}
		})
	}
}
