package directory

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"otterseam/tier/codec"
	"otterseam/tier/feed"
)

// shardsOfFour returns the shards with the given IDs, out of a total of four.
func shardsOfFour(ids ...uint32) map[uint32]Shard {
	shards := map[uint32]Shard{}
	for _, id := range ids {
		shards[id] = Shard{ID: id, Total: 4}
	}
	return shards
}

func ExampleShardOfProgram() {
	shard, found := ShardOfProgram("program-a", shardsOfFour(0, 1, 2, 3))
	fmt.Println(shard.ID, found)
	_, found = ShardOfProgram("program-a", nil)
	fmt.Println(found)
	// Output:
	// 3 true
	// false
}

// An incomplete map must not assign a program to a wrong shard.
func TestShardOfProgramWithIncompleteMap(t *testing.T) {
	const program = "program-a"
	home, _ := ShardOfProgram(program, shardsOfFour(0, 1, 2, 3))
	for name, test := range map[string]struct {
		shards map[uint32]Shard
		found  bool
	}{
		"empty":          {nil, false},
		"only its shard": {shardsOfFour(home.ID), true},
		"only another":   {shardsOfFour((home.ID + 1) % 4), false},
		"unknown total":  {map[uint32]Shard{0: {}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			shard, found := ShardOfProgram(program, test.shards)
			if found != test.found {
				t.Fatalf("found %v", found)
			}
			if found && shard.Total > 0 && shard.ID != home.ID {
				t.Fatalf("shard is %d, want %d", shard.ID, home.ID)
			}
		})
	}
}

// An item that cannot be decoded must not hide the other items of its section.
func TestReadersSkipUndecodableItems(t *testing.T) {
	view := feed.NewView()
	for i, section := range []feed.Section{feed.SectionHost, feed.SectionStore, feed.SectionShard, feed.SectionEjection} {
		view.Put(section, "cut", uint64(i+1), []byte{0})
	}
	view.Put(feed.SectionHost, "host-1", 11, recordedHost().Encode())
	view.Put(feed.SectionStore, StoreKey(recordedStore().Identity), 12, recordedStore().Encode())
	view.Put(feed.SectionShard, ShardKey(recordedShard().ID), 13, recordedShard().Encode())
	view.Put(feed.SectionEjection, "host-1", 14, EncodeEjectionDuration(90_000))

	for name, test := range map[string]struct{ got, want any }{
		"hosts":     {Hosts(view), []Host{recordedHost()}},
		"stores":    {Stores(view), map[uint64]Store{recordedStore().Identity: recordedStore()}},
		"shards":    {Shards(view), map[uint32]Shard{recordedShard().ID: recordedShard()}},
		"ejections": {Ejections(view), map[string]int64{"host-1": 90_000}},
	} {
		if !reflect.DeepEqual(test.got, test.want) {
			t.Errorf("%s: got %+v, want %+v", name, test.got, test.want)
		}
	}
}

// decodeError adapts a decode function to return only its error.
func decodeError[T any](decode func([]byte) (T, error)) func([]byte) error {
	return func(data []byte) error {
		_, err := decode(data)
		return err
	}
}

func TestDecodeRejectsEveryPrefix(t *testing.T) {
	for name, test := range map[string]struct {
		encoded []byte
		decode  func([]byte) error
	}{
		"host":     {recordedHost().Encode(), decodeError(DecodeHost)},
		"store":    {recordedStore().Encode(), decodeError(DecodeStore)},
		"shard":    {recordedShard().Encode(), decodeError(DecodeShard)},
		"ejection": {EncodeEjectionDuration(1), decodeError(DecodeEjectionDuration)},
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(test.encoded) {
				if err := test.decode(test.encoded[:n]); !errors.Is(err, codec.ErrMalformed) {
					t.Fatalf("%d of %d bytes: %v", n, len(test.encoded), err)
				}
			}
		})
	}
}
