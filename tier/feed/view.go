// Package feed distributes what control has decided. A view is a set of items, each with the revision that last changed it;
// subscribers get a snapshot and then the changes, and a view never goes back to an older revision of an item. The same view
// stands in control, in each agent and in each proxy.
package feed

import (
	"sort"
	"sync"

	"otterseam/tier/codec"
)

// Section groups items of one kind.
type Section uint8

// The sections of a view.
const (
	SectionConfig Section = iota + 1
	SectionHost
	SectionStore
	SectionShard
	SectionControl
	sectionPublicEnd
	// SectionRetirement holds the store machines that are to be emptied; it is not distributed.
	SectionRetirement
	// SectionEjection holds the hosts that are set aside for a time.
	SectionEjection
)

// isPublic tells whether a section is distributed.
func (s Section) isPublic() bool { return s < sectionPublicEnd || s == SectionEjection }

// Item is one piece of what was decided.
type Item struct {
	Section  Section
	Key      string
	Revision uint64
	Deleted  bool
	Data     []byte
}

type itemKey struct {
	section Section
	key     string
}

// Update carries the items that changed after From, up to Revision. Whole says that it replaces all items.
type Update struct {
	ClusterID uint64 // whose revisions these are; 0 if it is not known yet
	Revision  uint64
	Snapshot  bool
	Items     []Item
}

// tombstonesKept bounds how many deleted items are remembered for subscribers that lag.
const tombstonesKept = 512

// View is a set of items with a revision. It may be used from several goroutines.
type View struct {
	mu       sync.Mutex
	sections map[Section]map[string]Item
	// clusterID is the one whose revisions these are; 0 as long as it is not known.
	clusterID uint64
	revision  uint64
	deletions int // items that are remembered as deleted
	// forgotten is the newest revision whose deletion is no longer remembered: subscribers that lag behind it get all.
	forgotten uint64
	changed   chan struct{}
	// order lists changes by their revisions, so that what a subscriber lacks is found without a look at every item. Changes
	// before orderFrom are no longer in it.
	order     []change
	orderFrom uint64
	encoded   map[uint64][]byte // updates up to the present revision, by the revision they start from
}

// change notes that an item changed at a revision.
type change struct {
	key      itemKey
	revision uint64
}

// orderSlack is how many superseded changes are kept beside one for each item.
const orderSlack = 1024

// NewView makes an empty view.
func NewView() *View {
	return &View{sections: map[Section]map[string]Item{}, changed: make(chan struct{})}
}

// Revision is the newest revision.
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

func (v *View) notify() {
	v.encoded = nil
	close(v.changed)
	v.changed = make(chan struct{})
}

// Put sets an item at a revision.
func (v *View) Put(section Section, key string, revision uint64, data []byte) {
	v.set(Item{Section: section, Key: key, Revision: revision, Data: data})
}

// Delete removes an item at a revision.
func (v *View) Delete(section Section, key string, revision uint64) {
	v.set(Item{Section: section, Key: key, Revision: revision, Deleted: true})
}

// set changes items at once: a subscriber that stands at a revision has all that changed at it.
func (v *View) set(items ...Item) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, item := range items {
		v.store(item)
		v.revision = max(v.revision, item.Revision)
	}
	v.forgetTombstones()
	v.notify()
}

// PutAll sets several items at one revision.
func (v *View) PutAll(revision uint64, items ...Item) {
	for i := range items {
		items[i].Revision = revision
	}
	v.set(items...)
}

// size counts the items; the lock is held.
func (v *View) size() int {
	count := 0
	for _, items := range v.sections {
		count += len(items)
	}
	return count
}

// store puts an item in place; the lock is held.
func (v *View) store(item Item) {
	items := v.sections[item.Section]
	if items == nil {
		items = map[string]Item{}
		v.sections[item.Section] = items
	}
	v.countDeletion(items[item.Key], -1)
	v.countDeletion(item, 1)
	items[item.Key] = item
	v.order = append(v.order, change{itemKey{item.Section, item.Key}, item.Revision})
	if len(v.order) > 2*v.size()+2*orderSlack {
		v.order = append([]change(nil), v.order[len(v.order)/2:]...)
		v.orderFrom = v.order[0].revision
	}
}

// countDeletion keeps the number of items that are remembered as deleted; the lock is held.
func (v *View) countDeletion(item Item, by int) {
	if item.Deleted {
		v.deletions += by
	}
}

// forgetTombstones forgets the oldest deletions when there are too many; subscribers that lag further get all items. The lock is
// held.
func (v *View) forgetTombstones() {
	if v.deletions <= tombstonesKept {
		return
	}
	var dead []Item
	for _, items := range v.sections {
		for _, item := range items {
			if item.Deleted {
				dead = append(dead, item)
			}
		}
	}
	sort.Slice(dead, func(i, j int) bool { return dead[i].Revision < dead[j].Revision })
	for _, item := range dead[:len(dead)-tombstonesKept/2] {
		v.forgotten = max(v.forgotten, item.Revision)
		delete(v.sections[item.Section], item.Key)
	}
	v.deletions = tombstonesKept / 2
}

// Get returns an item's data.
func (v *View) Get(section Section, key string) ([]byte, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	item, found := v.sections[section][key]
	return item.Data, found && !item.Deleted
}

// All returns the live items of a section in the order of their keys.
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

// Since returns what a subscriber at a revision lacks of the public sections.
func (v *View) Since(revision uint64) Update {
	return v.since(revision, Section.isPublic)
}

// Export returns everything, for a snapshot.
func (v *View) Export() Update {
	return v.since(0, func(Section) bool { return true })
}

// SinceEncoded is Since in the form for the wire. Subscribers that stand at the same revision share the bytes, which must not be
// changed.
func (v *View) SinceEncoded(revision uint64) (encoded []byte, upTo uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	encoded, found := v.encoded[revision]
	if !found {
		encoded = v.sinceLocked(revision, Section.isPublic).Encode()
		if v.encoded == nil {
			v.encoded = map[uint64][]byte{}
		}
		v.encoded[revision] = encoded
	}
	return encoded, v.revision
}

func (v *View) since(revision uint64, include func(Section) bool) Update {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sinceLocked(revision, include)
}

func (v *View) sinceLocked(revision uint64, include func(Section) bool) Update {
	update := Update{ClusterID: v.clusterID, Revision: v.revision, Snapshot: revision == 0 || revision < v.forgotten}
	if !update.Snapshot && revision >= v.orderFrom {
		update.Items = v.changesSince(revision, include)
		return update
	}
	for section, items := range v.sections {
		if !include(section) {
			continue
		}
		for _, item := range items {
			if update.Snapshot && !item.Deleted || !update.Snapshot && item.Revision > revision {
				update.Items = append(update.Items, item)
			}
		}
	}
	sort.Slice(update.Items, func(i, j int) bool { return update.Items[i].before(update.Items[j]) })
	return update
}

// changesSince collects the newest state of the items that changed after a revision, each once.
func (v *View) changesSince(revision uint64, include func(Section) bool) []Item {
	start := sort.Search(len(v.order), func(i int) bool { return v.order[i].revision > revision })
	var items []Item
	taken := map[itemKey]bool{}
	for _, each := range v.order[start:] {
		item, held := v.sections[each.key.section][each.key.key]
		if !held || item.Revision != each.revision || taken[each.key] || !include(item.Section) {
			continue
		}
		taken[each.key] = true
		items = append(items, item)
	}
	return items
}

// before orders items by revision and, within one, by section and key, so that the same view always has the same bytes.
func (i Item) before(other Item) bool {
	if i.Revision != other.Revision {
		return i.Revision < other.Revision
	}
	if i.Section != other.Section {
		return i.Section < other.Section
	}
	return i.Key < other.Key
}

// Merge takes an update and returns the items that changed. Updates older than the view, or of another installation, change
// nothing.
func (v *View) Merge(update Update) []Item {
	v.mu.Lock()
	defer v.mu.Unlock()
	if update.Revision < v.revision || v.isForeign(update.ClusterID) {
		return nil
	}
	if update.ClusterID != 0 {
		v.clusterID = update.ClusterID
	}
	var changed []Item
	if update.Snapshot {
		changed = v.removeMissing(update)
		// items of a whole update are older than changes known here may be: the order starts anew behind it
		defer func() {
			v.order = nil
			v.orderFrom = v.revision
			v.forgotten = v.revision // deletions before it are not known here
		}()
	}
	for _, item := range update.Items {
		if held, found := v.sections[item.Section][item.Key]; found && held.Revision >= item.Revision {
			continue
		}
		v.store(item)
		changed = append(changed, item)
	}
	v.forgetTombstones()
	moved := update.Revision > v.revision
	v.revision = update.Revision
	if moved || len(changed) > 0 {
		v.notify()
	}
	return changed
}

func (v *View) removeMissing(update Update) []Item {
	present := make(map[itemKey]bool, len(update.Items))
	for _, item := range update.Items {
		present[itemKey{item.Section, item.Key}] = true
	}
	var changed []Item
	for section, items := range v.sections {
		for key, item := range items {
			if present[itemKey{section, key}] || item.Deleted {
				continue
			}
			item.Deleted = true
			item.Data = nil
			item.Revision = update.Revision
			items[key] = item
			v.deletions++
			changed = append(changed, item)
		}
	}
	return changed
}

// Restore replaces the whole view, as a snapshot says.
func (v *View) Restore(update Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sections = map[Section]map[string]Item{}
	v.deletions = 0
	for _, item := range update.Items {
		v.store(item)
	}
	v.clusterID = update.ClusterID
	v.revision = update.Revision
	v.forgotten = update.Revision
	v.order = nil
	v.orderFrom = update.Revision
	v.notify()
}

const smallestItem = 1 + 4 + 8 + 1 + 4

// Encode is the update's form on the wire and on disk.
func (u Update) Encode() []byte {
	var e codec.Encoder
	e.Uint64(u.ClusterID)
	e.Uint64(u.Revision)
	e.Bool(u.Snapshot)
	e.Uint32(uint32(len(u.Items)))
	for _, item := range u.Items {
		e.Uint8(uint8(item.Section))
		e.String(item.Key)
		e.Uint64(item.Revision)
		e.Bool(item.Deleted)
		e.Blob(item.Data)
	}
	return e.Bytes
}

// DecodeUpdate reads an update.
func DecodeUpdate(message []byte) (Update, error) {
	d := codec.NewDecoder(message)
	u := Update{ClusterID: d.Uint64(), Revision: d.Uint64(), Snapshot: d.Bool()}
	for range d.Count(smallestItem) {
		u.Items = append(u.Items, Item{
			Section: Section(d.Uint8()), Key: d.String(), Revision: d.Uint64(), Deleted: d.Bool(), Data: d.Blob(),
		})
	}
	return u, d.Err()
}
