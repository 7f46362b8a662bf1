package state

import (
	"encoding/binary"

	"otterseam/tier/codes"
	"otterseam/tier/configlog"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// versionBytes is the size of the version that precedes the body of a stored configuration.
const versionBytes = 8

// configItem returns the stored form of a configuration: its version, then its body.
func configItem(version uint64, body []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, version), body...)
}

// SplitConfig splits a stored configuration into its version and body. The version of data that is too short is 0.
func SplitConfig(data []byte) (version uint64, body []byte) {
	if len(data) < versionBytes {
		return 0, nil
	}
	return binary.BigEndian.Uint64(data), data[versionBytes:]
}

// ConfigVersion returns the version of the current configuration, 0 if there is none.
func (s *State) ConfigVersion() uint64 {
	data, _ := s.View.Get(feed.SectionConfig, directory.CurrentKey)
	version, _ := SplitConfig(data)
	return version
}

// apply replaces the configuration if the change is based on the current version. A repeated change gets the same result again.
func (c ReplaceConfig) apply(s *State, index uint64) Result {
	change := configlog.Change{Base: c.Base, Version: c.Version, Body: configlog.HashOf(c.Body)}
	code, accepted := s.changes.Decide(change, s.ConfigVersion())
	if accepted {
		s.View.Put(feed.SectionConfig, directory.CurrentKey, index, configItem(c.Version, c.Body))
	}
	return Result{Code: code}
}

func (ReadConfig) apply(s *State, _ uint64) Result {
	data, found := s.View.Get(feed.SectionConfig, directory.CurrentKey)
	if !found {
		return Result{Code: codes.ConfigNone}
	}
	_, body := SplitConfig(data)
	return Result{Code: codes.OK, Body: body}
}
