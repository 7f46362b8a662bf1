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

// crashFileSystem loses power at a chosen step. What was not synced may then be there, in part or not at all: bytes of a
// file until the file is synced; names of files until their folder is.
type crashFileSystem struct {
	files      map[string]*crashFile // by path, as the running process sees them
	durable    map[string]*crashFile // by path, as the synced folder holds them
	steps      int
	loseAtStep int // the step that loses power; 0 for none
	powerLost  bool
}

// crashFile is a file's bytes, as written and as synced.
type crashFile struct {
	written []byte
	synced  []byte
}

func newCrashFileSystem(loseAtStep int) *crashFileSystem {
	return &crashFileSystem{files: map[string]*crashFile{}, durable: map[string]*crashFile{}, loseAtStep: loseAtStep}
}

// step counts something that changes the disk, and tells whether it is the one at which power is lost.
func (fs *crashFileSystem) step() (dies bool, err error) {
	if fs.powerLost {
		return false, errPowerLost
	}
	fs.steps++
	if fs.steps == fs.loseAtStep {
		fs.powerLost = true
		return true, errPowerLost
	}
	return false, nil
}

func (fs *crashFileSystem) MkdirAll(string) error { return nil }

func (fs *crashFileSystem) List(path string) ([]string, error) {
	var names []string
	for each := range fs.files {
		if filepath.Dir(each) == path {
			names = append(names, filepath.Base(each))
		}
	}
	sort.Strings(names)
	return names, nil
}

func (fs *crashFileSystem) ReadFile(path string) ([]byte, error) {
	file := fs.files[path]
	if file == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), file.written...), nil
}

func (fs *crashFileSystem) Create(path string) (file, error) {
	dies, err := fs.step()
	if err != nil && !dies {
		return nil, err
	}
	file := fs.files[path]
	if file == nil {
		file = &crashFile{}
		fs.files[path] = file
	}
	file.written = nil
	if err != nil {
		return nil, err
	}
	return &openCrashFile{fs, file}, nil
}

func (fs *crashFileSystem) Open(path string) (file, error) {
	file := fs.files[path]
	if file == nil || fs.powerLost {
		return nil, os.ErrNotExist
	}
	return &openCrashFile{fs, file}, nil
}

func (fs *crashFileSystem) Rename(from, to string) error {
	dies, err := fs.step()
	if err == nil || dies {
		fs.files[to] = fs.files[from]
		delete(fs.files, from)
	}
	return err
}

func (fs *crashFileSystem) Remove(path string) error {
	dies, err := fs.step()
	if err == nil || dies {
		delete(fs.files, path)
	}
	return err
}

func (fs *crashFileSystem) SyncDir(path string) error {
	if _, err := fs.step(); err != nil {
		return err
	}
	for each := range fs.durable {
		if filepath.Dir(each) == path {
			delete(fs.durable, each)
		}
	}
	for each, file := range fs.files {
		if filepath.Dir(each) == path {
			fs.durable[each] = file
		}
	}
	return nil
}

type openCrashFile struct {
	disk *crashFileSystem
	file *crashFile
}

func (f *openCrashFile) WriteAt(data []byte, at int64) (int, error) {
	dies, err := f.disk.step()
	if err != nil && !dies {
		return 0, err
	}
	if end := int(at) + len(data); end > len(f.file.written) {
		f.file.written = append(f.file.written, make([]byte, end-len(f.file.written))...)
	}
	copy(f.file.written[at:], data)
	return len(data), err
}

func (f *openCrashFile) Truncate(size int64) error {
	dies, err := f.disk.step()
	if err == nil || dies {
		f.file.written = append([]byte(nil), f.file.written[:size]...)
	}
	return err
}

func (f *openCrashFile) Sync() error {
	if _, err := f.disk.step(); err != nil {
		return err
	}
	f.file.synced = append([]byte(nil), f.file.written...)
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

// afterPowerLoss is the file system as the next start finds it.
func (fs *crashFileSystem) afterPowerLoss(left remains, random *rand.Rand) *crashFileSystem {
	next := newCrashFileSystem(0)
	keepsNames := func() bool {
		return left == allRemains || left == namesRemain || (left == partRemains && random.Intn(2) == 0)
	}
	paths := map[string]bool{}
	for path := range fs.files {
		paths[path] = true
	}
	for path := range fs.durable {
		paths[path] = true
	}
	sorted := make([]string, 0, len(paths))
	for path := range paths {
		sorted = append(sorted, path)
	}
	sort.Strings(sorted)
	for _, path := range sorted {
		file := fs.durable[path]
		if fs.files[path] != file && keepsNames() {
			file = fs.files[path]
		}
		if file == nil {
			continue
		}
		content := file.remaining(left, random)
		copied := &crashFile{written: content, synced: append([]byte(nil), content...)}
		next.files[path] = copied
		next.durable[path] = copied
	}
	return next
}

// remaining is a file's bytes after a loss of power.
func (f *crashFile) remaining(left remains, random *rand.Rand) []byte {
	switch left {
	case allRemains, bytesRemain:
		return append([]byte(nil), f.written...)
	case partRemains:
		// some of the bytes behind those that are synced alike were written
		same := 0
		for same < len(f.synced) && same < len(f.written) && f.synced[same] == f.written[same] {
			same++
		}
		if same == len(f.synced) && len(f.written) > same {
			return append([]byte(nil), f.written[:same+random.Intn(len(f.written)-same+1)]...)
		}
		if random.Intn(2) == 0 {
			return append([]byte(nil), f.written...)
		}
	}
	return append([]byte(nil), f.synced...)
}

func (fs *crashFileSystem) String() string {
	text := ""
	for path, file := range fs.files {
		text += fmt.Sprintf("%s: %d bytes, %d synced\n", filepath.Base(path), len(file.written), len(file.synced))
	}
	return text
}
