package replica

import (
	"testing"

	"otterseam/tier/codec"
)

const testStepDownAfter = 1000

func newContactGroup(t *testing.T, self uint64) *Group {
	t.Helper()
	g, err := NewGroup(self, &historyMachine{}, Snapshot{}, nil, Options{Incarnation: 100 + self, StepDownAfter: testStepDownAfter})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

var threeReplicas = View{Epoch: 1, Primary: 1, InSync: []uint64{1, 2, 3}, Replicas: []uint64{1, 2, 3}}

// probesTo takes a group's output and returns the probes and probe responses to a replica.
func probesTo(g *Group, to uint64) []Message {
	var probes []Message
	for _, out := range g.TakeOutput().Messages {
		if out.To == to && out.Message.carriesProbe() {
			probes = append(probes, out.Message)
		}
	}
	return probes
}

func onlyProbe(t *testing.T, g *Group, to uint64) Message {
	t.Helper()
	probes := probesTo(g, to)
	if len(probes) != 1 {
		t.Fatalf("%d probes", len(probes))
	}
	return probes[0]
}

// A response proves contact as of the time when the probe was sent, however late the response is read.
func TestContactCountsFromProbeSendTime(t *testing.T) {
	primary, backup := newContactGroup(t, 1), newContactGroup(t, 2)
	primary.SetView(threeReplicas, 1000)
	backup.Step(1, onlyProbe(t, primary, 2), 1005)
	response := onlyProbe(t, backup, 1)
	if since := primary.ConfirmedSince(1006); since != 0 {
		t.Fatalf("confirmed since %d before any response", since)
	}
	primary.Step(2, response, 6000) // read from the socket buffer after the process was suspended
	if since := primary.ConfirmedSince(6000); since != 1000 {
		t.Fatalf("confirmed since %d, but the probe was sent at 1000", since)
	}
}

// The primary and one response are two of five and no majority; with a second response they are.
func TestContactNeedsAMajority(t *testing.T) {
	primary := newContactGroup(t, 1)
	view := View{Epoch: 1, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 2, 3, 4, 5}}
	primary.SetView(view, 1000)
	response := Message{Kind: MessageProbeResponse, Epoch: 1, Probe: Probe{Sent: Timestamp{102, 7}, Echoed: Timestamp{101, 1000}}}
	primary.Step(2, response, 1010)
	if since := primary.ConfirmedSince(1010); since != 0 {
		t.Fatalf("confirmed since %d by two of five", since)
	}
	primary.Step(3, response, 1011)
	if since := primary.ConfirmedSince(1011); since != 1000 {
		t.Fatalf("confirmed since %d by three of five", since)
	}
}

// Responses to a probe of another incarnation of the process, or of a time in the future, prove nothing.
func TestContactIgnoresResponsesToAnotherIncarnation(t *testing.T) {
	primary := newContactGroup(t, 1)
	primary.SetView(threeReplicas, 1000)
	for _, echoed := range []Timestamp{{999, 1000}, {101, 2000}} {
		primary.Step(2, Message{Kind: MessageProbeResponse, Epoch: 1, Probe: Probe{Echoed: echoed}}, 1010)
		if since := primary.ConfirmedSince(1010); since != 0 {
			t.Fatalf("confirmed since %d by a response to %+v", since, echoed)
		}
	}
}

// A primary to which no majority responds steps down within the bound, and sends nothing afterwards.
func TestPrimaryWithoutResponsesStepsDown(t *testing.T) {
	primary := newContactGroup(t, 1)
	primary.SetView(threeReplicas, 1000)
	now := int64(1000)
	for ; primary.IsPrimary(); now += 40 {
		if now > 1000+testStepDownAfter+80 {
			t.Fatal("it did not step down")
		}
		primary.Tick(now, true)
	}
	if now < 1000+testStepDownAfter {
		t.Fatalf("it stepped down too early, after %d ms", now-1000)
	}
	primary.TakeOutput()
	primary.Tick(now+200, true)
	if output := primary.TakeOutput(); len(output.Messages) != 0 {
		t.Fatalf("it still sends messages: %+v", output.Messages)
	}
}

// A primary that was suspended sends probes before it steps down. Until a response arrives, its contact counts only from before
// the suspension.
func TestSuspendedPrimaryProbesBeforeItStepsDown(t *testing.T) {
	primary := newContactGroup(t, 1)
	primary.SetView(threeReplicas, 1000)
	primary.Step(2, Message{Kind: MessageProbeResponse, Epoch: 1, Probe: Probe{Echoed: Timestamp{101, 1000}}}, 1010)
	primary.TakeOutput()
	primary.Tick(9000, true)
	if !primary.IsPrimary() {
		t.Fatal("it stepped down although it has sent no probe since")
	}
	if since := primary.ConfirmedSince(9000); since != 1000 {
		t.Fatalf("confirmed since %d", since)
	}
	onlyProbe(t, primary, 2)
	primary.Step(2, Message{Kind: MessageProbeResponse, Epoch: 1, Probe: Probe{Echoed: Timestamp{101, 9000}}}, 9004)
	if since := primary.ConfirmedSince(9004); since != 9000 {
		t.Fatalf("confirmed since %d after the response", since)
	}
}

func probeFrom(epoch uint64, echoed Timestamp, age int64) Message {
	return Message{Kind: MessageProbe, Epoch: epoch, Probe: Probe{Sent: Timestamp{101, 1}, Echoed: echoed, QuorumAge: age}}
}

// A backup is confirmed as of its own probe less the age of the primary's contact with a majority, and only for a probe that the
// primary has read.
func TestBackupIsConfirmedForProbesThatThePrimaryRead(t *testing.T) {
	own := uint64(102)
	for name, test := range map[string]struct {
		message Message
		since   int64
	}{
		"not read":               {probeFrom(1, Timestamp{}, 10), 0},
		"without a majority":     {probeFrom(1, Timestamp{own, 900}, noQuorum), 0},
		"of another incarnation": {probeFrom(1, Timestamp{77, 900}, 10), 0},
		"from the future":        {probeFrom(1, Timestamp{own, 5000}, 10), 0},
		"read, with a majority":  {probeFrom(1, Timestamp{own, 900}, 70), 830},
	} {
		backup := newContactGroup(t, 2)
		backup.Step(1, test.message, 1000)
		if since := backup.ConfirmedSince(1000); since != test.since {
			t.Errorf("%s: confirmed since %d, not %d", name, since, test.since)
		}
	}
}

// A backup that lacks entries committed when the primary sent its probe must not serve reads and is not confirmed.
func TestLaggingBackupIsNotConfirmed(t *testing.T) {
	backup := newContactGroup(t, 2)
	message := probeFrom(1, Timestamp{102, 900}, 70)
	message.Commit = 1
	backup.Step(1, message, 1000)
	if since := backup.ConfirmedSince(1000); since != 0 {
		t.Fatalf("confirmed since %d although an entry is missing", since)
	}
	backup.Step(1, appendFrom(1, 0, 0, 1, Entry{1, 1, []byte("a")}), 1001)
	backup.Step(1, message, 1002)
	if since := backup.ConfirmedSince(1002); since != 830 {
		t.Fatalf("confirmed since %d", since)
	}
}

// A new primary doesn't know what its predecessor committed until the entry that opens its epoch is committed. Its probes must
// demand at least that entry.
func TestNewPrimaryConfirmsNoBackupBeforeItIsReady(t *testing.T) {
	primary := newContactGroup(t, 1)
	primary.SetView(threeReplicas, 1000)
	message := onlyProbe(t, primary, 2)
	if primary.IsReady() || message.Commit < primary.EpochStartIndex() {
		t.Fatalf("the probe demands entry %d, the epoch opens with %d", message.Commit, primary.EpochStartIndex())
	}
}

// A confirmation that a backup reads late counts from when the backup sent its probe.
func TestBackupCountsFromItsProbeSendTime(t *testing.T) {
	backup := newContactGroup(t, 2)
	backup.Step(1, probeFrom(1, Timestamp{102, 900}, 20), 1000)
	backup.Step(1, probeFrom(1, Timestamp{102, 980}, 20), 8000)
	if since := backup.ConfirmedSince(8000); since != 960 {
		t.Fatalf("confirmed since %d", since)
	}
}

// A backup whose process has voted for a successor no longer confirms the previous primary and ignores its confirmations.
func TestVoteForSuccessorEndsConfirmation(t *testing.T) {
	backup := newContactGroup(t, 2)
	backup.Step(1, probeFrom(1, Timestamp{102, 900}, 20), 1000)
	backup.TakeOutput()
	backup.RecordVote(2, 3)
	if since := backup.ConfirmedSince(1001); since != 0 {
		t.Fatalf("confirmed since %d", since)
	}
	backup.Step(1, probeFrom(1, Timestamp{102, 990}, 20), 1010)
	if probes := probesTo(backup, 1); len(probes) != 0 {
		t.Fatalf("it confirms the primary that it voted to replace: %+v", probes)
	}
	backup.Step(3, probeFrom(2, Timestamp{102, 1005}, 5), 1015)
	if since := backup.ConfirmedSince(1015); since != 1000 {
		t.Fatalf("confirmed since %d by the successor", since)
	}
}

// A vote for a record with the same primary keeps the confirmation.
func TestVoteForSamePrimaryKeepsConfirmation(t *testing.T) {
	backup := newContactGroup(t, 2)
	backup.Step(1, probeFrom(1, Timestamp{102, 900}, 20), 1000)
	backup.RecordVote(2, 1)
	if since := backup.ConfirmedSince(1001); since != 880 {
		t.Fatalf("confirmed since %d", since)
	}
}

// Probes of a primary without a majority don't advance the time at which it was confirmed, however many arrive.
func TestPrimaryWithoutMajorityIsNotConfirmed(t *testing.T) {
	backup := newContactGroup(t, 2)
	backup.Step(1, probeFrom(1, Timestamp{}, 30), 1000)
	confirmedAt := backup.PrimaryConfirmedAt()
	for now := int64(1080); now < 3000; now += 80 {
		backup.Step(1, probeFrom(1, Timestamp{}, noQuorum), now)
	}
	if backup.PrimaryConfirmedAt() != confirmedAt {
		t.Fatalf("confirmed at %d, before at %d", backup.PrimaryConfirmedAt(), confirmedAt)
	}
}

func TestProbeEncodingRoundTrip(t *testing.T) {
	sent := Message{Kind: MessageProbe, Epoch: 3, Probe: Probe{Sent: Timestamp{1, 2}, Echoed: Timestamp{3, 4}, QuorumAge: noQuorum}}
	var e codec.Encoder
	sent.Encode(&e)
	d := codec.NewDecoder(e.Bytes)
	if got := DecodeMessage(d); got.Probe != sent.Probe || got.Epoch != 3 || d.Err() != nil {
		t.Fatalf("%+v", got)
	}
}
