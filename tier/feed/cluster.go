package feed

// ClusterID identifies the cluster whose revisions the view holds; 0 as long as it is not known.
func (v *View) ClusterID() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clusterID
}

// SetClusterID tells whose revisions the view holds.
func (v *View) SetClusterID(clusterID uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if clusterID != v.clusterID {
		v.clusterID = clusterID
		v.notifyLocked()
	}
}

// RejectsCluster tells whether updates or subscriptions of a cluster are rejected.
func (v *View) RejectsCluster(clusterID uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isForeignLocked(clusterID)
}

// isForeignLocked tells whether a cluster is another one than the view's. Revisions of two clusters cannot be compared.
func (v *View) isForeignLocked(clusterID uint64) bool {
	return v.clusterID != 0 && clusterID != 0 && clusterID != v.clusterID
}
