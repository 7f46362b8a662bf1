package feed

import (
	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
)

// ClusterID is the installation whose revisions the view holds, 0 as long as it is not known.
func (v *View) ClusterID() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clusterID
}

// SetClusterID tells whose revisions the view holds.
func (v *View) SetClusterID(installation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if installation != v.clusterID {
		v.clusterID = installation
		v.notify()
	}
}

// isForeign tells whether an installation is another one than the view's; the lock is held. Revisions of two installations
// cannot be compared.
func (v *View) isForeign(installation uint64) bool {
	return v.clusterID != 0 && installation != 0 && installation != v.clusterID
}

// RejectsCluster tells whether updates or subscriptions of an installation are refused.
func (v *View) RejectsCluster(installation uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isForeign(installation)
}

// logForeignPublisher writes into the log that a publisher serves another installation.
func (s *Subscriber) logForeignPublisher(address string) {
	if s.loggedForeign {
		return
	}
	s.loggedForeign = true
	logrus.WithFields(logrus.Fields{"code": uint16(codes.DiskForeign), "publisher": address, "own_installation": s.View.ClusterID()}).
		Error("a publisher serves another installation; its views are refused")
}
