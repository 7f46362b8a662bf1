package replication

import (
	"errors"
	"strings"
	"testing"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Two of three servers are unreachable: requests must be rejected at once, and the log must have one line about it.
func TestRequestsAreRejectedWithoutAQuorum(t *testing.T) {
	n := newNode(t, 0)
	if _, err := n.Bootstrap(0, testBootstrap(testIncarnation)); err != nil {
		t.Fatal(err)
	}
	logged := 0
	for now := 0.0; now < 6; now += tickInterval {
		n.Tick(now)
		for ready := n.Ready(); ready != nil; ready = n.Ready() {
			n.Advance(ready)
		}
		n.TakeMessages()
		for _, line := range n.TakeLogLines() {
			if strings.Contains(line, "rejected") {
				logged++
			}
		}
	}
	rejected := false
	n.Submit(0, statemachine.Command{Kind: statemachine.Add, Key: "n", Amount: 1}, func(outcome Outcome, _ statemachine.Reply) { rejected = outcome == Rejected })
	if !rejected || logged != 1 {
		t.Fatalf("rejected %v, logged %d times", rejected, logged)
	}
	for _, h := range n.Health() {
		if !h.Unavailable || h.IsLeader {
			t.Fatalf("%+v", h)
		}
	}
}

// A server with a newer list names a leader that is not in this server's list. This server must ignore it, and its requests wait for
// another leader.
func TestLeaderMissingFromPeerListIsIgnored(t *testing.T) {
	n := newNode(t, 5)
	n.Receive(1, 1, &protocol.Frame{Kind: protocol.KindLeaders, Incarnation: testIncarnation, Leaders: []protocol.LeaderAnnouncement{{Term: 1}}})
	n.Submit(0, statemachine.Command{Kind: statemachine.ReportUsage, Key: "n", Holder: "h"}, func(Outcome, statemachine.Reply) {})
	n.Receive(1, 1, &protocol.Frame{Kind: protocol.KindResponses, Incarnation: testIncarnation, Responses: []protocol.Response{
		{RequestID: n.submitted, NotLeader: true, Leader: 3},
	}})
	n.Tick(1 + tickInterval)
	if c := n.clients[0]; c.hasLeader() {
		t.Fatalf("server %d of %d counts as the leader", c.leader, len(n.peers))
	}
}

// The list changes while servers run: servers may be added at the end, and no server may change its position.
func TestPeerListOnlyGrows(t *testing.T) {
	renamed := peers(4, 3)
	renamed[1].Name = "else"
	for _, c := range []struct {
		name string
		list []Peer
		want func(error) bool
	}{
		{"a server is removed", peers(2, 3), func(err error) bool { return errors.Is(err, ErrServerRemoved) }},
		{"a server changes its name", renamed, isError[*ServerRenamedError]},
		{"two servers are added", peers(5, 3), func(err error) bool { return err == nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(t, 5)
			if err := n.SetPeers(1, c.list, 1); !c.want(err) {
				t.Fatalf("SetPeers returned %v", err)
			}
			n.Tick(2)
		})
	}
}

func TestNewRejectsArgumentsOutOfRange(t *testing.T) {
	for name, change := range map[string]func(c *Config, self *int, incarnation *uint32){
		"no groups":                func(c *Config, _ *int, _ *uint32) { c.Groups = 0 },
		"too many replicas":        func(c *Config, _ *int, _ *uint32) { c.Replicas = maxReplicas + 1 },
		"too short a log":          func(c *Config, _ *int, _ *uint32) { c.MaxLogEntries = minLogEntries - 1 },
		"no snapshot rate":         func(c *Config, _ *int, _ *uint32) { c.SnapshotRate = 0 },
		"a number beyond the list": func(_ *Config, self *int, _ *uint32) { *self = 3 },
		"no incarnation":           func(_ *Config, _ *int, incarnation *uint32) { *incarnation = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			config, self, incarnation := testConfig, 0, uint32(testIncarnation)
			change(&config, &self, &incarnation)
			if _, err := New(self, incarnation, 5, peers(3, 3), config, 1, nil); !errors.Is(err, ErrInvalidConfig) {
				t.Fatalf("New returned error %v", err)
			}
		})
	}
	stored := map[int]*PersistentState{testConfig.Groups: {}}
	if _, err := New(0, testIncarnation, 5, peers(3, 3), testConfig, 1, stored); !isError[*UnknownGroupError](err) {
		t.Fatalf("New returned error %v for a stored group that the configuration doesn't have", err)
	}
}

// A client must not be able to submit commands that only servers may submit.
func TestServerCommandsOfClientsAreRejected(t *testing.T) {
	n := newNode(t, 5)
	for _, kind := range []statemachine.Kind{
		statemachine.RecoverUnreported, statemachine.ClearUnreported, statemachine.CollectUsage, statemachine.OpenSession, statemachine.Tick, 200,
	} {
		code := statemachine.Done
		request := protocol.Request{Command: statemachine.Command{Kind: kind, Key: "n", Holder: "h"}}
		n.HandleClient(1, request, func(r protocol.Response) { code = r.Reply.Code })
		if code != statemachine.Invalid {
			t.Fatalf("kind %d: %v", kind, code)
		}
	}
}

// No frame from a stream may stop the server or cause a panic.
func FuzzFrame(f *testing.F) {
	for _, frame := range []*protocol.Frame{
		protocol.ClientHello(), protocol.RequestsFrame([]protocol.Request{{Command: statemachine.Command{Kind: statemachine.Add, Key: "n"}}}),
		{Kind: protocol.KindLeaders, Leaders: []protocol.LeaderAnnouncement{{Group: 1, Members: []uint64{1}}}},
		{Kind: protocol.KindRaft, Raft: []byte("x")},
		{Kind: protocol.KindMembership, Membership: "!b"},
		protocol.AdminFrame(&protocol.Admin{Operation: protocol.OperationStatus}),
	} {
		encoded, err := frame.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		frame, err := protocol.DecodeFrame(encoded)
		if err != nil {
			return
		}
		frame.Incarnation = max(frame.Incarnation, 1)
		if frame.Kind == protocol.KindRaft { // messages of the Raft library are trusted, as only servers send them
			return
		}
		n := newNode(t, 5)
		n.Receive(1, 1, frame)
		for _, request := range frame.Requests {
			n.HandleClient(1, request, func(protocol.Response) {})
		}
		n.Tick(2)
	})
}

// A group with too many requests in progress rejects further ones at once, which promises that they were not executed.
func TestRequestsBeyondTheMaximumAreRejected(t *testing.T) {
	n := newNode(t, 1)
	rejected := 0
	submit := func() {
		n.Submit(0, statemachine.Command{Kind: statemachine.Add, Key: "k", Amount: 1, TTL: 1}, func(outcome Outcome, _ statemachine.Reply) {
			if outcome == Rejected {
				rejected++
			}
		})
	}
	for range maxPendingRequests {
		submit()
	}
	if rejected != 0 {
		t.Fatalf("%d requests within the maximum were rejected", rejected)
	}
	submit()
	if rejected != 1 {
		t.Fatalf("%d requests beyond the maximum were rejected", rejected)
	}
}
