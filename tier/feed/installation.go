package feed

import (
	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
)

// Installation is the installation whose revisions the view holds, 0 as long as it is not known.
func (v *View) Installation() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.installation
}

// SetInstallation tells whose revisions the view holds.
func (v *View) SetInstallation(installation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if installation != v.installation {
		v.installation = installation
		v.notify()
	}
}

// isForeign tells whether an installation is another one than the view's; the lock is held. Revisions of two installations
// cannot be compared.
func (v *View) isForeign(installation uint64) bool {
	return v.installation != 0 && installation != 0 && installation != v.installation
}

// Refuses tells whether updates or subscriptions of an installation are refused.
func (v *View) Refuses(installation uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isForeign(installation)
}

// nameForeign writes into the log that a publisher serves another installation.
func (s *Subscriber) nameForeign(address string) {
	if s.namedForeign {
		return
	}
	s.namedForeign = true
	logrus.WithFields(logrus.Fields{"code": uint16(codes.DiskForeign), "publisher": address, "own_installation": s.View.Installation()}).
		Error("a publisher serves another installation; its views are refused")
}
