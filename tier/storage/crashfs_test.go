package storage

import (
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sort"
)

var errPowerLost = errors.New("power lost")

// crashFileSystem simulates a power loss at a chosen step. Data that was not synced may then be kept, lost, or kept in part: the
// bytes of a file until the file is synced, and the names of files until their folder is synced.
type crashFileSystem struct {
	files      map[string]*crashFile // by path, as the running process reads them
	durable    map[string]*crashFile // by path, as of the last sync of the folder
	steps      int
	loseAtStep int // the step at which power is lost; 0 for none
	powerLost  bool
}

// crashFile holds a file's bytes, as written and as of its last sync.
type crashFile struct {
	written []byte
	synced  []byte
}

func newCrashFileSystem(loseAtStep int) *crashFileSystem {
	return &crashFileSystem{files: map[string]*crashFile{}, durable: map[string]*crashFile{}, loseAtStep: loseAtStep}
}

// step counts an operation that changes the disk. losesPower reports whether power is lost during this operation.
func (fs *crashFileSystem) step() (losesPower bool, err error) {
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
	losesPower, err := fs.step()
	if err != nil && !losesPower {
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
	losesPower, err := fs.step()
	if err == nil || losesPower {
		fs.files[to] = fs.files[from]
		delete(fs.files, from)
	}
	return err
}

func (fs *crashFileSystem) Remove(path string) error {
	losesPower, err := fs.step()
	if err == nil || losesPower {
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
	losesPower, err := f.disk.step()
	if err != nil && !losesPower {
		return 0, err
	}
	if end := int(at) + len(data); end > len(f.file.written) {
		f.file.written = append(f.file.written, make([]byte, end-len(f.file.written))...)
	}
	copy(f.file.written[at:], data)
	return len(data), err
}

func (f *openCrashFile) Truncate(size int64) error {
	losesPower, err := f.disk.step()
	if err == nil || losesPower {
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

// keptData is the part of the unsynced data that a power loss keeps.
type keptData int

const (
	nothingKept keptData = iota
	allKept
	bytesKept // bytes of files, but no names
	namesKept // names of files, but no bytes
	partKept  // random: some names, and a prefix of the bytes
	keptDataEnd
)

func (r keptData) String() string {
	return [...]string{"nothing", "all", "bytes only", "names only", "part"}[r]
}

// afterPowerLoss returns the file system at the next start.
func (fs *crashFileSystem) afterPowerLoss(kept keptData, random *rand.Rand) *crashFileSystem {
	next := newCrashFileSystem(0)
	keepsNames := func() bool {
		return kept == allKept || kept == namesKept || (kept == partKept && random.Intn(2) == 0)
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
		content := file.contentAfterPowerLoss(kept, random)
		copied := &crashFile{written: content, synced: append([]byte(nil), content...)}
		next.files[path] = copied
		next.durable[path] = copied
	}
	return next
}

// contentAfterPowerLoss returns a file's bytes after a power loss.
func (f *crashFile) contentAfterPowerLoss(kept keptData, random *rand.Rand) []byte {
	switch kept {
	case allKept, bytesKept:
		return append([]byte(nil), f.written...)
	case partKept:
		// if bytes were appended to the synced ones, keep a random prefix of the appended bytes
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
