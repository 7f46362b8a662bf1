package replication

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

func peers(n, zones int) (all []Peer) {
	for i := range n {
		all = append(all, Peer{Name: fmt.Sprint("k", i), Zone: fmt.Sprint("z", i%zones)})
	}
	return all
}

func anyone(int) bool { return true }

// A keeper comes, or is lost: only its own part moves.
func TestOnePartMoves(t *testing.T) {
	const groups = 256
	moved, kept := 0, 0
	for g := range groups {
		before := PlaceReplicas(g, peers(6, 1), 3, anyone)
		after := PlaceReplicas(g, peers(7, 1), 3, anyone)
		for _, n := range before {
			if slices.Contains(after, n) {
				kept++
			} else {
				moved++
			}
		}
	}
	if part := float64(moved) / float64(moved+kept); part < 0.05 || part > 0.25 {
		t.Fatalf("one more of seven keepers moved %.2f of all copies", part)
	}
}

// Copies lie in different zones as far as there are zones, and nowhere twice.
func TestZones(t *testing.T) {
	for g := range 100 {
		in := map[string]bool{}
		ps := peers(9, 3)
		chosen := PlaceReplicas(g, ps, 3, anyone)
		for _, n := range chosen {
			in[ps[n].Zone] = true
		}
		if len(in) != 3 {
			t.Fatalf("group %d lies in %d zones: %v", g, len(in), chosen)
		}
		if five := PlaceReplicas(g, ps, 5, anyone); len(five) != 5 || len(slices.Compact(slices.Sorted(slices.Values(five)))) != 5 {
			t.Fatalf("five copies over three zones: %v", five)
		}
		if two := PlaceReplicas(g, ps, 3, func(n int) bool { return n < 2 }); len(two) != 2 {
			t.Fatalf("two keepers are left: %v", two)
		}
	}
}

func core(t *testing.T, cluster uint64) *Node {
	t.Helper()
	c, err := New(0, 9, cluster, peers(3, 3), Config{Groups: 4, Replicas: 3, MaxLogEntries: 64, SnapshotRate: 1e6, ReplaceAfter: 5}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A founding made for a life that is over, or for another installation, is not taken part in: the machine may have been
// lost and come back while others hold what it held.
func TestFoundingOfAnotherLife(t *testing.T) {
	f := &protocol.Bootstrap{Cluster: 5, Groups: 4, Replicas: 3, Members: []protocol.ReplicaID{protocol.NewReplicaID(0, 8), protocol.NewReplicaID(1, 1), protocol.NewReplicaID(2, 1)}}
	if _, err := core(t, 0).Bootstrap(0, f); err == nil {
		t.Fatal("a founding for a former life")
	}
	f.Members[0] = protocol.NewReplicaID(0, 9)
	if _, err := core(t, 6).Bootstrap(0, f); err == nil {
		t.Fatal("a founding where it belongs to another installation")
	}
	if _, err := core(t, 0).Bootstrap(0, f); err != nil {
		t.Fatal(err)
	}
}

// Two of three keepers are away: calls are refused at once, with one line in the log, and nothing is taken.
func TestTooManyLost(t *testing.T) {
	c := core(t, 0)
	if _, err := c.Bootstrap(0, &protocol.Bootstrap{Cluster: 5, Groups: 4, Replicas: 3, Members: []protocol.ReplicaID{protocol.NewReplicaID(0, 9), protocol.NewReplicaID(1, 1), protocol.NewReplicaID(2, 1)}}); err != nil {
		t.Fatal(err)
	}
	said := 0
	for now := 0.0; now < 6; now += 0.04 {
		c.Tick(now)
		for w := c.Ready(); w != nil; w = c.Ready() {
			c.Advance(w)
		}
		c.TakeMessages()
		for _, line := range c.TakeLogLines() {
			if strings.Contains(line, "turned away") {
				said++
			}
		}
	}
	refused := false
	c.Submit(0, statemachine.Command{Kind: statemachine.Add, Key: "n", Amount: 1}, func(how Outcome, _ statemachine.Reply) { refused = how == Rejected })
	if !refused || said != 1 {
		t.Fatalf("refused %v, said %d times", refused, said)
	}
	for _, h := range c.Health() {
		if !h.Unavailable || h.IsLeader {
			t.Fatalf("%+v", h)
		}
	}
}

// The list is changed while keepers run: ones at the end are new, none may change its place.
func TestListChanges(t *testing.T) {
	c := core(t, 5)
	if c.SetPeers(1, peers(2, 3), 1) == nil {
		t.Fatal("a keeper was taken off the list")
	}
	other := peers(4, 3)
	other[1].Name = "else"
	if c.SetPeers(1, other, 1) == nil {
		t.Fatal("a keeper changed its name")
	}
	if err := c.SetPeers(1, peers(5, 3), 1); err != nil {
		t.Fatal(err)
	}
	c.Tick(2)
}

// A guest can't ask for what only keepers may.
func TestGuests(t *testing.T) {
	c := core(t, 5)
	for _, k := range []statemachine.Kind{statemachine.RecoverUnreported, statemachine.ClearUnreported, statemachine.CollectUsage, statemachine.OpenSession, statemachine.Tick, 200} {
		code := statemachine.Done
		c.HandleClient(1, protocol.Request{Command: statemachine.Command{Kind: k, Key: "n", Holder: "h"}}, func(r protocol.Response) { code = r.Reply.Code })
		if code != statemachine.Invalid {
			t.Fatalf("kind %d: %v", k, code)
		}
	}
}

// Whatever comes on a stream is read or refused, and never ends the keeper.
func FuzzFrame(f *testing.F) {
	for _, x := range []*protocol.Frame{
		protocol.ClientHello(), protocol.RequestsFrame([]protocol.Request{{Command: statemachine.Command{Kind: statemachine.Add, Key: "n"}}}),
		{Kind: protocol.KindLeaders, Leaders: []protocol.LeaderAnnouncement{{Group: 1, Members: []uint64{1}}}},
		{Kind: protocol.KindRaft, Raft: []byte("x")},
		{Kind: protocol.KindMembership, Membership: "!b"},
		protocol.AdminFrame(&protocol.Admin{Operation: protocol.OperationStatus}),
	} {
		text, _ := x.Encode()
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		x, err := protocol.DecodeFrame(text)
		if err != nil {
			return
		}
		x.Incarnation = max(x.Incarnation, 1)
		if x.Kind == protocol.KindRaft { // a message of the library is believed, as its sender is a keeper
			return
		}
		c, err := New(0, 9, 5, peers(3, 3), Config{Groups: 4, Replicas: 3, MaxLogEntries: 64, SnapshotRate: 1e6, ReplaceAfter: 5}, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		c.Receive(1, 1, x)
		for _, a := range x.Requests {
			c.HandleClient(1, a, func(protocol.Response) {})
		}
		c.Tick(2)
	})
}

// The first keeper is founded, and its word gets to the second before the founding does, as on a busy machine. The second
// takes its part all the same: else a founding is answered that one keeper alone holds, until copies are made.
func TestFoundedAfterHearsay(t *testing.T) {
	members := []protocol.ReplicaID{protocol.NewReplicaID(0, 7), protocol.NewReplicaID(1, 7), protocol.NewReplicaID(2, 7)}
	f := &protocol.Bootstrap{Cluster: 9, Groups: 4, Replicas: 3, Members: members}
	var all []*Node
	for i := range 3 {
		c, err := New(i, 7, 0, peers(3, 1), Config{Groups: 4, Replicas: 3, MaxLogEntries: 64, SnapshotRate: 1e6, ReplaceAfter: 30}, uint64(i+1), nil)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	if _, err := all[0].Bootstrap(1, f); err != nil {
		t.Fatal(err)
	}
	all[0].Tick(1.1)
	for _, l := range all[0].TakeMessages() {
		all[l.To].Receive(1.1, 0, l.Frame)
	}
	for i, c := range all[1:] {
		if c.Cluster() != 9 {
			t.Fatalf("keeper %d has not heard of it", i+1)
		}
		writes, err := c.Bootstrap(1.2, f)
		if err != nil || len(writes) != 4 {
			t.Errorf("keeper %d takes %d of 4 parts: %v", i+1, len(writes), err)
		}
		if again, err := c.Bootstrap(1.3, f); err != nil || len(again) > 0 {
			t.Errorf("the same founding again: %d writes, %v", len(again), err)
		}
		if _, err := c.Bootstrap(1.3, &protocol.Bootstrap{Cluster: 8, Groups: 4, Replicas: 3, Members: members}); err == nil {
			t.Error("another founding was followed")
		}
	}
}
