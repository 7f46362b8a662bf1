package feed

// ClusterID returns the ID of the cluster that the view belongs to; 0 if not known yet.
func (v *View) ClusterID() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clusterID
}

// SetClusterID sets the cluster that the view belongs to.
func (v *View) SetClusterID(clusterID uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if clusterID != v.clusterID {
		v.clusterID = clusterID
		v.notifyLocked()
	}
}

// RejectsCluster reports whether updates and subscriptions of a cluster are rejected.
func (v *View) RejectsCluster(clusterID uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isForeignLocked(clusterID)
}

// isForeignLocked reports whether a cluster is known to differ from the view's. Revisions of two clusters cannot be compared.
func (v *View) isForeignLocked(clusterID uint64) bool {
	return v.clusterID != 0 && clusterID != 0 && clusterID != v.clusterID
}
