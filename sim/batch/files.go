package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

const (
	// standardOutput is the path that stands for standard output.
	standardOutput = "-"
	// unfinishedSuffix is the suffix of a file that is being written.
	unfinishedSuffix = ".part"
	// probeSize is the number of bytes that CheckWritable writes: one page, the unit in which a disk allocates space.
	probeSize       = 4096
	filePermissions = 0o644
)

// ErrNoResults reports that a file holds no results. Errors of Load wrap it.
var ErrNoResults = errors.New("holds no results")

// CheckWritable returns an error if a file cannot be written, so that this is found before a long run and not at its end.
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
	if isNew { // a disk with no space for one page has none for a report
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

// Save writes results as JSON. It never leaves an incomplete file at path.
func Save(path string, runs []*Run) error {
	encoded, err := json.MarshalIndent(runs, "", " ")
	if err != nil {
		return err
	}
	return WriteFile(path, append(encoded, '\n'))
}

// WriteFile writes content to a temporary file next to path and renames it to path. The path "-" stands for standard output.
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

// Load reads results that Save wrote.
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
