package programs

import (
	"reflect"
	"testing"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/internal/recorded"
)

const recordedNow = int64(1_764_680_000_123)

func recordedTicket() Ticket { return Ticket{Gateway: 0x0102030405060708, Number: 0x1112131415161718} }

func recordedBegin() Begin {
	return Begin{
		Now: recordedNow, Request: "request-3", Program: "program-a", Session: "session-1", Limited: true, Budget: 100_000,
		Estimate: 2_500, Previous: "request-2", Ticket: recordedTicket(),
	}
}

func recordedEnd() End {
	return End{
		Now: recordedNow + 900, Request: "request-3", Program: "program-a", Session: "session-1", Actual: 1_234, Retain: true,
		RetentionMS: 600_000, Previous: "request-2", Input: []byte(`{"input":"x"}`), Output: []byte("{\"a\":1}\n{\"b\":2}\n"),
		Host: "host-7", Ticket: recordedTicket(),
	}
}

// decodeAfterKind returns a function that checks the kind byte of a command and decodes the rest.
func decodeAfterKind[T any](t *testing.T, kind CommandKind, decode func(*codec.Decoder) T) func([]byte) (T, error) {
	return func(data []byte) (T, error) {
		d := codec.NewDecoder(data)
		if got := CommandKind(d.Uint8()); got != kind {
			t.Errorf("kind is %d, want %d", got, kind)
		}
		value := decode(d)
		return value, d.Err()
	}
}

func TestRecordedCommands(t *testing.T) {
	recorded.CheckBoth(t, "command-begin", recordedBegin(), Begin.Encode, decodeAfterKind(t, CommandBegin, decodeBegin))
	recorded.CheckBoth(t, "command-end", recordedEnd(), End.Encode, decodeAfterKind(t, CommandEnd, decodeEnd))
	recorded.Check(t, "command-fetch", Fetch{Now: recordedNow, Request: "request-2"}.Encode())
	for _, name := range []string{"command-begin", "command-end", "command-fetch"} {
		if !IsCommand(recorded.Read(t, name)) {
			t.Errorf("IsCommand(%s) is false", name)
		}
	}
	stamped := recordedBegin()
	stamped.Now = 0
	command := stamped.Encode()
	Stamp(command, recordedNow)
	recorded.Check(t, "command-begin", command)
}

// The fields that an older version doesn't know follow the form that it knows, and a version that knows them decodes both forms.
func TestBeginWithRetainedBytesExtendsTheRecordedForm(t *testing.T) {
	begin := recordedBegin()
	begin.RetainedBytes = 70_000
	begin.TimeoutMS = 5_000
	recorded.CheckBoth(t, "command-begin-retained", begin, Begin.Encode, decodeAfterKind(t, CommandBegin, decodeBegin))
	older := recorded.Read(t, "command-begin")
	encoded := begin.Encode()
	if len(encoded) != len(older)+16 || !reflect.DeepEqual(encoded[:len(older)], older) {
		t.Fatalf("%d bytes, recorded %d", len(encoded), len(older))
	}
	if got, isBegin := DecodeBegin(encoded); !isBegin || got != begin {
		t.Fatalf("%+v", got)
	}
	if got, isBegin := DecodeBegin(older); !isBegin || got != recordedBegin() {
		t.Fatalf("%+v", got)
	}
}

func TestRecordedResult(t *testing.T) {
	result := Result{Host: "host-7", Chain: [][]byte{[]byte("input 1"), []byte("output 1"), {0, 255}}}
	recorded.CheckBoth(t, "result", result, Result.Encode, DecodeResult)
	result.ChainTTL = 609_915
	recorded.CheckBoth(t, "result-chain-ttl", result, Result.Encode, DecodeResult)
}

// recordedState returns a state with two programs, of which the first has several entries of each kind.
func recordedState() *State {
	s := NewState()
	s.commands = 77
	first := newProgram()
	first.charged = 4_321
	first.lastUsed = recordedNow - 10
	first.reserved["request-8"] = reservation{estimate: 800, begunAt: recordedNow - 20}
	first.reserved["request-9"] = reservation{estimate: 900, begunAt: recordedNow - 30}
	first.settled = []settledTurn{
		{request: "request-1", ticket: Ticket{Gateway: 5, Number: 1}, code: codes.TurnSettled},
		{request: "request-2", ticket: Ticket{Gateway: 6, Number: 2}, code: codes.BudgetSpent},
	}
	first.watermarks[0x0203] = watermark{number: 40, raisedAt: recordedNow - 40}
	first.watermarks[0x0102] = watermark{number: 50, raisedAt: recordedNow - 50}
	first.sessionHosts["session-2"] = "host-2"
	first.sessionHosts["session-1"] = "host-1"
	first.turns["request-1"] = turn{input: []byte("input 1"), output: []byte("output 1\n"), host: "host-1", expiresAt: recordedNow + 60_000}
	first.turns["request-2"] = turn{
		previous: "request-1", input: []byte("input 2"), output: []byte("output 2\n"), host: "host-2", expiresAt: recordedNow + 70_000,
	}
	second := newProgram()
	second.charged = 1
	second.lastUsed = recordedNow
	s.programs["program-b"] = second
	s.programs["program-a"] = first
	s.programOfTurn["request-1"] = "program-a"
	s.programOfTurn["request-2"] = "program-a"
	s.countUsage()
	return s
}

func restoreRecorded(t *testing.T) *State {
	t.Helper()
	s := NewState()
	if err := s.Restore(recorded.Read(t, "snapshot")); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestRecordedSnapshot(t *testing.T) {
	recorded.Check(t, "snapshot", recordedState().Snapshot())
	if got := restoreRecorded(t); !reflect.DeepEqual(got, recordedState()) {
		t.Fatalf("restored state: %+v", got)
	}
}

// Applying the recorded commands to the recorded snapshot yields the recorded results and the recorded snapshot after them.
func TestRecordedCommandsAppliedToRecordedSnapshot(t *testing.T) {
	s := restoreRecorded(t)
	chain := [][]byte{[]byte("input 1"), []byte("output 1\n"), []byte("input 2"), []byte("output 2\n")}
	for _, step := range []struct {
		command string
		want    Result
	}{
		{"command-fetch", Result{Chain: chain, Host: "host-2"}},
		{"command-begin", Result{Chain: chain, Host: "host-2", ChainTTL: 60_001}},
		{"command-end", Result{}},
	} {
		if got := s.Apply(1, recorded.Read(t, step.command)); !reflect.DeepEqual(got, step.want) {
			t.Fatalf("%s: %+v", step.command, got)
		}
	}
	recorded.Check(t, "snapshot-after", s.Snapshot())
}
