package client

import (
	"testing"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// The counter that tests report to, its time to live, and a number of steps.
const (
	testCounter           = "n"
	testTTL               = 60
	stepsUntilLeaseExpiry = 10 // steps of half a second, after which a lease that is not renewed has expired
)

// storeFixture connects a client to a simulated store, which consists of one state machine that executes all requests in order.
type storeFixture struct {
	t             *testing.T
	state         *statemachine.State
	now           float64
	client        *Client
	responsesLost bool
	rejecting     bool // requests are rejected without reaching the state machine
}

func newStoreFixture(t *testing.T) *storeFixture {
	return &storeFixture{t: t, state: statemachine.New(), client: New("edge/1")}
}

// step advances the time by half a second, executes the client's requests and returns the outcomes of their responses.
func (f *storeFixture) step() (outcomes []Outcome) {
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

// passTime advances the time of the state machine without running the client.
func (f *storeFixture) passTime(steps int) {
	for range steps {
		f.now += 0.5
		f.state.Apply(&statemachine.Batch{Clock: f.now})
	}
}

// recoverUsage adds the recorded usage of holders whose lease expired to the counters, like the leader of a group in the store.
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
		f.t.Fatalf("%s the total is %v, want %v", when, total, want)
	}
}

// The response to a report is lost, and the gateway includes the units in the next report: they must count once.
func TestReportWithLostResponseCountsOnce(t *testing.T) {
	f := newStoreFixture(t)
	_, newlyReserved, _ := f.client.ReportUsage(f.now, testCounter, 1003, 1000, testTTL)
	f.responsesLost = true
	f.step()
	f.responsesLost = false
	f.client.RetractUsage(testCounter, 1003, newlyReserved, true)
	f.client.ReportUsage(f.now, testCounter, 3, 1000, testTTL)
	if outcomes := f.step(); len(outcomes) != 1 || outcomes[0].Total != 1003 {
		t.Fatalf("%+v", outcomes)
	}
}

// A gateway admits work while the counter can't be reached, and then dies. The usage that it recorded must be added once.
func TestUnreportedUsageOfDeadClientIsRecoveredOnce(t *testing.T) {
	f := newStoreFixture(t)
	f.client.ReportUsage(f.now, testCounter, 5, 0, testTTL)
	f.step()
	f.client.SetUnreported(f.now, testCounter, 4, testTTL)
	f.step()
	f.checkTotal(5, "while the holder lives")
	f.passTime(stepsUntilLeaseExpiry)
	for range 2 {
		f.recoverUsage()
	}
	f.checkTotal(9, "after the holder's end")
}

// The first record of unreported usage is stored, but the stream ends before its response arrives. If the usage turns out to be less,
// a lower record has to follow. Otherwise the store would add units that were never used.
func TestFirstRecordWithLostResponseIsCorrected(t *testing.T) {
	f := newStoreFixture(t)
	f.client.SetUnreported(f.now, testCounter, 5, testTTL)
	f.responsesLost = true
	f.step()
	f.client.StreamLost()
	f.responsesLost = false
	f.client.ClearUnreported()
	f.step()
	f.passTime(stepsUntilLeaseExpiry)
	f.recoverUsage()
	f.checkTotal(0, "after the holder's end")
}

// A gateway is partitioned from the store until its lease expires and the store adds the recorded usage. It then continues under
// another holder name. No usage may count twice or be missing.
func TestUsageCountsOnceAfterLeaseExpiry(t *testing.T) {
	f := newStoreFixture(t)
	f.client.ReportUsage(f.now, testCounter, 1005, 1000, testTTL)
	f.client.SetUnreported(f.now, testCounter, 4, testTTL)
	f.step()
	f.rejecting = true
	for range stepsUntilLeaseExpiry {
		f.step()
		f.state.Apply(&statemachine.Batch{Clock: f.now})
	}
	f.recoverUsage()
	f.checkTotal(9, "after the lease expired")
	f.rejecting = false
	f.client.ClearUnreported()
	for range 4 {
		f.step()
	}
	if f.client.LeaseLosses() != 1 || f.client.Holder() == "edge/1.0" {
		t.Fatalf("%d leases were lost, and the holder is %s", f.client.LeaseLosses(), f.client.Holder())
	}
	// The gateway doesn't know that the store has added the unreported units, and reports them.
	if _, _, ok := f.client.ReportUsage(f.now, testCounter, 4, 1000, testTTL); !ok {
		t.Fatal("nothing can be reported")
	}
	if outcomes := f.step(); len(outcomes) != 1 || outcomes[0].Total != 1009 {
		t.Fatalf("%+v", outcomes)
	}
	f.checkTotal(1009, "at the end")
}

// The client must not report usage until it knows what was reported under its former holder name. Otherwise usage would count twice.
func TestNothingIsReportedBeforeFormerUsageIsKnown(t *testing.T) {
	f := newStoreFixture(t)
	f.client.ReportUsage(f.now, testCounter, 5, 0, testTTL)
	f.step()
	f.passTime(stepsUntilLeaseExpiry)
	f.step() // the response to the renewal says that the lease expired
	f.responsesLost = true
	f.step()
	if _, _, ok := f.client.ReportUsage(f.now, testCounter, 1, 0, testTTL); ok {
		t.Error("reported while the queries have no response")
	}
	f.client.StreamLost()
	f.responsesLost = false
	f.step() // both queries are repeated
	if _, _, ok := f.client.ReportUsage(f.now, testCounter, 1, 0, testTTL); !ok {
		t.Fatal("nothing can be reported after the queries were answered")
	}
	f.step()
	f.checkTotal(6, "at the end")
}

// The store rejects all requests. The client must send records at increasing intervals instead of ten times a second.
func TestRejectedRecordsBackOff(t *testing.T) {
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

func TestMarkerOutcomeOfEachResponse(t *testing.T) {
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
				t.Errorf("a second response has the outcome %+v", again)
			}
		})
	}
}

// Only one client gets a marker. A second client gets the outcome that a delivery has begun, and after the loss of the stream no
// delivery may begin.
func TestMarkerIsHeldByOneClient(t *testing.T) {
	f := newStoreFixture(t)
	f.client.AcquireMarker("a", "", 1)
	if outcomes := f.step(); len(outcomes) != 1 || outcomes[0].Kind != MarkerAcquired {
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

func TestBackoffGrowsToLimitAndResetsOnSuccess(t *testing.T) {
	var b backoff
	now := 0.0
	for i, want := range []float64{0.2, 0.4, 0.8, 1.6, 2, 2} {
		b.update(now, true)
		b.update(now, true) // a second failure at the same time
		if b.delay != want {
			t.Errorf("after %d failures the delay is %v, want %v", i+1, b.delay, want)
		}
		now += backoffInterval
	}
	if b.update(now, false); b.delay != 0 {
		t.Errorf("after a success the delay is %v", b.delay)
	}
}

// The customers of an epoch must not be deleted before all of their usage is recorded.
func TestMeterEpochEndsOnceAllUsageIsRecorded(t *testing.T) {
	f := newStoreFixture(t)
	f.client.MeterUsage("a", 1)
	f.client.MeterUsage("a", 0)
	f.client.MeterUsage("b", -1)
	f.rejecting = true
	for f.now < epochLength+1 {
		f.step()
	}
	if m := f.client.meters; m.epoch != 0 || len(m.customers) != 1 {
		t.Fatalf("epoch %d, %d customers", m.epoch, len(m.customers))
	}
	f.rejecting = false
	for range 12 { // the backoff is at most two seconds
		f.step()
	}
	if m := f.client.meters; m.epoch != 1 || len(m.customers) != 0 {
		t.Errorf("epoch %d, %d customers", m.epoch, len(m.customers))
	}
}
