// Package storage keeps the durable state of a process: single values as one file for each version, written aside, synced
// and renamed, and a journal as one file for each group commit. Each file carries a checksum over its content and name, so
// that a torn, cut, altered or misplaced one is found out when it is read.
package storage

import (
	"encoding/binary"
	"hash/crc32"
	"path/filepath"

	"github.com/samber/oops"

	"otterseam/tier/codes"
)

const (
	fileMagic   = uint32(0x4f545431)
	fileHeader  = 4 + 4 + 4 // magic, length, checksum
	asideSuffix = ".aside"
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(name string, content []byte) uint32 {
	sum := crc32.Update(0, checksumTable, []byte(name))
	return crc32.Update(sum, checksumTable, content)
}

// seal puts the header before the content.
func seal(name string, content []byte) []byte {
	file := make([]byte, 0, fileHeader+len(content))
	file = binary.BigEndian.AppendUint32(file, fileMagic)
	file = binary.BigEndian.AppendUint32(file, uint32(len(content)))
	file = binary.BigEndian.AppendUint32(file, checksum(name, content))
	return append(file, content...)
}

// open checks a file and returns its content.
func open(name string, file []byte) ([]byte, error) {
	if len(file) < fileHeader || binary.BigEndian.Uint32(file) != fileMagic {
		return nil, oops.Wrapf(codes.DiskDamaged, "%s has no valid header", name)
	}
	content := file[fileHeader:]
	if int(binary.BigEndian.Uint32(file[4:])) != len(content) {
		return nil, oops.Wrapf(codes.DiskDamaged, "%s is cut short or too long", name)
	}
	if binary.BigEndian.Uint32(file[8:]) != checksum(name, content) {
		return nil, oops.Wrapf(codes.DiskDamaged, "%s has a wrong checksum", name)
	}
	return content, nil
}

func writeFile(on disk, path string, data []byte) error {
	file, err := on.Create(path)
	if err != nil {
		return oops.Wrapf(codes.DiskWrite, "%s", err)
	}
	_, err = file.WriteAt(data, 0)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return oops.Wrapf(codes.DiskWrite, "%s", err)
	}
	return nil
}

// writeRenamed writes a file aside, syncs it, renames it and syncs the folder.
func writeRenamed(on disk, dir, name string, content []byte) error {
	aside := filepath.Join(dir, name+asideSuffix)
	if err := writeFile(on, aside, seal(name, content)); err != nil {
		return err
	}
	if err := on.Rename(aside, filepath.Join(dir, name)); err != nil {
		return oops.Wrapf(codes.DiskWrite, "%s", err)
	}
	return syncFolder(on, dir)
}

func syncFolder(on disk, dir string) error {
	if err := on.SyncFolder(dir); err != nil {
		return oops.Wrapf(codes.DiskWrite, "%s", err)
	}
	return nil
}

func readFile(on disk, dir, name string) ([]byte, error) {
	file, err := on.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return nil, err
	}
	return open(name, file)
}
