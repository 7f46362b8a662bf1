package misbehavior

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the interval between two counts of open descriptors and used disk space.
const sampleInterval = 20 * time.Millisecond

// bytesPerMB converts the limits of settings files.
const bytesPerMB = 1 << 20

// PeakMemoryMB returns the peak resident memory of a process in MB, rounded up.
func PeakMemoryMB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		value, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
		return (kilobytes + 1023) / 1024, err
	}
	return 0, fmt.Errorf("process %d: no VmHWM", pid)
}

// Sampler records the peak of a number that is measured repeatedly.
type Sampler struct {
	stop chan struct{}
	done sync.WaitGroup
	peak int
	err  error
}

// SampleDescriptors starts to count the open descriptors of a process.
func SampleDescriptors(pid int) *Sampler {
	return startSampler(func() (int, error) { return OpenDescriptors(pid) })
}

// OpenDescriptors returns the number of open descriptors of a process.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}

// SampleDiskMB starts to measure the size in MB of the files in a directory.
func SampleDiskMB(dir string) *Sampler {
	return startSampler(func() (int, error) {
		bytes, err := directoryBytes(dir)
		return int((bytes + bytesPerMB - 1) / bytesPerMB), err
	})
}

func startSampler(measure func() (int, error)) *Sampler {
	s := &Sampler{stop: make(chan struct{})}
	s.done.Go(func() {
		for {
			value, err := measure()
			s.peak = max(s.peak, value)
			s.err = errors.Join(s.err, err)
			select {
			case <-s.stop:
				return
			case <-time.After(sampleInterval):
			}
			if s.err != nil {
				return
			}
		}
	})
	return s
}

// Stop ends the measurement and returns the peak.
func (s *Sampler) Stop() (int, error) {
	close(s.stop)
	s.done.Wait()
	return s.peak, s.err
}

// directoryBytes returns the size of the files in a directory. Files that are removed meanwhile count as empty.
func directoryBytes(dir string) (int64, error) {
	total := int64(0)
	err := filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err == nil {
			total += info.Size()
		} else if !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	})
	return total, err
}
