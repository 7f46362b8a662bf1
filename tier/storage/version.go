package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"slices"
	"strings"
)

const (
	versionMagic       = uint32(0x4f545431) // "OTT1"
	versionHeaderBytes = 4 + 4 + 4          // magic, length, checksum
	// versionDigits is the number of hexadecimal digits of the version in a file's name.
	versionDigits = 16
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of name and content. It includes the name so that content under another name is detected.
func checksum(name string, content []byte) uint32 {
	sum := crc32.Update(0, checksumTable, []byte(name))
	return crc32.Update(sum, checksumTable, content)
}

func versionName(name string, version uint64) string {
	return fmt.Sprintf("%s-%0*x", name, versionDigits, version)
}

// listVersions returns the versions of a name in a folder, in ascending order.
func listVersions(fs fileSystem, dir, name string) ([]uint64, error) {
	files, err := fs.List(dir)
	if err != nil {
		return nil, err
	}
	var versions []uint64
	for _, file := range files {
		digits, found := strings.CutPrefix(file, name+"-")
		if !found || len(digits) != versionDigits {
			continue
		}
		var version uint64
		if _, err := fmt.Sscanf(digits, "%016x", &version); err == nil {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions, nil
}

// encodeVersion returns the content with its header.
func encodeVersion(name string, content []byte) []byte {
	data := make([]byte, 0, versionHeaderBytes+len(content))
	data = binary.BigEndian.AppendUint32(data, versionMagic)
	data = binary.BigEndian.AppendUint32(data, uint32(len(content)))
	data = binary.BigEndian.AppendUint32(data, checksum(name, content))
	return append(data, content...)
}

// readVersion reads a file, checks it and returns its content.
func readVersion(fs fileSystem, dir, name string) ([]byte, error) {
	path := filepath.Join(dir, name)
	data, err := fs.ReadFile(path)
	if err != nil {
		return nil, err
	}
	content, reason := decodeVersion(name, data)
	if reason != "" {
		return nil, &CorruptRecordError{File: path, Reason: reason}
	}
	return content, nil
}

// decodeVersion returns a file's content, or the reason why it is not valid.
func decodeVersion(name string, data []byte) (content []byte, reason string) {
	if len(data) < versionHeaderBytes || binary.BigEndian.Uint32(data) != versionMagic {
		return nil, "no valid header"
	}
	content = data[versionHeaderBytes:]
	if int(binary.BigEndian.Uint32(data[4:])) != len(content) {
		return nil, "cut short or too long"
	}
	if binary.BigEndian.Uint32(data[8:]) != checksum(name, content) {
		return nil, "wrong checksum"
	}
	return content, ""
}
