package multigroup

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/storage"
)

// Names of the values on disk.
const (
	identityValue  = "identity"
	clusterIDValue = "installation" // stored under this name before the term cluster ID was introduced
	startsValue    = "starts"
	// knownStartsValue holds the start counts of other nodes. They are stored so that a node still detects an older copy of a disk
	// after its own restart.
	knownStartsValue = "known-starts"
)

// saveKnownStartsInterval is how often the start counts of other nodes are written if they have changed. It is long so that, after a
// restart of all nodes, these writes do not delay writes that callers wait for.
const saveKnownStartsInterval = 5 * time.Second

// numberBytes is the size of a stored number, in bytes.
const numberBytes = 8

// maxReported is the maximum number of foreign clusters and restored older disks that are logged.
const maxReported = 32

// diskIdentity holds the cluster ID of this process's disk and its start count, the number of times a process was started on it.
// Both are durable. Messages contain them so that receivers detect a disk of another cluster and a restored older copy of a disk.
type diskIdentity struct {
	values    *storage.Values
	log       *logrus.Entry
	starts    uint64
	clusterID atomic.Uint64

	mu          sync.Mutex
	knownStarts map[uint64]uint64 // the highest start count received from each node, by node
	unsaved     bool              // knownStarts has changed since it was written
	reported    map[uint64]bool   // cluster IDs, and nodes with an older disk, that were logged already
}

func openDiskIdentity(values *storage.Values, log *logrus.Entry) (*diskIdentity, error) {
	d := &diskIdentity{values: values, log: log, knownStarts: map[uint64]uint64{}, reported: map[uint64]bool{}}
	clusterID, err := readNumber(values, clusterIDValue)
	if err != nil {
		return nil, err
	}
	d.clusterID.Store(clusterID)
	starts, err := readNumber(values, startsValue)
	if err != nil {
		return nil, err
	}
	if err := d.readKnownStarts(); err != nil {
		return nil, err
	}
	d.starts = starts + 1
	if err := writeNumber(values, startsValue, d.starts); err != nil {
		// The next start then has the same number. Equal start counts are accepted.
		log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Warn("the start count could not be written")
	}
	return d, nil
}

// loadOrCreateIdentity returns the identity stored on the disk. If there is none, it generates and stores one: a process on an empty
// disk is a new node, regardless of its address.
func loadOrCreateIdentity(values *storage.Values) (uint64, error) {
	content, err := values.Read(identityValue)
	if err != nil {
		return 0, err
	}
	if len(content) == numberBytes {
		return binary.BigEndian.Uint64(content), nil
	}
	generated := rand.Uint64() | 1
	return generated, writeNumber(values, identityValue, generated)
}

// readNumber returns a stored number, or 0 if there is none.
func readNumber(values *storage.Values, name string) (uint64, error) {
	content, err := values.Read(name)
	if err != nil || len(content) != numberBytes {
		return 0, err
	}
	return binary.BigEndian.Uint64(content), nil
}

func writeNumber(values *storage.Values, name string, number uint64) error {
	return values.Write(name, binary.BigEndian.AppendUint64(nil, number))
}

// ClusterID returns the ID of the cluster to which this disk is bound, or 0 if it is not bound yet.
func (n *Node) ClusterID() uint64 { return n.disk.clusterID.Load() }

// BindCluster binds the disk to a cluster permanently. It returns false if the disk is bound to another cluster. A clusterID of 0
// means that the cluster is not known yet: nothing is bound, and the result is true.
func (n *Node) BindCluster(clusterID uint64) bool { return n.disk.bind(clusterID) }

// IsForeignCluster reports whether clusterID differs from the cluster ID of this disk, and logs it if so.
func (n *Node) IsForeignCluster(clusterID uint64) bool {
	own := n.ClusterID()
	return own != 0 && clusterID != 0 && !n.disk.bind(clusterID)
}

func (d *diskIdentity) bind(clusterID uint64) bool {
	bound := d.clusterID.Load()
	if clusterID == 0 || clusterID == bound {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if bound = d.clusterID.Load(); bound != 0 {
		d.reportOnce(clusterID, codes.DiskForeign, logrus.Fields{"cluster_id": clusterID, "own_cluster_id": bound},
			"received a different cluster ID; messages and views of the other cluster are rejected")
		return clusterID == bound
	}
	if err := writeNumber(d.values, clusterIDValue, clusterID); err != nil {
		d.log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Error("the cluster ID could not be written; trying again")
		return true
	}
	d.clusterID.Store(clusterID)
	return true
}

// reportOnce logs an error unless one with the same key was logged before. The caller holds d.mu.
func (d *diskIdentity) reportOnce(key uint64, code codes.Code, fields logrus.Fields, text string) {
	if d.reported[key] || len(d.reported) >= maxReported {
		return
	}
	d.reported[key] = true
	d.log.WithFields(fields).WithField("code", uint16(code)).Error(text)
}

// accepts reports whether a message is from the same cluster and not from an earlier start of its sender than the newest known one.
// A message from an earlier start was delayed, or its sender runs on an older copy of the disk.
func (d *diskIdentity) accepts(from sender) bool {
	if !d.bind(from.clusterID) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.knownStarts[from.node]
	if from.starts < known {
		d.reportOnce(from.node, codes.DiskRegressed, logrus.Fields{"member": from.node, "starts": from.starts, "starts_heard": known},
			"a member's start count has decreased: an older copy of its disk was restored; empty the disk")
		return false
	}
	if from.starts > known {
		d.knownStarts[from.node] = from.starts
		d.unsaved = true
	}
	return true
}

// readKnownStarts reads the start counts of other nodes. A value that cannot be decoded is an error.
func (d *diskIdentity) readKnownStarts() error {
	content, err := d.values.Read(knownStartsValue)
	if err != nil || content == nil {
		return err
	}
	decoder := codec.NewDecoder(content)
	for range decoder.Count(2 * numberBytes) {
		node := decoder.Uint64()
		d.knownStarts[node] = decoder.Uint64()
	}
	return decoder.Err()
}

// saveKnownStarts writes the start counts of other nodes if they have changed.
func (d *diskIdentity) saveKnownStarts() {
	d.mu.Lock()
	if !d.unsaved {
		d.mu.Unlock()
		return
	}
	d.unsaved = false
	content := encodeKnownStarts(d.knownStarts)
	d.mu.Unlock()
	if err := d.values.Write(knownStartsValue, content); err != nil {
		d.log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Warn("the start counts of other nodes could not be written")
		d.mu.Lock()
		defer d.mu.Unlock()
		d.unsaved = true
	}
}

func encodeKnownStarts(starts map[uint64]uint64) []byte {
	var e codec.Encoder
	e.Uint32(uint32(len(starts)))
	for _, node := range slices.Sorted(maps.Keys(starts)) {
		e.Uint64(node)
		e.Uint64(starts[node])
	}
	return e.Bytes
}
