package control

import (
	"context"

	"otterseam/tier/groups"
	"otterseam/tier/register"
)

const foundAfter = 700 // milliseconds that a founder waits for all seeds

// findOrFound looks for an installation, or founds it where the settings say that there is none.
func (s *Server) findOrFound(ctx context.Context) {
	s.locate(ctx)
	seeds := s.settings.SeedAddresses()
	if s.elector.Known().Known() || !s.settings.Bootstrap || !containsText(seeds, s.self.Address) {
		return
	}
	members := []register.Member{s.self}
	for _, seed := range seeds {
		if found, answered := s.seenAt(seed); answered && seed != s.self.Address {
			members = append(members, found)
		}
	}
	complete := len(members) == len(seeds)
	waited := groups.Now()-s.startedAt > foundAfter
	first := s.self.Address == firstOf(seeds)
	if len(members) <= len(seeds)/2 || (!complete && !waited) || (!first && !waited) {
		return
	}
	if err := s.elector.Found(ctx, members); err != nil {
		s.log.WithError(err).Warn("founding did not succeed; trying again")
	}
}

func firstOf(addresses []string) string {
	first := ""
	for _, address := range addresses {
		if first == "" || address < first {
			first = address
		}
	}
	return first
}
