package replica

import "testing"

func TestOptionsWithDefaults(t *testing.T) {
	slots := NewTransferSlots(1)
	cases := []struct {
		name        string
		given, want Options
	}{
		{
			"the zero value",
			Options{},
			Options{RetainedEntries: DefaultRetainedEntries, RetainedBytes: DefaultRetainedBytes, SnapshotChunkBytes: DefaultSnapshotChunkBytes},
		},
		{
			"all given",
			Options{EagerCommit: true, RetainedEntries: 1, RetainedBytes: 2, SnapshotChunkBytes: 3, TransferSlots: slots, Incarnation: 4, StepDownAfter: 5},
			Options{EagerCommit: true, RetainedEntries: 1, RetainedBytes: 2, SnapshotChunkBytes: 3, TransferSlots: slots, Incarnation: 4, StepDownAfter: 5},
		},
		{
			"one given",
			Options{RetainedBytes: 8 << 20},
			Options{RetainedEntries: DefaultRetainedEntries, RetainedBytes: 8 << 20, SnapshotChunkBytes: DefaultSnapshotChunkBytes},
		},
	}
	for _, c := range cases {
		if got := c.given.withDefaults(); got != c.want {
			t.Errorf("%s: %+v, not %+v", c.name, got, c.want)
		}
	}
}
