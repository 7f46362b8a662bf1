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
	// versionDigits is the number of hexadecimal digits in a file's name.
	versionDigits = 16
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// checksum is over name and content, so that content under another name is found out.
func checksum(name string, content []byte) uint32 {
	sum := crc32.Update(0, checksumTable, []byte(name))
	return crc32.Update(sum, checksumTable, content)
}

func versionName(name string, version uint64) string {
	return fmt.Sprintf("%s-%0*x", name, versionDigits, version)
}

// listVersions lists the versions under a name in a folder, in ascending order.
func listVersions(fs fileSystem, dir, name string) ([]uint64, error) {
	files, err := fs.List(dir)
	if err != nil {
		return nil, err
	}
	var versions []uint64
	for _, each := range files {
		digits, found := strings.CutPrefix(each, name+"-")
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

// encodeVersion puts the header before the content.
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

// decodeVersion returns a file's content, or the reason why it isn't valid.
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
