package server

// This file owns what operators' commands ask keepers: the founding, how all stands, snapshots, use to be billed.

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Command asks one keeper something.
func SendCommand(addr string, a *protocol.Admin, limit time.Duration) (*protocol.Admin, error) {
	c, err := net.DialTimeout("tcp", addr, min(limit, 2*time.Second))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(limit))
	for _, f := range []*protocol.Frame{protocol.ClientHello(), protocol.AdminFrame(a)} {
		text, err := f.AppendTo(nil)
		if err != nil {
			return nil, err
		}
		if _, err := c.Write(text); err != nil {
			return nil, err
		}
	}
	f, err := protocol.ReadFrame(bufio.NewReader(c), protocol.MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	if f.Admin == nil {
		return nil, errors.New("the answer is of another kind")
	}
	if f.Admin.Failure != "" {
		return f.Admin, errors.New(f.Admin.Failure)
	}
	return f.Admin, nil
}

// Found founds an installation: all keepers of the list have to be there, and belong to none. states are of a snapshot;
// nil: it begins empty.
func Bootstrap(l *ClusterConfig, states map[int][]byte, limit time.Duration) (cluster uint64, err error) {
	f := &protocol.Bootstrap{Groups: l.Groups, Replicas: l.Replicas, Snapshots: states}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	f.Cluster = binary.BigEndian.Uint64(b[:]) | 1
	until := time.Now().Add(limit)
	for i, spot := range l.Servers {
		var who *protocol.Admin
		for {
			if who, err = SendCommand(spot.PeerAddress, &protocol.Admin{Operation: protocol.OperationStatus}, 2*time.Second); err == nil || time.Now().After(until) {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		switch {
		case err != nil:
			return 0, fmt.Errorf("keeper %s: %w; nothing was founded", spot.Name, err)
		case who.Replica != i:
			return 0, fmt.Errorf("keeper %s says that it is number %d of its list, not %d; nothing was founded", spot.Name, who.Replica, i)
		case who.Cluster != 0:
			return 0, fmt.Errorf("keeper %s belongs to installation %016x already; nothing was founded", spot.Name, who.Cluster)
		}
		f.Members = append(f.Members, protocol.NewReplicaID(i, who.Incarnation))
	}
	var missed []error
	for i, spot := range l.Servers {
		if _, err := SendCommand(spot.PeerAddress, &protocol.Admin{Operation: protocol.OperationBootstrap, Bootstrap: f}, max(5*time.Second, time.Until(until))); err != nil {
			if i == 0 {
				return 0, fmt.Errorf("keeper %s: %w; nothing was founded", spot.Name, err)
			}
			missed = append(missed, fmt.Errorf("keeper %s: %w; the others are founded, and it is taken up once it runs", spot.Name, err))
		}
	}
	return f.Cluster, errors.Join(missed...)
}

// Snapshot is what a command saves: each group as its leader held it at a moment of its own.
type Snapshot struct {
	Taken  int64          `cbor:"1,keyasint"` // Unix time
	Groups int            `cbor:"2,keyasint"`
	States map[int][]byte `cbor:"3,keyasint"`
}

// Save asks all keepers for the groups that they lead.
func TakeSnapshot(l *ClusterConfig, now time.Time) (*Snapshot, error) {
	s := &Snapshot{Taken: now.Unix(), Groups: l.Groups, States: map[int][]byte{}}
	var all []error
	for _, spot := range l.Servers {
		a, err := SendCommand(spot.PeerAddress, &protocol.Admin{Operation: protocol.OperationSnapshot}, 30*time.Second)
		if err != nil {
			all = append(all, fmt.Errorf("keeper %s: %w", spot.Name, err))
			continue
		}
		for g, text := range a.Snapshots {
			s.States[g] = text
		}
	}
	if len(s.States) < l.Groups {
		return nil, fmt.Errorf("%d of %d groups have no leader that answers; nothing was saved: %w", l.Groups-len(s.States), l.Groups, errors.Join(all...))
	}
	return s, nil
}

// Put writes a snapshot to a file, whole or not at all.
func (s *Snapshot) WriteFile(path string) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".snapshot-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(statemachine.Seal(body))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// ReadSnapshot reads one, and all that it holds.
func DecodeSnapshot(text []byte) (*Snapshot, error) {
	body, err := statemachine.Unseal(text)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s := &Snapshot{}
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.Groups < 1 || len(s.States) != s.Groups {
		return nil, fmt.Errorf("snapshot: it holds %d of %d groups", len(s.States), s.Groups)
	}
	for g := range s.Groups {
		if _, err := statemachine.Restore(s.States[g]); err != nil {
			return nil, fmt.Errorf("snapshot: group %d: %w", g, err)
		}
	}
	return s, nil
}
