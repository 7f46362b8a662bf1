package state

import (
	"encoding/binary"

	"otterseam/tier/codes"
	"otterseam/tier/configlog"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// versionBytes is the length of a version before the body of a stored configuration.
const versionBytes = 8

// configItem is the stored form of a configuration: its version before its body.
func configItem(version uint64, body []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, version), body...)
}

// SplitConfig takes a stored configuration apart.
func SplitConfig(data []byte) (version uint64, body []byte) {
	if len(data) < versionBytes {
		return 0, nil
	}
	return binary.BigEndian.Uint64(data), data[versionBytes:]
}

// ConfigVersion is the version of the configuration in place, 0 if there is none.
func (s *State) ConfigVersion() uint64 {
	data, _ := s.View.Get(feed.SectionConfig, directory.CurrentKey)
	version, _ := SplitConfig(data)
	return version
}

// apply takes a configuration if it builds on the current one. The same order gets the same answer again.
func (c ReplaceConfig) apply(s *State, index uint64) Result {
	order := configlog.Change{Base: c.Base, Version: c.Version, Body: configlog.HashOf(c.Body)}
	answer, fresh := s.changes.Decide(order, s.ConfigVersion())
	if fresh {
		s.View.Put(feed.SectionConfig, directory.CurrentKey, index, configItem(c.Version, c.Body))
	}
	return Result{Code: answer}
}

func (ReadConfig) apply(s *State, _ uint64) Result {
	data, found := s.View.Get(feed.SectionConfig, directory.CurrentKey)
	if !found {
		return Result{Code: codes.ConfigNone}
	}
	_, body := SplitConfig(data)
	return Result{Code: codes.OK, Body: body}
}
