package server

import (
	"context"
	"net/netip"

	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

const (
	maxLoggedDrops = 5    // dropped entries of one list that the log names
	leftHostsKept  = 60.0 // seconds for which hosts that left are known
)

// Roster is the list of hosts, or a change of it, as discovery writes it.
type Roster struct {
	Version int64         `json:"version"`
	Full    bool          `json:"full"` // the complete list; else only its changes
	Servers []RosterEntry `json:"servers"`
}

// RosterEntry is one host of a Roster.
type RosterEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"` // "ip:port"
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"` // a key of hostStates
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"` // when its incarnation started, milliseconds since 1970
}

// The states of policy.HostEntry.
const (
	hostActive  = "active"
	hostLeaving = "leaving"
	hostLeft    = "left"
)

// hostStates are the states that discovery writes.
var hostStates = map[string]string{"Ready": hostActive, "Terminating": hostLeaving, "Gone": hostLeft}

// hostIncarnation is what is known of a host since its last start. A list whose versions can't be compared with those held, as
// another discovery's, and that is behind would bring back a host that leaves; by this it does not.
type hostIncarnation struct {
	startedMS float64 // as RosterEntry.Started
	leftAt    float64 // clock time at which it was known to leave; 0: it was not
}

// apply posts a list to the event loop, entries that make no sense left out; it says how many those are. incomparable: the list's
// versions can't be compared with those of what was accepted before. It is called under mu.
func (d *DiscoveryClient) apply(ctx context.Context, list Roster, incomparable bool) (dropped int) {
	var entries []policy.HostEntry
	var addrs []string
	named, now := map[string]bool{}, d.loop.clock()
	for _, listed := range list.Servers {
		if mutation.StartIgnored {
			listed.Started = 0
		}
		state, ok := entryState(listed)
		if !ok {
			dropped++
			if dropped <= maxLoggedDrops {
				d.log.Warn().Str("host", listed.ID).Str("addr", listed.Addr).Str("state", listed.State).Msg("entry dropped")
			}
			continue
		}
		state = d.noteIncarnation(listed, state, incomparable, now)
		named[listed.ID] = true
		entries = append(entries, policy.HostEntry{
			Addr:      listed.ID,
			Zone:      listed.Zone,
			Cell:      listed.Cell,
			State:     state,
			StartedAt: max(0, listed.Started/1000),
			Weight:    max(0, listed.Weight),
		})
		addrs = append(addrs, listed.Addr)
	}
	d.forgetLeft(list.Full, named, now)
	d.loop.post(ctx, func() { d.loop.updateHosts(entries, addrs, list.Full) })
	return dropped
}

// entryState is the state of an entry; false: the entry makes no sense.
func entryState(listed RosterEntry) (state string, ok bool) {
	state = hostStates[listed.State]
	if mutation.DrainIgnored && state != "" {
		state = hostActive
	}
	_, err := netip.ParseAddrPort(listed.Addr)
	return state, listed.ID != "" && state != "" && (err == nil || state == hostLeft)
}

// noteIncarnation takes over what an entry says of its host. A host that was known to leave goes on leaving in its incarnation where
// the list can't be compared.
func (d *DiscoveryClient) noteIncarnation(listed RosterEntry, state string, incomparable bool, now float64) string {
	known := d.incarnations[listed.ID]
	if incomparable && known.leftAt > 0 && listed.Started <= known.startedMS {
		state = hostLeaving
	}
	incarnation := hostIncarnation{startedMS: listed.Started}
	if state != hostActive {
		incarnation.leftAt = now
	}
	d.incarnations[listed.ID] = incarnation
	return state
}

// forgetLeft notes that hosts which a complete list does not name have left, and forgets those that left long ago.
func (d *DiscoveryClient) forgetLeft(complete bool, named map[string]bool, now float64) {
	for id, incarnation := range d.incarnations {
		if complete && !named[id] && incarnation.leftAt == 0 {
			incarnation.leftAt = now
			d.incarnations[id] = incarnation
		}
		if incarnation.leftAt > 0 && now-incarnation.leftAt > leftHostsKept {
			delete(d.incarnations, id)
		}
	}
}

// updateHosts tells the pool and the policy of the hosts; the policy goes on knowing a host that has left.
func (l *EventLoop) updateHosts(entries []policy.HostEntry, addrs []string, complete bool) {
	listed := map[string]bool{}
	for i, entry := range entries {
		listed[entry.Addr] = true
		l.hosts.UpdateHost(entry.Addr, addrs[i], entry.State == hostActive)
	}
	if complete {
		l.hosts.KeepOnly(listed)
	}
	l.policy.UpdateHosts(l.now, entries, complete)
}
