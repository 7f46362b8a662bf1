package state

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// commandLog applies commands to a state with increasing indices.
type commandLog struct {
	state *State
	index uint64
}

func newCommandLog() *commandLog { return &commandLog{state: New()} }

func (l *commandLog) apply(c Command) Result {
	l.index++
	return l.state.Apply(l.index, c.Encode()).(Result)
}

func (l *commandLog) replace(base, version uint64, body string) codes.Code {
	return l.apply(ReplaceConfig{Base: base, Version: version, Body: []byte(body)}).Code
}

// mustReplace replaces the configuration and fails the test if the change is rejected.
func (l *commandLog) mustReplace(t *testing.T, base, version uint64, body string) {
	t.Helper()
	if code := l.replace(base, version, body); code != codes.OK {
		t.Fatalf("version %d based on %d: %v", version, base, code)
	}
}

func TestOnlyOneChangePerBaseIsAccepted(t *testing.T) {
	l := newCommandLog()
	if got := l.replace(0, 3, "three"); got != codes.OK {
		t.Fatal(got)
	}
	if got := l.replace(0, 4, "four"); got != codes.ConfigBase {
		t.Fatalf("second change based on version 0: %v", got)
	}
	if got := l.replace(0, 3, "another three"); got != codes.ConfigBase {
		t.Fatalf("another change with the same version: %v", got)
	}
	if got := l.apply(ReadConfig{}); string(got.Body) != "three" {
		t.Fatalf("current configuration: %q", got.Body)
	}
}

func TestRepeatedChangeIsAcceptedAgain(t *testing.T) {
	l := newCommandLog()
	l.mustReplace(t, 0, 3, "three")
	l.mustReplace(t, 3, 5, "five")
	restored := New()
	if err := restored.Restore(l.state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"same": l.state, "restored": restored} {
		l.state = state
		if got := l.replace(0, 3, "three"); got != codes.OK {
			t.Errorf("%s state: superseded change repeated: %v", name, got)
		}
		if got := l.replace(3, 5, "five"); got != codes.OK {
			t.Errorf("%s state: current change repeated: %v", name, got)
		}
		if got := l.apply(ReadConfig{}); string(got.Body) != "five" {
			t.Errorf("%s state: current configuration: %q", name, got.Body)
		}
	}
}

func TestConfigVersionsMustIncrease(t *testing.T) {
	l := newCommandLog()
	l.mustReplace(t, 0, 7, "seven")
	for _, version := range []uint64{6, 7} {
		if got := l.replace(7, version, "lower"); got != codes.ConfigInvalid {
			t.Errorf("version %d based on 7: %v", version, got)
		}
	}
}

func heartbeat(id string, draining bool, seq uint64) Command {
	return PutHost{Host: directory.Host{ID: id, Service: "s", Address: "a:1", Draining: draining}, Seq: seq}
}

func TestStaleHeartbeatChangesNothing(t *testing.T) {
	l := newCommandLog()
	l.apply(heartbeat("h", false, 1))
	l.apply(heartbeat("h", true, 3))
	if got := l.apply(heartbeat("h", false, 2)); got.Code != codes.HostStale {
		t.Fatalf("heartbeat with an older sequence number: %v", got.Code)
	}
	if got := l.apply(heartbeat("h", false, 9)); got.Code != codes.HostStale {
		t.Fatalf("ready after draining: %v", got.Code)
	}
	if host, _ := l.state.Host("h"); !host.Draining {
		t.Fatal("a stale heartbeat reset the draining flag")
	}
	l.apply(RemoveHost{ID: "h", Deregistered: true})
	if got := l.apply(heartbeat("h", true, 10)); got.Code != codes.HostStale {
		t.Fatalf("heartbeat after deregistration: %v", got.Code)
	}
	if len(l.state.View.All(feed.SectionHost)) != 0 {
		t.Fatal("a deregistered host is listed")
	}
}

func TestHostRemovedForSilenceMayRegisterAgain(t *testing.T) {
	l := newCommandLog()
	l.apply(heartbeat("h", false, 1))
	l.apply(RemoveHost{ID: "h"})
	if got := l.apply(heartbeat("h", false, 2)); got.Code != codes.OK || len(l.state.View.All(feed.SectionHost)) != 1 {
		t.Fatalf("heartbeat after removal: %v", got.Code)
	}
}

func TestRetireNeedsKnownNodeAndEnoughOthers(t *testing.T) {
	l := newCommandLog()
	for i := range uint64(3) {
		l.apply(PutStore{Store: directory.Store{Identity: i + 1, Node: fmt.Sprintf("store-%d", i)}})
	}
	retire := func(node string) codes.Code { return l.apply(RetireNode{Node: node, Needed: 2}).Code }
	for _, test := range []struct {
		node string
		want codes.Code
	}{{"nobody", codes.RetireUnknown}, {"store-0", codes.OK}, {"store-0", codes.OK}, {"store-1", codes.RetireTooFew}} {
		if got := retire(test.node); got != test.want {
			t.Errorf("%s: %v, not %v", test.node, got, test.want)
		}
	}
}

func TestShardChangesOnlyFromItsBaseEpoch(t *testing.T) {
	l := newCommandLog()
	put := func(base, epoch uint64) codes.Code {
		shard := directory.Shard{ID: 4, Total: 8}
		shard.View.Epoch = epoch
		return l.apply(PutShard{Epoch: base, Shard: shard}).Code
	}
	if got := put(0, 1); got != codes.OK {
		t.Fatal(got)
	}
	if got := put(0, 1); got == codes.OK {
		t.Fatal("the shard was created twice")
	}
	if got := put(1, 2); got != codes.OK {
		t.Fatal(got)
	}
	if got := put(1, 2); got == codes.OK {
		t.Fatal("two changes based on epoch 1 were accepted")
	}
}

// For any sequence of commands and any points at which a replica is restored from a snapshot, replicas have equal states and
// configuration versions do not decrease.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newCommandLog()
		replica := New()
		version := uint64(0)
		for range rapid.IntRange(1, 60).Draw(rt, "commands") {
			c := drawCommand(rt)
			l.apply(c)
			replica.Apply(l.index, c.Encode())
			if current := l.state.ConfigVersion(); current < version {
				rt.Fatalf("version decreased from %d to %d", version, current)
			} else {
				version = current
			}
			if rapid.IntRange(0, 5).Draw(rt, "restore") == 0 {
				replica = New()
				if err := replica.Restore(l.state.Snapshot()); err != nil {
					rt.Fatal(err)
				}
			}
		}
		if !bytes.Equal(l.state.View.Export().Encode(), replica.View.Export().Encode()) {
			rt.Fatalf("the replicas' views differ:\n%+v\n%+v", l.state.View.Export(), replica.View.Export())
		}
		if len(l.state.Hosts()) != len(replica.Hosts()) {
			rt.Fatal("the replicas' hosts differ")
		}
	})
}

func drawCommand(rt *rapid.T) Command {
	id := fmt.Sprintf("h%d", rapid.IntRange(0, 3).Draw(rt, "host"))
	switch rapid.IntRange(0, 3).Draw(rt, "kind") {
	case 0:
		return ReplaceConfig{
			Base: rapid.Uint64Range(0, 5).Draw(rt, "base"), Version: rapid.Uint64Range(1, 6).Draw(rt, "version"),
			Body: []byte(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "body")),
		}
	case 1:
		return heartbeat(id, rapid.Bool().Draw(rt, "draining"), rapid.Uint64Range(0, 9).Draw(rt, "seq"))
	case 2:
		return RemoveHost{ID: id, Deregistered: rapid.Bool().Draw(rt, "final")}
	default:
		return PutStore{Store: directory.Store{Identity: rapid.Uint64Range(1, 3).Draw(rt, "store")}}
	}
}

func FuzzCommand(f *testing.F) {
	f.Add(heartbeat("h", true, 3).Encode())
	f.Add(ReplaceConfig{Base: 1, Version: 2, Body: []byte("x")}.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err != nil {
			return
		}
		if decoded, err := DecodeCommand(c.Encode()); err != nil || decoded.Kind() != c.Kind() {
			t.Fatalf("%+v was decoded as %+v, %v", c, decoded, err)
		}
		New().Apply(1, data)
	})
}
