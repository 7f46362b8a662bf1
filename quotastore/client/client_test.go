package client

import (
	"testing"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// The units that tests report, and what all counters of tests live for.
const (
	testCounter = "n"
	testTTL     = 60
	leaseAway   = 10 // turns after which a lease has expired that is not renewed
)

// storeFixture has a client and plays the store: one state machine, which takes all that is requested in order.
type storeFixture struct {
	t             *testing.T
	state         *statemachine.State
	now           float64
	client        *Client
	responsesLost bool
	rejecting     bool // nothing gets to the state machine
}

func newStoreFixture(t *testing.T) *storeFixture {
	return &storeFixture{t: t, state: statemachine.New(), client: New("edge/1")}
}

// turn lets half a second pass, has the client's requests carried out and returns what their responses mean.
func (f *storeFixture) turn() (outcomes []Outcome) {
	f.now += 0.5
	for _, request := range f.client.TakeRequests(f.now) {
		if f.rejecting {
			f.client.HandleResponse(f.now, &protocol.Response{RequestID: request.ID, NotLeader: true})
			continue
		}
		reply := f.apply(request.Command)
		if f.responsesLost {
			continue
		}
		if outcome := f.client.HandleResponse(f.now, &protocol.Response{RequestID: request.ID, Reply: reply}); outcome.Kind != NoOutcome {
			outcomes = append(outcomes, outcome)
		}
	}
	return outcomes
}

func (f *storeFixture) apply(command statemachine.Command) statemachine.Reply {
	return f.state.Apply(&statemachine.Batch{Clock: f.now, Commands: []statemachine.Command{command}})[0]
}

// passTime lets time pass for the state machine alone.
func (f *storeFixture) passTime(turns int) {
	for range turns {
		f.now += 0.5
		f.state.Apply(&statemachine.Batch{Clock: f.now})
	}
}

// recoverUsage adds the recorded usage of holders whose lease expired, as the store's leader does.
func (f *storeFixture) recoverUsage() {
	for _, usage := range f.state.UnrecoveredUsage(9) {
		f.apply(statemachine.Command{
			Kind:   statemachine.RecoverUnreported,
			Holder: usage.Holder,
			Key:    usage.Key,
			Amount: usage.Amount,
			TTL:    usage.TTL,
		})
	}
}

func (f *storeFixture) checkTotal(want float64, when string) {
	f.t.Helper()
	if total, _ := f.state.Total(testCounter); total != want {
		f.t.Fatalf("%s the total is %v, wanted is %v", when, total, want)
	}
}

// The answer to a report is lost; the gateway reports the units once more with the next: they count once.
func TestReportWithoutAnAnswerCountsOnce(t *testing.T) {
	f := newStoreFixture(t)
	_, newlyReserved, _ := f.client.ReportUsage(f.now, testCounter, 1003, 1000, testTTL)
	f.responsesLost = true
	f.turn()
	f.responsesLost = false
	f.client.RetractUsage(testCounter, 1003, newlyReserved, true)
	f.client.ReportUsage(f.now, testCounter, 3, 1000, testTTL)
	if outcomes := f.turn(); len(outcomes) != 1 || outcomes[0].Total != 1003 {
		t.Fatalf("%+v", outcomes)
	}
}

// While the counter can't be reached work is admitted; then the gateway dies. What it had recorded is added, once.
func TestUnreportedUsageOutlivesItsHolder(t *testing.T) {
	f := newStoreFixture(t)
	f.client.ReportUsage(f.now, testCounter, 5, 0, testTTL)
	f.turn()
	f.client.SetUnreported(f.now, testCounter, 4, testTTL)
	f.turn()
	f.checkTotal(5, "while the holder lives")
	f.passTime(leaseAway)
	for range 2 {
		f.recoverUsage()
	}
	f.checkTotal(9, "after the holder's end")
}

// The first record of unreported usage is stored, but the stream ends before its response: when the usage turns out to be less, a
// lower record has to follow, else the store would add what was never used.
func TestAFirstRecordWhoseResponseIsLostMayBeStored(t *testing.T) {
	f := newStoreFixture(t)
	f.client.SetUnreported(f.now, testCounter, 5, testTTL)
	f.responsesLost = true
	f.turn()
	f.client.StreamLost()
	f.responsesLost = false
	f.client.ClearUnreported()
	f.turn()
	f.passTime(leaseAway)
	f.recoverUsage()
	f.checkTotal(0, "after the holder's end")
}

// The gateway is cut off for so long that its lease expires and the store adds what it had recorded; it lives, and goes on
// under another holder name: nothing counts twice, nothing is missing.
func TestClientThatOutlivesItsLeaseCountsOnce(t *testing.T) {
	f := newStoreFixture(t)
	f.client.ReportUsage(f.now, testCounter, 1005, 1000, testTTL)
	f.client.SetUnreported(f.now, testCounter, 4, testTTL)
	f.turn()
	f.rejecting = true
	for range leaseAway {
		f.turn()
		f.state.Apply(&statemachine.Batch{Clock: f.now})
	}
	f.recoverUsage()
	f.checkTotal(9, "after the lease expired")
	f.rejecting = false
	f.client.ClearUnreported()
	for range 4 {
		f.turn()
	}
	if f.client.LeaseLosses() != 1 || f.client.Holder() == "edge/1.0" {
		t.Fatalf("%d leases were lost, and the holder is %s", f.client.LeaseLosses(), f.client.Holder())
	}
	// The gateway does not know what became of the unreported units, and reports them.
	if _, _, ok := f.client.ReportUsage(f.now, testCounter, 4, 1000, testTTL); !ok {
		t.Fatal("nothing can be reported")
	}
	if outcomes := f.turn(); len(outcomes) != 1 || outcomes[0].Total != 1009 {
		t.Fatalf("%+v", outcomes)
	}
	f.checkTotal(1009, "at the end")
}

// Until the client knows what was reported under its former holder name it reports nothing.
func TestNothingIsReportedBeforeFormerUsageIsKnown(t *testing.T) {
	f := newStoreFixture(t)
	f.client.ReportUsage(f.now, testCounter, 5, 0, testTTL)
	f.turn()
	f.passTime(leaseAway)
	f.turn() // the renewal is answered with the expiry
	f.responsesLost = true
	f.turn()
	if _, _, ok := f.client.ReportUsage(f.now, testCounter, 1, 0, testTTL); ok {
		t.Error("reported while the queries have no response")
	}
	f.client.StreamLost()
	f.responsesLost = false
	f.turn() // both queries again
	if _, _, ok := f.client.ReportUsage(f.now, testCounter, 1, 0, testTTL); !ok {
		t.Fatal("nothing can be reported after the queries were answered")
	}
	f.turn()
	f.checkTotal(6, "at the end")
}

// The store rejects all requests: records are sent less and less, not ten times a second.
func TestRejectedRecordsAreSentLessAndLess(t *testing.T) {
	c, sent := New("edge/1"), 0
	for i := range 50 {
		c.SetUnreported(0, string(rune('a'+i)), 1, testTTL)
	}
	for now := 0.0; now < 10; now += 0.05 {
		for _, request := range c.TakeRequests(now) {
			sent++
			c.HandleResponse(now, &protocol.Response{RequestID: request.ID, NotLeader: true})
		}
	}
	if sent > 50*10 {
		t.Fatalf("%d requests in ten seconds, all rejected", sent)
	}
}

func TestMarkerOutcomeSaysWhetherADeliveryMayBegin(t *testing.T) {
	tests := map[string]struct {
		response protocol.Response
		want     OutcomeKind
	}{
		"acquired":      {protocol.Response{Reply: statemachine.Reply{Code: statemachine.Done}}, MarkerAcquired},
		"held":          {protocol.Response{Reply: statemachine.Reply{Code: statemachine.MarkerHeld}}, MarkerHeld},
		"rejected":      {protocol.Response{NotLeader: true}, MarkerUnknown},
		"unknown":       {protocol.Response{Unknown: true}, MarkerUnknown},
		"lease expired": {protocol.Response{Reply: statemachine.Reply{Code: statemachine.LeaseExpired}}, MarkerUnknown},
		"invalid":       {protocol.Response{Reply: statemachine.Reply{Code: statemachine.Invalid}}, MarkerUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New("edge/1")
			id := c.AcquireMarker("a", "", 1)
			test.response.RequestID = id
			if outcome := c.HandleResponse(0, &test.response); outcome.Kind != test.want || outcome.RequestID != id {
				t.Errorf("%+v", outcome)
			}
			if again := c.HandleResponse(0, &test.response); again != (Outcome{}) {
				t.Errorf("a second response means %+v", again)
			}
		})
	}
}

// A marker is one client's; a second one knows that a delivery has begun, and none may begin if the stream is lost.
func TestMarkerIsHeldByOneClient(t *testing.T) {
	f := newStoreFixture(t)
	f.client.AcquireMarker("a", "", 1)
	if outcomes := f.turn(); len(outcomes) != 1 || outcomes[0].Kind != MarkerAcquired {
		t.Fatalf("%+v", outcomes)
	}
	other := New("edge/2")
	id, found := other.AcquireMarker("a", "", 1), false
	for _, request := range other.TakeRequests(f.now) {
		outcome := other.HandleResponse(f.now, &protocol.Response{RequestID: request.ID, Reply: f.apply(request.Command)})
		if request.ID == id {
			found = true
			if outcome.Kind != MarkerHeld {
				t.Fatalf("%+v", outcome)
			}
		}
	}
	if !found {
		t.Fatal("the marker was not requested")
	}
	f.client.AcquireMarker("b", "", 1)
	f.client.TakeRequests(f.now)
	if outcomes := f.client.StreamLost(); len(outcomes) != 1 || outcomes[0].Kind != MarkerUnknown {
		t.Fatalf("after the stream was lost: %+v", outcomes)
	}
}

func TestUnreportedRecordIsDue(t *testing.T) {
	tests := map[string]struct {
		record             unreportedRecord
		amount, unreported float64
		want               bool
	}{
		"nothing unreported":               {unreportedRecord{}, 5, 0, false},
		"first unreported usage":           {unreportedRecord{}, 5, 1, true},
		"a request is pending":             {unreportedRecord{requestID: 7}, 5, 1, false},
		"the same is stored":               {unreportedRecord{state: recordStored, amount: 5}, 5, 1, false},
		"less is stored":                   {unreportedRecord{state: recordStored, amount: 4}, 5, 1, true},
		"less is stored and all reported":  {unreportedRecord{state: recordStored, amount: 4}, 5, 0, false},
		"more is stored than is due":       {unreportedRecord{state: recordStored, amount: 6}, 5, 0, true},
		"uncertain":                        {unreportedRecord{state: recordUncertain, amount: 5}, 5, 1, true},
		"uncertain and nothing unreported": {unreportedRecord{state: recordUncertain, amount: 5}, 5, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.record.isDue(test.amount, test.unreported); got != test.want {
				t.Errorf("due is %v", got)
			}
		})
	}
}

func TestBackoffGrowsUpToItsLimitAndEndsWithASuccess(t *testing.T) {
	var b backoff
	now := 0.0
	for i, want := range []float64{0.2, 0.4, 0.8, 1.6, 2, 2} {
		b.update(now, true)
		b.update(now, true) // of the same moment
		if b.delay != want {
			t.Errorf("after %d failures the delay is %v, wanted is %v", i+1, b.delay, want)
		}
		now += backoffInterval
	}
	if b.update(now, false); b.delay != 0 {
		t.Errorf("after a success the delay is %v", b.delay)
	}
}

// Customers of an epoch are forgotten once all that they used is recorded, and not before.
func TestMetersBeginAnEpochOnceAllIsRecorded(t *testing.T) {
	f := newStoreFixture(t)
	f.client.MeterUsage("a", 1)
	f.client.MeterUsage("a", 0)
	f.client.MeterUsage("b", -1)
	f.rejecting = true
	for f.now < epochLength+1 {
		f.turn()
	}
	if m := f.client.meters; m.epoch != 0 || len(m.customers) != 1 {
		t.Fatalf("epoch %d, %d customers", m.epoch, len(m.customers))
	}
	f.rejecting = false
	for range 12 { // the backoff is at most two seconds
		f.turn()
	}
	if m := f.client.meters; m.epoch != 1 || len(m.customers) != 0 {
		t.Errorf("epoch %d, %d customers", m.epoch, len(m.customers))
	}
}
