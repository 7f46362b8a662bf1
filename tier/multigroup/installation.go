package multigroup

import (
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/storage"
)

const (
	installationValue = "installation"
	startsValue       = "starts"
	// foreignNamed is how many foreign installations are named in the log before no more are.
	foreignNamed = 32
)

// origin tells of which installation this process's disk is and how often the process has been started on it. Both are durable.
// Messages carry them, so that a disk of another installation, and an older copy of a disk put back, are found out.
type origin struct {
	values *storage.Values
	log    *logrus.Entry
	starts uint64

	installation atomic.Uint64

	mu    sync.Mutex
	seen  map[uint64]uint64 // the highest count of starts heard of each member
	named map[uint64]bool   // what was named in the log already: installations, and members with an older disk
}

func openOrigin(values *storage.Values, log *logrus.Entry) (*origin, error) {
	o := &origin{values: values, log: log, seen: map[uint64]uint64{}, named: map[uint64]bool{}}
	installation, err := readNumber(values, installationValue)
	if err != nil {
		return nil, err
	}
	o.installation.Store(installation)
	starts, err := readNumber(values, startsValue)
	if err != nil {
		return nil, err
	}
	o.starts = starts + 1
	if err := writeNumber(values, startsValue, o.starts); err != nil {
		// the next start then has the same number, which is not taken for an older copy of the disk
		log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Warn("the number of starts could not be written")
	}
	return o, nil
}

func readNumber(values *storage.Values, name string) (uint64, error) {
	content, err := values.Read(name)
	if err != nil || len(content) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(content), nil
}

func writeNumber(values *storage.Values, name string, number uint64) error {
	return values.Write(name, binary.BigEndian.AppendUint64(nil, number))
}

// ClusterID is the installation to which this disk belongs, 0 as long as it belongs to none.
func (h *Node) ClusterID() uint64 { return h.origin.installation.Load() }

// BindCluster binds the disk to an installation for good. It reports false for an installation other than the one it is bound to;
// 0 stands for one that is not known yet and binds nothing.
func (h *Node) BindCluster(installation uint64) bool { return h.origin.bind(installation) }

// IsForeignCluster tells whether an installation is another one than that of this disk, and names it in the log.
func (h *Node) IsForeignCluster(installation uint64) bool {
	own := h.ClusterID()
	return own != 0 && installation != 0 && !h.origin.bind(installation)
}

func (o *origin) bind(installation uint64) bool {
	bound := o.installation.Load()
	if installation == 0 || installation == bound {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if bound = o.installation.Load(); bound != 0 {
		o.name(installation, codes.DiskForeign, logrus.Fields{"installation": installation, "own_installation": bound},
			"another installation was met; nothing of it is taken")
		return installation == bound
	}
	if err := writeNumber(o.values, installationValue, installation); err != nil {
		o.log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Error("the installation could not be written; trying again")
		return true
	}
	o.installation.Store(installation)
	return true
}

// name writes something into the log once; the lock is held.
func (o *origin) name(key uint64, code codes.Code, fields logrus.Fields, text string) {
	if o.named[key] || len(o.named) >= foreignNamed {
		return
	}
	o.named[key] = true
	o.log.WithFields(fields).WithField("code", uint16(code)).Error(text)
}

// accepts tells whether a message of a member may be taken: it has to be of the same installation, and of the member's newest
// start that was heard of. An older one comes late, or from an older copy of the member's disk.
func (o *origin) accepts(installation, member, starts uint64) bool {
	if !o.bind(installation) {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if starts < o.seen[member] {
		o.name(member, codes.DiskRegressed, logrus.Fields{"member": member, "starts": starts, "starts_heard": o.seen[member]},
			"a member's disk tells of fewer starts than the member had: an older copy of it was put back; empty the disk")
		return false
	}
	o.seen[member] = starts
	return true
}
