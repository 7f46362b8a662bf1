package storage

import "os"

// disk is what this package needs of a file system. Tests put one in its place that loses power.
type disk interface {
	MakeFolder(path string) error
	// Names lists the files of a folder.
	Names(path string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create makes an empty file, also in place of one that is there.
	Create(path string) (diskFile, error)
	// Open opens a file that is there for writing.
	Open(path string) (diskFile, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes durable which files a folder holds.
	SyncFolder(path string) error
}

// diskFile is an open file.
type diskFile interface {
	WriteAt(data []byte, at int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// osDisk is the file system of the machine.
type osDisk struct{}

const (
	filePermission   = 0o644
	folderPermission = 0o755
)

func (osDisk) MakeFolder(path string) error { return os.MkdirAll(path, folderPermission) }

func (osDisk) Names(path string) ([]string, error) {
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

func (osDisk) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osDisk) Create(path string) (diskFile, error) {
	return openFile(path, os.O_CREATE|os.O_RDWR|os.O_TRUNC)
}

func (osDisk) Open(path string) (diskFile, error) { return openFile(path, os.O_RDWR) }

func openFile(path string, flags int) (diskFile, error) {
	file, err := os.OpenFile(path, flags, filePermission)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (osDisk) Rename(from, to string) error { return os.Rename(from, to) }

func (osDisk) Remove(path string) error { return os.Remove(path) }

func (osDisk) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
