package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

const (
	// standardOutput is the name that stands for it in place of a file's.
	standardOutput = "-"
	// unfinishedSuffix is that of a file that is being written.
	unfinishedSuffix = ".part"
	// probeSize is how many bytes CheckWritable writes: what a disk gives out at once.
	probeSize       = 4096
	filePermissions = 0o644
)

// ErrNoResults says that a file holds no results. Errors of Load wrap it.
var ErrNoResults = errors.New("holds no results")

// CheckWritable says early that a file cannot be written, before a long run ends in that.
func CheckWritable(path string) error {
	if path == "" || path == standardOutput {
		return nil
	}
	_, err := os.Stat(path)
	isNew := errors.Is(err, fs.ErrNotExist)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, filePermissions)
	if err != nil {
		return err
	}
	if isNew { // a disk that takes no page now will take no report later
		err = writeProbe(file)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if isNew {
		_ = os.Remove(path)
	}
	return err
}

func writeProbe(file *os.File) error {
	if _, err := file.Write(make([]byte, probeSize)); err != nil {
		return err
	}
	return file.Sync()
}

// Save writes results as JSON; an unfinished file is never left under the name.
func Save(path string, runs []*Run) error {
	encoded, err := json.MarshalIndent(runs, "", " ")
	if err != nil {
		return err
	}
	return WriteFile(path, append(encoded, '\n'))
}

// WriteFile writes a file beside its place first, then moves it there; "-" is standard output.
func WriteFile(path string, content []byte) error {
	if path == standardOutput {
		_, err := os.Stdout.Write(content)
		return err
	}
	unfinished := path + unfinishedSuffix
	if err := os.WriteFile(unfinished, content, filePermissions); err != nil {
		_ = os.Remove(unfinished)
		return err
	}
	return os.Rename(unfinished, path)
}

// Load reads results back.
func Load(path string) ([]*Run, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var runs []*Run
	if err := json.Unmarshal(content, &runs); err != nil {
		return nil, fmt.Errorf("%s %w: %w", path, ErrNoResults, err)
	}
	for i, run := range runs {
		if run == nil || run.Results == nil {
			return nil, fmt.Errorf("%s %w: entry %d is empty", path, ErrNoResults, i)
		}
	}
	return runs, nil
}
