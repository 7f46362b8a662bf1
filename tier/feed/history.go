package feed

import "sort"

const (
	// maxTombstones is how many tombstones are kept for subscribers that lag behind.
	maxTombstones = 512
	// tombstonesAfterCompaction is how many of the newest tombstones a compaction keeps.
	tombstonesAfterCompaction = maxTombstones / 2
	// changeLogSlack is how many superseded changes the list may contain in addition to one change for each item. The list is cut at
	// twice this sum.
	changeLogSlack = 1024
)

// history is the record of a view's past changes. The view's lock guards it.
type history struct {
	tombstones int // number of tombstones in the view
	// compacted is the newest revision whose tombstone was dropped. Subscribers at an older revision get a snapshot.
	compacted uint64
	// changes is ordered by revision, so that the items that a subscriber lacks are found without a scan of all items. Changes before
	// changesFrom are no longer in it.
	changes     []change
	changesFrom uint64
}

// change records that an item changed at a revision.
type change struct {
	key      itemKey
	revision uint64
}

// add appends a change. It drops the older half of the list once the list is too long for the number of items in the view.
func (h *history) add(c change, itemCount int) {
	h.changes = append(h.changes, c)
	if len(h.changes) > 2*itemCount+2*changeLogSlack {
		h.changes = append([]change(nil), h.changes[len(h.changes)/2:]...)
		h.changesFrom = h.changes[0].revision
	}
}

// resetTo drops all changes up to a revision. Subscribers at an older revision get a snapshot, as earlier deletions are no longer known.
func (h *history) resetTo(revision uint64) {
	h.changes = nil
	h.changesFrom = revision
	h.compacted = revision
}

// after returns the recorded changes after a revision.
func (h *history) after(revision uint64) []change {
	start := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].revision > revision })
	return h.changes[start:]
}

// compactTombstonesLocked drops the oldest tombstones if there are more than maxTombstones. Subscribers at an older revision than a
// dropped tombstone get a snapshot.
func (v *View) compactTombstonesLocked() {
	if v.history.tombstones <= maxTombstones {
		return
	}
	var tombstones []Item
	for _, items := range v.sections {
		for _, item := range items {
			if item.Deleted {
				tombstones = append(tombstones, item)
			}
		}
	}
	sort.Slice(tombstones, func(i, j int) bool { return tombstones[i].Revision < tombstones[j].Revision })
	for _, item := range tombstones[:len(tombstones)-tombstonesAfterCompaction] {
		v.history.compacted = max(v.history.compacted, item.Revision)
		delete(v.sections[item.Section], item.Key)
	}
	v.history.tombstones = tombstonesAfterCompaction
}
