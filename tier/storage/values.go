package storage

import (
	"fmt"
	"path/filepath"
	"sort"
	"strings"
	"sync"
)

// versionsKept is how many versions of a value stay on disk.
const versionsKept = 2

// Values keeps named values, one file for each version. It may be used from several goroutines.
type Values struct {
	mu       sync.Mutex
	on       disk
	dir      string
	versions map[string]uint64
}

// OpenValues opens or creates the folder. A process that was killed may have renamed a file without having synced the folder;
// since the new name will be read and relied upon, the folder is synced first.
func OpenValues(dir string) (*Values, error) { return openValuesOn(osDisk{}, dir) }

func openValuesOn(on disk, dir string) (*Values, error) {
	if err := on.MakeFolder(dir); err != nil {
		return nil, err
	}
	if err := syncFolder(on, dir); err != nil {
		return nil, err
	}
	return &Values{on: on, dir: dir, versions: map[string]uint64{}}, nil
}

func versionName(name string, version uint64) string { return fmt.Sprintf("%s-%016x", name, version) }

// versionsOf lists the versions of a value on disk, in ascending order.
func (v *Values) versionsOf(name string) ([]uint64, error) { return versionsIn(v.on, v.dir, name) }

// versionsIn lists the versions under a name in a folder, in ascending order.
func versionsIn(on disk, dir, name string) ([]uint64, error) {
	names, err := on.Names(dir)
	if err != nil {
		return nil, err
	}
	var versions []uint64
	for _, each := range names {
		digits, found := strings.CutPrefix(each, name+"-")
		if !found || len(digits) != 16 {
			continue
		}
		var version uint64
		if _, err := fmt.Sscanf(digits, "%016x", &version); err == nil {
			versions = append(versions, version)
		}
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i] < versions[j] })
	return versions, nil
}

// Read returns the newest version, or nil if there is none. A damaged newest version is an error: it may have been
// acknowledged.
func (v *Values) Read(name string) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions, err := v.versionsOf(name)
	if err != nil || len(versions) == 0 {
		return nil, err
	}
	newest := versions[len(versions)-1]
	v.versions[name] = newest
	return readFile(v.on, v.dir, versionName(name, newest))
}

// Write makes a new version durable and removes old ones.
func (v *Values) Write(name string, content []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	version := v.versions[name] + 1
	if err := writeRenamed(v.on, v.dir, versionName(name, version), content); err != nil {
		return err
	}
	v.versions[name] = version
	if version > versionsKept {
		_ = v.on.Remove(filepath.Join(v.dir, versionName(name, version-versionsKept)))
	}
	return nil
}
