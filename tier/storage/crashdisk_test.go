package storage

import (
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sort"
)

var errPowerLost = errors.New("power is lost")

// crashDisk is a disk that loses power at a chosen step. What was not synced may then be there, in part or not at all: bytes of a
// file until the file is synced; names of files until their folder is.
type crashDisk struct {
	files   map[string]*crashFile // by path, as the running process sees them
	durable map[string]*crashFile // by path, as the synced folder holds them
	steps   int
	dieAt   int // the step that loses power; 0 for none
	dead    bool
}

// crashFile is a file's bytes, as seen and as synced.
type crashFile struct {
	seen   []byte
	synced []byte
}

func newCrashDisk(dieAt int) *crashDisk {
	return &crashDisk{files: map[string]*crashFile{}, durable: map[string]*crashFile{}, dieAt: dieAt}
}

// step counts something that changes the disk, and tells whether it is the one at which power is lost.
func (d *crashDisk) step() (dies bool, err error) {
	if d.dead {
		return false, errPowerLost
	}
	d.steps++
	if d.steps == d.dieAt {
		d.dead = true
		return true, errPowerLost
	}
	return false, nil
}

func (d *crashDisk) MakeFolder(string) error { return nil }

func (d *crashDisk) Names(path string) ([]string, error) {
	var names []string
	for each := range d.files {
		if filepath.Dir(each) == path {
			names = append(names, filepath.Base(each))
		}
	}
	sort.Strings(names)
	return names, nil
}

func (d *crashDisk) ReadFile(path string) ([]byte, error) {
	file := d.files[path]
	if file == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), file.seen...), nil
}

func (d *crashDisk) Create(path string) (diskFile, error) {
	dies, err := d.step()
	if err != nil && !dies {
		return nil, err
	}
	file := d.files[path]
	if file == nil {
		file = &crashFile{}
		d.files[path] = file
	}
	file.seen = nil
	if err != nil {
		return nil, err
	}
	return &openCrashFile{d, file}, nil
}

func (d *crashDisk) Open(path string) (diskFile, error) {
	file := d.files[path]
	if file == nil || d.dead {
		return nil, os.ErrNotExist
	}
	return &openCrashFile{d, file}, nil
}

func (d *crashDisk) Rename(from, to string) error {
	dies, err := d.step()
	if err == nil || dies {
		d.files[to] = d.files[from]
		delete(d.files, from)
	}
	return err
}

func (d *crashDisk) Remove(path string) error {
	dies, err := d.step()
	if err == nil || dies {
		delete(d.files, path)
	}
	return err
}

func (d *crashDisk) SyncFolder(path string) error {
	if _, err := d.step(); err != nil {
		return err
	}
	for each := range d.durable {
		if filepath.Dir(each) == path {
			delete(d.durable, each)
		}
	}
	for each, file := range d.files {
		if filepath.Dir(each) == path {
			d.durable[each] = file
		}
	}
	return nil
}

type openCrashFile struct {
	disk *crashDisk
	file *crashFile
}

func (f *openCrashFile) WriteAt(data []byte, at int64) (int, error) {
	dies, err := f.disk.step()
	if err != nil && !dies {
		return 0, err
	}
	if end := int(at) + len(data); end > len(f.file.seen) {
		f.file.seen = append(f.file.seen, make([]byte, end-len(f.file.seen))...)
	}
	copy(f.file.seen[at:], data)
	return len(data), err
}

func (f *openCrashFile) Truncate(size int64) error {
	dies, err := f.disk.step()
	if err == nil || dies {
		f.file.seen = append([]byte(nil), f.file.seen[:size]...)
	}
	return err
}

func (f *openCrashFile) Sync() error {
	if _, err := f.disk.step(); err != nil {
		return err
	}
	f.file.synced = append([]byte(nil), f.file.seen...)
	return nil
}

func (f *openCrashFile) Close() error { return nil }

// remains says what a loss of power left of what was not synced.
type remains int

const (
	nothingRemains remains = iota
	allRemains
	bytesRemain // bytes, but no names
	namesRemain // names, but no bytes
	partRemains // drawn by chance: some names, bytes up to anywhere
	remainsEnd
)

func (r remains) String() string {
	return [...]string{"nothing", "all", "bytes only", "names only", "part"}[r]
}

// afterPowerLoss is the disk as the next start finds it.
func (d *crashDisk) afterPowerLoss(left remains, random *rand.Rand) *crashDisk {
	next := newCrashDisk(0)
	keepsNames := func() bool {
		return left == allRemains || left == namesRemain || (left == partRemains && random.Intn(2) == 0)
	}
	paths := map[string]bool{}
	for path := range d.files {
		paths[path] = true
	}
	for path := range d.durable {
		paths[path] = true
	}
	sorted := make([]string, 0, len(paths))
	for path := range paths {
		sorted = append(sorted, path)
	}
	sort.Strings(sorted)
	for _, path := range sorted {
		file := d.durable[path]
		if d.files[path] != file && keepsNames() {
			file = d.files[path]
		}
		if file == nil {
			continue
		}
		content := file.remaining(left, random)
		copied := &crashFile{seen: content, synced: append([]byte(nil), content...)}
		next.files[path] = copied
		next.durable[path] = copied
	}
	return next
}

// remaining is a file's bytes after a loss of power.
func (f *crashFile) remaining(left remains, random *rand.Rand) []byte {
	switch left {
	case allRemains, bytesRemain:
		return append([]byte(nil), f.seen...)
	case partRemains:
		// some of the bytes behind those that are synced alike were written
		same := 0
		for same < len(f.synced) && same < len(f.seen) && f.synced[same] == f.seen[same] {
			same++
		}
		if same == len(f.synced) && len(f.seen) > same {
			return append([]byte(nil), f.seen[:same+random.Intn(len(f.seen)-same+1)]...)
		}
		if random.Intn(2) == 0 {
			return append([]byte(nil), f.seen...)
		}
	}
	return append([]byte(nil), f.synced...)
}

func (d *crashDisk) String() string {
	text := ""
	for path, file := range d.files {
		text += fmt.Sprintf("%s: %d bytes, %d synced\n", filepath.Base(path), len(file.seen), len(file.synced))
	}
	return text
}
