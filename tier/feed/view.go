package feed

import (
	"sort"
	"sync"
)

// View is a set of items with a revision. It is safe for concurrent use: one lock guards all its fields.
type View struct {
	mu        sync.Mutex
	clusterID uint64 // cluster that the revisions belong to; 0 if not known yet
	revision  uint64
	sections  map[Section]map[string]Item // includes tombstones
	history   history
	changed   chan struct{}     // closed at the next change
	encoded   map[uint64][]byte // encoded updates to the current revision, by the subscriber's revision
}

// NewView returns an empty view.
func NewView() *View {
	return &View{sections: map[Section]map[string]Item{}, changed: make(chan struct{})}
}

// Revision returns the view's current revision.
func (v *View) Revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notifyLocked wakes all goroutines that wait for a change, and discards the encoded updates.
func (v *View) notifyLocked() {
	v.encoded = nil
	close(v.changed)
	v.changed = make(chan struct{})
}

// Put sets an item at a revision.
func (v *View) Put(section Section, key string, revision uint64, data []byte) {
	v.set(Item{Section: section, Key: key, Revision: revision, Data: data})
}

// PutAll sets several items at one revision, which replaces their own revisions.
func (v *View) PutAll(revision uint64, items ...Item) {
	for i := range items {
		items[i].Revision = revision
	}
	v.set(items...)
}

// Delete deletes an item at a revision. Its tombstone is kept until a compaction drops it.
func (v *View) Delete(section Section, key string, revision uint64) {
	v.set(Item{Section: section, Key: key, Revision: revision, Deleted: true})
}

// set changes items atomically: a subscriber at a revision has all changes of that revision.
func (v *View) set(items ...Item) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, item := range items {
		v.storeLocked(item)
		v.revision = max(v.revision, item.Revision)
	}
	v.compactTombstonesLocked()
	v.notifyLocked()
}

// Get returns an item's data.
func (v *View) Get(section Section, key string) ([]byte, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	item, found := v.sections[section][key]
	return item.Data, found && !item.Deleted
}

// All returns the items of a section that are not deleted, ordered by key.
func (v *View) All(section Section) []Item {
	v.mu.Lock()
	defer v.mu.Unlock()
	var items []Item
	for _, item := range v.sections[section] {
		if !item.Deleted {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// storeLocked stores an item and records the change.
func (v *View) storeLocked(item Item) {
	items := v.sections[item.Section]
	if items == nil {
		items = map[string]Item{}
		v.sections[item.Section] = items
	}
	if items[item.Key].Deleted {
		v.history.tombstones--
	}
	if item.Deleted {
		v.history.tombstones++
	}
	items[item.Key] = item
	v.history.add(change{item.key(), item.Revision}, v.itemCountLocked())
}

// itemCountLocked returns the number of items, including tombstones.
func (v *View) itemCountLocked() int {
	count := 0
	for _, items := range v.sections {
		count += len(items)
	}
	return count
}
