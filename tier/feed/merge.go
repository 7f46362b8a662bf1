package feed

// Merge applies an update and returns the items that changed. An update that is older than the view or belongs to another cluster has
// no effect.
func (v *View) Merge(update Update) []Item {
	v.mu.Lock()
	defer v.mu.Unlock()
	if update.Revision < v.revision || v.isForeignLocked(update.ClusterID) {
		return nil
	}
	if update.ClusterID != 0 {
		v.clusterID = update.ClusterID
	}
	var changed []Item
	if update.Snapshot {
		changed = v.deleteAllButLocked(update)
	}
	for _, item := range update.Items {
		if existing, found := v.sections[item.Section][item.Key]; found && existing.Revision >= item.Revision {
			continue
		}
		v.storeLocked(item)
		changed = append(changed, item)
	}
	v.compactTombstonesLocked()
	advanced := update.Revision > v.revision
	v.revision = update.Revision
	if update.Snapshot {
		// Items of a snapshot may be older than changes in the list, and deletions before the snapshot are unknown.
		v.history.resetTo(v.revision)
	}
	if advanced || len(changed) > 0 {
		v.notifyLocked()
	}
	return changed
}

// deleteAllButLocked deletes the items that a snapshot lacks, and returns their tombstones.
func (v *View) deleteAllButLocked(snapshot Update) []Item {
	present := make(map[itemKey]bool, len(snapshot.Items))
	for _, item := range snapshot.Items {
		present[item.key()] = true
	}
	var deleted []Item
	for _, items := range v.sections {
		for key, item := range items {
			if present[item.key()] || item.Deleted {
				continue
			}
			item.Deleted = true
			item.Data = nil
			item.Revision = snapshot.Revision
			items[key] = item
			v.history.tombstones++
			deleted = append(deleted, item)
		}
	}
	return deleted
}

// Restore replaces the whole view by a snapshot, even if the snapshot is older.
func (v *View) Restore(snapshot Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sections = map[Section]map[string]Item{}
	v.history.tombstones = 0
	for _, item := range snapshot.Items {
		v.storeLocked(item)
	}
	v.clusterID = snapshot.ClusterID
	v.revision = snapshot.Revision
	v.history.resetTo(snapshot.Revision)
	v.notifyLocked()
}
