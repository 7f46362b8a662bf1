package storage

import (
	"path/filepath"
	"sync"
)

// retainedVersions is how many versions of a value stay on disk.
const retainedVersions = 2

// Values keeps named values, one file for each version. It may be used from several goroutines.
type Values struct {
	fs  fileSystem
	dir string

	mu       sync.Mutex
	versions map[string]uint64 // by name: the newest version read or written
}

// OpenValues opens or creates the folder. A process that was killed may have renamed a file without having synced the folder;
// since the new name will be read and relied upon, the folder is synced first.
func OpenValues(dir string) (*Values, error) { return openValuesFS(osFileSystem{}, dir) }

func openValuesFS(fs fileSystem, dir string) (*Values, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, err
	}
	if err := syncDir(fs, dir); err != nil {
		return nil, err
	}
	return &Values{fs: fs, dir: dir, versions: map[string]uint64{}}, nil
}

// Read returns the newest version, or nil if there is none. A newest version that is damaged is a CorruptRecordError, and no older
// one is taken in its place: it may have been acknowledged.
func (v *Values) Read(name string) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest, err := v.newestVersion(name)
	if err != nil || newest == 0 {
		return nil, err
	}
	return readVersion(v.fs, v.dir, versionName(name, newest))
}

// newestVersion finds the newest version on disk, 0 if there is none. The caller holds the lock.
func (v *Values) newestVersion(name string) (uint64, error) {
	versions, err := listVersions(v.fs, v.dir, name)
	if err != nil || len(versions) == 0 {
		return 0, err
	}
	newest := versions[len(versions)-1]
	v.versions[name] = newest
	return newest, nil
}

// Write makes a new version durable and removes old ones. An error is a WriteError.
func (v *Values) Write(name string, content []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest, known := v.versions[name]
	if !known { // a value that was never read may be on disk all the same
		var err error
		if newest, err = v.newestVersion(name); err != nil {
			return &WriteError{Err: err}
		}
	}
	version := newest + 1
	file := versionName(name, version)
	if err := writeAtomically(v.fs, v.dir, file, encodeVersion(file, content)); err != nil {
		return err
	}
	v.versions[name] = version
	if version > retainedVersions {
		_ = v.fs.Remove(filepath.Join(v.dir, versionName(name, version-retainedVersions))) // one that stays does no harm
	}
	return nil
}
