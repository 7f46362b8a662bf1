package simulation

import (
	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/configlog"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// machine is the control state together with the configuration versions that were applied.
type machine struct {
	*state.State
	versions []uint64
}

func (m *machine) Apply(index uint64, data []byte) any {
	result := m.State.Apply(index, data).(state.Result)
	if c, err := state.DecodeCommand(data); err == nil && result.Code == codes.OK {
		if replace, is := c.(state.ReplaceConfig); is {
			m.versions = append(m.versions, replace.Version)
		}
	}
	return result
}

func (m *machine) Snapshot() []byte {
	var e codec.Encoder
	e.Blob(m.State.Snapshot())
	e.Uint64s(m.versions)
	return e.Bytes
}

func (m *machine) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	stateSnapshot := d.Blob()
	m.versions = d.Uint64s()
	return m.State.Restore(stateSnapshot)
}

// readConfig reads the configuration without a commit. It is used to inject a fault.
func (m *machine) readConfig() state.Result {
	data, found := m.View.Get(feed.SectionConfig, directory.CurrentKey)
	if !found {
		return state.Result{Code: codes.ConfigNone}
	}
	_, body := state.SplitConfig(data)
	return state.Result{Body: body}
}

// forgetAnswers makes the state forget the results of changes, by restoring it from a snapshot with an empty log of results. It is used
// to inject a fault.
func (m *machine) forgetAnswers() {
	snapshot := m.State.Snapshot()
	d := codec.NewDecoder(snapshot)
	d.Blob()
	for range d.Uint32() {
		_, _, _, _ = d.String(), d.Uint64(), d.Bool(), d.Uint64()
	}
	log := configlog.Decode(d)
	var encodedLog, emptyLog codec.Encoder
	log.Encode(&encodedLog)
	(&configlog.Log{}).Encode(&emptyLog)
	if err := m.State.Restore(append(snapshot[:len(snapshot)-len(encodedLog.Bytes)], emptyLog.Bytes...)); err != nil {
		panic(err)
	}
}

// version returns the version of the current configuration.
func (m *machine) version() uint64 { return m.ConfigVersion() }
