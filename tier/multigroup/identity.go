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

// The names of values on disk.
const (
	identityValue  = "identity"
	clusterIDValue = "installation" // older than the term
	startsValue    = "starts"
	// knownStartsValue holds the starts of other nodes, so that an older copy of a disk is found out also by a node that was
	// started again since it heard of the later start.
	knownStartsValue = "known-starts"
)

// saveKnownStartsEvery is how often the starts of other nodes are written if they have changed. It is long, so that after a restart of
// all the disk is free for what others wait for.
const saveKnownStartsEvery = 5 * time.Second

// numberBytes is the size of a number on disk.
const numberBytes = 8

// maxReported is how many foreign clusters and older disks are named in the log before no more are.
const maxReported = 32

// diskIdentity is what this process's disk says of itself: to which cluster it belongs and how often a process has been started
// on it. Both are durable. Messages carry them, so that a disk of another cluster, and an older copy of a disk put back, are
// found out.
type diskIdentity struct {
	values    *storage.Values
	log       *logrus.Entry
	starts    uint64
	clusterID atomic.Uint64

	mu          sync.Mutex
	knownStarts map[uint64]uint64 // by node: the highest number of starts that came from it
	unsaved     bool              // knownStarts has changed since it was written
	reported    map[uint64]bool   // what was named in the log already: clusters, and nodes with an older disk
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
		// the next start then has the same number, which is not taken for an older copy of the disk
		log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Warn("the number of starts could not be written")
	}
	return d, nil
}

// nodeIdentity reads the number that names this node, or draws one: a process on an empty disk is a new node, whatever its
// address.
func nodeIdentity(values *storage.Values) (uint64, error) {
	content, err := values.Read(identityValue)
	if err != nil {
		return 0, err
	}
	if len(content) == numberBytes {
		return binary.BigEndian.Uint64(content), nil
	}
	drawn := rand.Uint64() | 1
	return drawn, writeNumber(values, identityValue, drawn)
}

// readNumber reads a number, 0 if there is none.
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

// ClusterID is the cluster to which this disk belongs, 0 as long as it belongs to none.
func (n *Node) ClusterID() uint64 { return n.disk.clusterID.Load() }

// BindCluster binds the disk to a cluster for good. It reports false for a cluster other than the one it is bound to;
// 0 stands for one that is not known yet and binds nothing.
func (n *Node) BindCluster(clusterID uint64) bool { return n.disk.bind(clusterID) }

// IsForeignCluster tells whether a cluster is another one than that of this disk, and names it in the log.
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
		d.report(clusterID, codes.DiskForeign, logrus.Fields{"cluster_id": clusterID, "own_cluster_id": bound},
			"another cluster was met; nothing of it is accepted")
		return clusterID == bound
	}
	if err := writeNumber(d.values, clusterIDValue, clusterID); err != nil {
		d.log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Error("the cluster ID could not be written; trying again")
		return true
	}
	d.clusterID.Store(clusterID)
	return true
}

// report writes something into the log once; the lock is held.
func (d *diskIdentity) report(key uint64, code codes.Code, fields logrus.Fields, text string) {
	if d.reported[key] || len(d.reported) >= maxReported {
		return
	}
	d.reported[key] = true
	d.log.WithFields(fields).WithField("code", uint16(code)).Error(text)
}

// accepts tells whether a message of a node may be taken: it has to be of the same cluster, and of the node's newest start that
// was heard of. An older one comes late, or from an older copy of the node's disk.
func (d *diskIdentity) accepts(from sender) bool {
	if !d.bind(from.clusterID) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.knownStarts[from.node]
	if from.starts < known {
		d.report(from.node, codes.DiskRegressed, logrus.Fields{"member": from.node, "starts": from.starts, "starts_heard": known},
			"a member's disk tells of fewer starts than the member had: an older copy of it was put back; empty the disk")
		return false
	}
	if from.starts > known {
		d.knownStarts[from.node] = from.starts
		d.unsaved = true
	}
	return true
}

// readKnownStarts reads the starts of other nodes. A value that can't be decoded is an error, as it is for other values.
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

// saveKnownStarts writes the starts of other nodes if they have changed.
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
		d.log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Warn("the starts of other nodes could not be written")
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
