package settings

import (
	"sync"
	"time"
)

const seedsReadEvery = time.Second

// Seeds are the internal addresses of the seed machines. The settings file may change while a process runs, so that they are
// read again from time to time; a file that can't be read leaves them as they were.
type Seeds struct {
	mu        sync.Mutex
	addresses []string
	readAt    time.Time
}

// NewSeeds starts from the settings read at the start.
func NewSeeds(s *Settings) *Seeds {
	return &Seeds{addresses: s.SeedAddresses(), readAt: time.Now()}
}

// Addresses returns the seeds.
func (s *Seeds) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.readAt) > seedsReadEvery {
		s.readAt = time.Now()
		if again, err := Load(); err == nil && len(again.Seeds) > 0 {
			s.addresses = again.SeedAddresses()
		}
	}
	return append([]string(nil), s.addresses...)
}
