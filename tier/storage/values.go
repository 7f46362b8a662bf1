package storage

import (
	"path/filepath"
	"sync"
)

// retainedVersions is how many versions of a value are kept on disk.
const retainedVersions = 2

// Values stores named values, with one file for each version. It is safe for concurrent use.
type Values struct {
	fs  fileSystem
	dir string

	mu       sync.Mutex
	versions map[string]uint64 // the newest version that was read or written, by name
}

// OpenValues opens or creates the folder and syncs it. The sync is needed because a process that was killed may have renamed a file
// without syncing the folder, and this process relies on the names that it reads.
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

// Read returns the newest version, or nil if there is none. If the newest version is damaged, Read returns a CorruptRecordError and
// not an older version, because the newest one may have been acknowledged.
func (v *Values) Read(name string) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest, err := v.newestVersion(name)
	if err != nil || newest == 0 {
		return nil, err
	}
	return readVersion(v.fs, v.dir, versionName(name, newest))
}

// newestVersion returns the newest version on disk, or 0 if there is none. The caller holds v.mu.
func (v *Values) newestVersion(name string) (uint64, error) {
	versions, err := listVersions(v.fs, v.dir, name)
	if err != nil || len(versions) == 0 {
		return 0, err
	}
	newest := versions[len(versions)-1]
	v.versions[name] = newest
	return newest, nil
}

// Write stores a new version of a value, makes it durable and removes old versions. An error is a WriteError.
func (v *Values) Write(name string, content []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest, known := v.versions[name]
	if !known { // a value that was not read yet may still be on disk
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
		_ = v.fs.Remove(filepath.Join(v.dir, versionName(name, version-retainedVersions))) // an old version that stays is ignored
	}
	return nil
}
