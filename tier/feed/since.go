package feed

import "sort"

// Since returns the update that a subscriber at the given revision needs. It contains public sections only.
func (v *View) Since(revision uint64) Update {
	return v.since(revision, Section.isPublic)
}

// Export returns a snapshot of all sections, including the private ones, for storage on disk.
func (v *View) Export() Update {
	return v.since(0, Section.isExported)
}

// SinceEncoded returns the encoded result of Since and the view's revision. Subscribers at the same revision share the bytes, which
// must not be modified.
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
	update := Update{ClusterID: v.clusterID, Revision: v.revision, Snapshot: revision == 0 || revision < v.history.compacted}
	switch {
	case update.Snapshot:
		update.Items = v.selectLocked(include, func(item Item) bool { return !item.Deleted })
	case revision >= v.history.changesFrom:
		update.Items = v.changedItemsLocked(revision, include)
	default:
		update.Items = v.selectLocked(include, func(item Item) bool { return item.Revision > revision })
	}
	return update
}

// selectLocked scans all items and returns the wanted ones of the included sections in the order of isBefore.
func (v *View) selectLocked(include func(Section) bool, wanted func(Item) bool) []Item {
	var selected []Item
	for section, items := range v.sections {
		if !include(section) {
			continue
		}
		for _, item := range items {
			if wanted(item) {
				selected = append(selected, item)
			}
		}
	}
	sort.Slice(selected, func(i, j int) bool { return selected[i].isBefore(selected[j]) })
	return selected
}

// changedItemsLocked returns the current state of each item that changed after a revision, based on the list of changes.
func (v *View) changedItemsLocked(revision uint64, include func(Section) bool) []Item {
	var items []Item
	added := map[itemKey]bool{}
	for _, c := range v.history.after(revision) {
		item, found := v.sections[c.key.section][c.key.key]
		if !found || item.Revision != c.revision || added[c.key] || !include(item.Section) {
			continue
		}
		added[c.key] = true
		items = append(items, item)
	}
	return items
}
