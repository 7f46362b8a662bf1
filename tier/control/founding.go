package control

import (
	"context"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
)

const foundAfter = 700 // milliseconds that a founder waits for all seeds

// findOrFound looks for an installation, or founds it where the settings say that there is none.
func (s *Server) findOrFound(ctx context.Context) {
	s.locate(ctx)
	seeds := s.settings.SeedAddresses()
	if s.elector.Known().IsBootstrapped() || !s.settings.Bootstrap || !containsText(seeds, s.self.Address) {
		return
	}
	founding := membership.BootstrapInput{
		Self: s.self, Seeds: seeds, Candidates: s.foundersHeard(), WaitElapsed: multigroup.Now()-s.startedAt > foundAfter,
	}
	members, may := founding.Members()
	if !may {
		return
	}
	if err := s.elector.Found(ctx, members, len(seeds)); err != nil {
		s.log.WithError(err).Warn("founding did not succeed; trying again")
	}
}

// noteFounder notes whether the process that answered at an address was started to found the installation.
func (s *Server) noteFounder(there consensus.Member, founds bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if founds {
		s.founders[there.Address] = there
	} else {
		delete(s.founders, there.Address)
	}
}

// foundersHeard are the founders that answered, by their address.
func (s *Server) foundersHeard() map[string]consensus.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	heard := make(map[string]consensus.Member, len(s.founders))
	for address, founder := range s.founders {
		heard[address] = founder
	}
	return heard
}
