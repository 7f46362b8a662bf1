package server

import (
	"context"
	"net/netip"

	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

const (
	maxLoggedDrops = 5    // maximum number of dropped entries that are logged per list
	leftHostsKept  = 60.0 // seconds for which hosts that left are remembered
)

// Roster is the list of hosts, or a change to it, as sent by discovery.
type Roster struct {
	Version int64         `json:"version"`
	Full    bool          `json:"full"` // complete list; otherwise changes only
	Servers []RosterEntry `json:"servers"`
}

// RosterEntry is one host in a Roster.
type RosterEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"` // "ip:port"
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"` // a key of hostStates
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"` // start time of its incarnation, in milliseconds since 1970
}

// Host states used by policy.HostEntry.
const (
	hostActive  = "active"
	hostLeaving = "leaving"
	hostLeft    = "left"
)

// hostStates maps the states sent by discovery to those of the policy.
var hostStates = map[string]string{"Ready": hostActive, "Terminating": hostLeaving, "Gone": hostLeft}

// hostIncarnation records the last known incarnation of a host and whether it has left. A list from another discovery instance has
// versions that can't be compared with the current one and may be outdated. This record keeps such a list from bringing back a host
// that is leaving.
type hostIncarnation struct {
	startedMS float64 // see RosterEntry.Started
	leftAt    float64 // clock time of the report that it leaves; 0: not leaving
}

// apply posts a list to the event loop without its invalid entries, and returns their number. incomparable reports that the list's
// versions can't be compared with those of previously accepted lists. It is called under mu.
func (d *DiscoveryClient) apply(ctx context.Context, list Roster, incomparable bool) (dropped int) {
	var entries []policy.HostEntry
	var addrs []string
	listedIDs, now := map[string]bool{}, d.loop.clock()
	for _, listed := range list.Servers {
		if mutation.StartIgnored {
			listed.Started = 0
		}
		state, ok := entryState(listed)
		if !ok {
			dropped++
			if dropped <= maxLoggedDrops {
				d.log.Warn().Str("host", listed.ID).Str("addr", listed.Addr).Str("state", listed.State).Msg("invalid host entry dropped")
			}
			continue
		}
		state = d.updateIncarnation(listed, state, incomparable, now)
		listedIDs[listed.ID] = true
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
	d.forgetLeft(list.Full, listedIDs, now)
	d.loop.post(ctx, func() { d.loop.updateHosts(entries, addrs, list.Full) })
	return dropped
}

// entryState returns the state of an entry, and false if the entry is invalid.
func entryState(listed RosterEntry) (state string, ok bool) {
	state = hostStates[listed.State]
	if mutation.DrainIgnored && state != "" {
		state = hostActive
	}
	_, err := netip.ParseAddrPort(listed.Addr)
	return state, listed.ID != "" && state != "" && (err == nil || state == hostLeft)
}

// updateIncarnation records the incarnation in an entry, and returns the host's state. In an incomparable list, a host that was
// leaving stays so until a later incarnation is listed.
func (d *DiscoveryClient) updateIncarnation(listed RosterEntry, state string, incomparable bool, now float64) string {
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

// forgetLeft records that hosts missing from a complete list have left, and deletes those that left long ago.
func (d *DiscoveryClient) forgetLeft(complete bool, listedIDs map[string]bool, now float64) {
	for id, incarnation := range d.incarnations {
		if complete && !listedIDs[id] && incarnation.leftAt == 0 {
			incarnation.leftAt = now
			d.incarnations[id] = incarnation
		}
		if incarnation.leftAt > 0 && now-incarnation.leftAt > leftHostsKept {
			delete(d.incarnations, id)
		}
	}
}

// updateHosts passes the hosts to the pool and to the policy. The policy keeps its record of a host that has left.
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
