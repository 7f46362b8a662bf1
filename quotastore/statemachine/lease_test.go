package statemachine

import "testing"

// A gateway dies after admitting five units, of which it has reported three, and with a concurrency slot reserved. The slot must be
// released once and the remaining two units recovered once. A delayed report of the gateway must change nothing.
func TestExpiredHolderUsageIsReconciledOnce(t *testing.T) {
	s := New()
	report := Command{Kind: ReportUsage, Key: "n", Holder: "h", Amount: 1003, Reserved: 1000, Version: 1, TTL: 60}
	apply(s, 0, report)
	apply(s, 0, Command{Kind: ReportUsage, Key: "n", Holder: "other", Amount: 7, Version: 1, TTL: 60})
	apply(s, 0, Command{Kind: RecordUnreported, Key: "n", Holder: "h", Amount: 5, Version: 2, TTL: 60})
	if len(s.UnrecoveredUsage(9)) != 0 {
		t.Fatal("unreported usage of a live holder is due for recovery")
	}
	for clock := 1.0; clock < 8; clock++ {
		apply(s, clock, Command{Kind: RenewLease, Holder: "other", TTL: 3})
	}
	wantTotal(t, s, 10) // the slot was released once
	unrecovered := s.UnrecoveredUsage(9)
	if len(unrecovered) != 1 || unrecovered[0].Amount != 5 {
		t.Fatalf("unrecovered usage %v", unrecovered)
	}
	for range 3 {
		apply(s, 8, Command{Kind: RecoverUnreported, Key: "n", Holder: "h", Amount: 5, TTL: 60})
	}
	late := report
	late.Amount = 2003
	late.Version = 9
	if r := apply(s, 8, late); r.Code != LeaseExpired || r.HolderTotal != 5 {
		t.Fatalf("the last report of an expired holder: %+v", r)
	}
	wantTotal(t, s, 12)
	apply(s, 8, Command{Kind: ClearUnreported, Key: "n", Holder: "h", Version: 2})
	if len(s.UnrecoveredUsage(9)) != 0 {
		t.Fatal("recovered usage is still due for recovery")
	}
}
