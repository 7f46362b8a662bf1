package state

import (
	"reflect"
	"testing"

	"otterseam/tier/control/internal/fixture"
	"otterseam/tier/directory"
	"otterseam/tier/internal/recorded"
)

func TestRecordedCommands(t *testing.T) {
	for name, command := range map[string]Command{
		"replace-config": ReplaceConfig{Base: 0x0102030405060708, Version: 0x1112131415161718, Body: []byte(`{"v":1}`)},
		"put-host":       PutHost{Host: fixture.Host("host-1", true), Seq: 0x3132333435363738},
		"remove-host":    RemoveHost{ID: "host-1", Deregistered: true},
		"put-store":      PutStore{Store: fixture.Store(11, "store-a")},
		"remove-store":   RemoveStore{Store: fixture.Store(12, "store-b")},
		"put-shard":      PutShard{Epoch: 0x4142434445464748, Shard: fixture.Shard(37)},
		"retire":         RetireNode{Node: "store-a", Needed: 0x01020304},
		"members":        SetMembers{Record: fixture.Record()},
		"read-config":    ReadConfig{},
		"set-aside":      EjectHost{ID: "host-1", DurationMS: 90_000},
		"end-aside":      ReinstateHost{ID: "host-1"},
	} {
		recorded.CheckBoth(t, "command-"+name, command, Command.Encode, DecodeCommand)
	}
}

func TestRecordedItems(t *testing.T) {
	decode := func(data []byte) (retirement, error) { return decodeRetirement(data), nil }
	recorded.CheckBoth(t, "retirement", retirement{Unregistered: true, Identities: []uint64{11, 0x0102030405060708}}, retirement.encode, decode)
	recorded.Check(t, "config", configItem(0x0102030405060708, []byte(`{"v":1}`)))
	if version, body := SplitConfig(recorded.Read(t, "config")); version != 0x0102030405060708 || string(body) != `{"v":1}` {
		t.Errorf("version %x, body %q", version, body)
	}
}

// recordedLog applies commands after which each part of the state has several entries.
func recordedLog() *commandLog {
	l := newCommandLog()
	for _, command := range []Command{
		SetMembers{Record: fixture.Record()},
		ReplaceConfig{Base: 0, Version: 5, Body: []byte(`{"v":5}`)},
		ReplaceConfig{Base: 5, Version: 7, Body: []byte(`{"v":7}`)},
		ReplaceConfig{Base: 4, Version: 9, Body: []byte(`{"v":9}`)}, // rejected: another base
		ReplaceConfig{Base: 7, Version: 6, Body: []byte(`{"v":6}`)}, // rejected: a lower version
		PutHost{Host: fixture.Host("host-2", true), Seq: 3},
		PutHost{Host: fixture.Host("host-1", false), Seq: 1},
		PutHost{Host: fixture.Host("host-1", false), Seq: 2},
		PutHost{Host: fixture.Host("host-3", false), Seq: 4},
		PutHost{Host: fixture.Host("host-4", false), Seq: 5},
		EjectHost{ID: "host-1", DurationMS: 90_000},
		EjectHost{ID: "host-2", DurationMS: 80_000},
		ReinstateHost{ID: "host-2"},
		RemoveHost{ID: "host-3", Deregistered: true},
		RemoveHost{ID: "host-4"},
		RemoveHost{ID: "host-5", Deregistered: true},
		PutStore{Store: fixture.Store(11, "store-a")},
		PutStore{Store: fixture.Store(12, "store-b")},
		PutStore{Store: fixture.Store(13, "store-c")},
		PutShard{Shard: fixture.Shard(37)},
		PutShard{Shard: fixture.Shard(2)},
		RetireNode{Node: "store-b", Needed: 1},
		RetireNode{Node: "store-c", Needed: 1},
		RemoveStore{Store: fixture.Store(13, "store-c")},
	} {
		l.apply(command)
	}
	return l
}

func TestRecordedSnapshot(t *testing.T) {
	state := recordedLog().state
	recorded.Check(t, "snapshot", state.Snapshot())
	restored := New()
	if err := restored.Restore(recorded.Read(t, "snapshot")); err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "snapshot", restored.Snapshot())
	if !reflect.DeepEqual(restored.hosts, withoutDeregisteredHosts(state.hosts)) || restored.deregistered != state.deregistered {
		t.Errorf("restored hosts: %+v, not %+v", restored.hosts, state.hosts)
	}
	if !reflect.DeepEqual(&restored.changes, &state.changes) {
		t.Errorf("restored changes: %+v", &restored.changes)
	}
	if !reflect.DeepEqual(restored.View.Export(), state.View.Export()) {
		t.Errorf("restored items: %+v", restored.View.Export())
	}
}

// withoutDeregisteredHosts returns host records as a snapshot retains them: without the host entries of deregistered hosts.
func withoutDeregisteredHosts(hosts map[string]hostRecord) map[string]hostRecord {
	records := map[string]hostRecord{}
	for id, record := range hosts {
		if record.deregistered {
			record.host = directory.Host{}
		}
		records[id] = record
	}
	return records
}
