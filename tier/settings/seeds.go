package settings

import (
	"slices"
	"sync"
	"time"
)

// seedsReloadInterval is how long addresses of seeds are used before the file is read again.
const seedsReloadInterval = time.Second

// Seeds are the internal addresses of the seed machines. The settings file may change while a process runs, so that they are
// read again from time to time; a file that can't be read leaves them as they were. It may be used from several goroutines.
type Seeds struct {
	now func() time.Time

	mu        sync.Mutex // guards addresses and loadedAt
	addresses []string
	loadedAt  time.Time
}

// NewSeeds starts from the settings read at the start.
func NewSeeds(s *Settings) *Seeds { return newSeedsAt(s, time.Now) }

// newSeedsAt makes seeds with a clock of their own.
func newSeedsAt(s *Settings, now func() time.Time) *Seeds {
	return &Seeds{now: now, addresses: s.SeedAddresses(), loadedAt: now()}
}

// Addresses returns the seeds.
func (s *Seeds) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now.Sub(s.loadedAt) > seedsReloadInterval {
		s.loadedAt = now
		if reloaded, err := Load(); err == nil && len(reloaded.Seeds) > 0 {
			s.addresses = reloaded.SeedAddresses()
		}
	}
	return slices.Clone(s.addresses)
}
