package storage

import (
	"os"
	"path/filepath"
)

// fileSystem contains the file system operations that this package needs. Tests replace it to simulate a power loss.
type fileSystem interface {
	MkdirAll(path string) error
	// List returns the names of the files in a folder.
	List(path string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create creates an empty file or truncates an existing one.
	Create(path string) (file, error)
	// Open opens an existing file for writing.
	Open(path string) (file, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names of the files in a folder durable.
	SyncDir(path string) error
}

// file is an open file.
type file interface {
	WriteAt(data []byte, offset int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// osFileSystem is the file system of the operating system.
type osFileSystem struct{}

const (
	fileMode = 0o644
	dirMode  = 0o755
)

func (osFileSystem) MkdirAll(path string) error { return os.MkdirAll(path, dirMode) }

func (osFileSystem) List(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

func (osFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFileSystem) Create(path string) (file, error) {
	return openFile(path, os.O_CREATE|os.O_RDWR|os.O_TRUNC)
}

func (osFileSystem) Open(path string) (file, error) { return openFile(path, os.O_RDWR) }

func openFile(path string, flags int) (file, error) {
	f, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err // not f, which would be a non-nil interface that holds a nil *os.File
	}
	return f, nil
}

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) Remove(path string) error { return os.Remove(path) }

func (osFileSystem) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// temporarySuffix marks a file that is being written. A file left by a crash is overwritten by the next write of the same name.
const temporarySuffix = ".aside"

// writeAtomically writes a file so that, after a crash, it exists either completely or not at all: it writes the file under a
// temporary name, syncs and renames it, and syncs the folder.
func writeAtomically(fs fileSystem, dir, name string, data []byte) error {
	temporary := filepath.Join(dir, name+temporarySuffix)
	if err := writeAndSync(fs, temporary, data); err != nil {
		return err
	}
	if err := fs.Rename(temporary, filepath.Join(dir, name)); err != nil {
		return &WriteError{Err: err}
	}
	return syncDir(fs, dir)
}

func writeAndSync(fs fileSystem, path string, data []byte) error {
	f, err := fs.Create(path)
	if err != nil {
		return &WriteError{Err: err}
	}
	_, err = f.WriteAt(data, 0)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &WriteError{Err: err}
	}
	return nil
}

func syncDir(fs fileSystem, dir string) error {
	if err := fs.SyncDir(dir); err != nil {
		return &WriteError{Err: err}
	}
	return nil
}
