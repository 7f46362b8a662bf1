package feed

// Merge takes an update and returns the items that changed. Updates older than the view, or of another cluster, change nothing.
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
		if held, found := v.sections[item.Section][item.Key]; found && held.Revision >= item.Revision {
			continue
		}
		v.storeLocked(item)
		changed = append(changed, item)
	}
	v.compactTombstonesLocked()
	advanced := update.Revision > v.revision
	v.revision = update.Revision
	if update.Snapshot {
		// Items of a snapshot may be older than changes known here, and what was deleted before it is not known here.
		v.history.restartAt(v.revision)
	}
	if advanced || len(changed) > 0 {
		v.notifyLocked()
	}
	return changed
}

// deleteAllButLocked deletes what a snapshot lacks, and returns it.
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

// Restore replaces the whole view by a snapshot, also by an older one.
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
	v.history.restartAt(snapshot.Revision)
	v.notifyLocked()
}
