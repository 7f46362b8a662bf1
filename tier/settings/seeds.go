package settings

import (
	"slices"
	"sync"
	"time"
)

// seedsReloadInterval is how long seed addresses are used before the settings file is read again.
const seedsReloadInterval = time.Second

// Seeds provides the internal addresses of the seed machines. Since the settings file may change while a process runs, the addresses
// are reloaded after seedsReloadInterval. If the file cannot be read, the previous addresses are kept. Seeds is safe for concurrent
// use.
type Seeds struct {
	now func() time.Time

	mu        sync.Mutex // guards addresses and loadedAt
	addresses []string
	loadedAt  time.Time
}

// NewSeeds returns the seeds of settings that were just loaded.
func NewSeeds(s *Settings) *Seeds { return newSeedsWithClock(s, time.Now) }

// newSeedsWithClock is NewSeeds with a clock for tests.
func newSeedsWithClock(s *Settings, now func() time.Time) *Seeds {
	return &Seeds{now: now, addresses: s.SeedAddresses(), loadedAt: now()}
}

// Addresses returns the current seed addresses. It reloads them first if they are too old.
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
