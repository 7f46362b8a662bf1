package feed

import "sort"

const (
	// maxTombstones bounds how many deleted items are remembered for subscribers that lag.
	maxTombstones = 512
	// tombstonesAfterCompaction is how many of them, the newest, are left when there were too many.
	tombstonesAfterCompaction = maxTombstones / 2
	// changeLogSlack is how many superseded changes are kept beside one for each item.
	changeLogSlack = 1024
)

// history is what a view remembers of its past. The view's lock guards it.
type history struct {
	tombstones int // items that are remembered as deleted
	// compacted is the newest revision whose deletion is no longer remembered: subscribers that lag behind it get a snapshot.
	compacted uint64
	// changes lists changes by their revisions, so that what a subscriber lacks is found without a look at every item. Changes
	// before changesFrom are no longer in it.
	changes     []change
	changesFrom uint64
}

// change notes that an item changed at a revision.
type change struct {
	key      itemKey
	revision uint64
}

// add appends a change. It drops the older half of the list once that has grown beyond what the items of the view justify.
func (h *history) add(c change, itemCount int) {
	h.changes = append(h.changes, c)
	if len(h.changes) > 2*itemCount+2*changeLogSlack {
		h.changes = append([]change(nil), h.changes[len(h.changes)/2:]...)
		h.changesFrom = h.changes[0].revision
	}
}

// restartAt forgets all changes up to a revision, and with them what was deleted before it.
func (h *history) restartAt(revision uint64) {
	h.changes = nil
	h.changesFrom = revision
	h.compacted = revision
}

// after lists the changes after a revision that the list still holds.
func (h *history) after(revision uint64) []change {
	start := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].revision > revision })
	return h.changes[start:]
}

// compactTombstonesLocked drops the oldest tombstones when there are too many; subscribers that lag further get a snapshot.
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
