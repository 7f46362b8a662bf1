package proxy

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/programs"
	"otterseam/tier/rpc"
)

const turnHeaders = "Program: p\r\nBudget: 100\r\nX-Token-Count: 1,10\r\n"

// A 402 promises that the turn has not run and never will, and a 404 that there is no turn to go on from: no host is asked.
func TestATurnRejectedByTheStoresReachesNoHost(t *testing.T) {
	for code, want := range map[codes.Code]int{
		codes.BudgetSpent: http.StatusPaymentRequired,
		codes.TurnUnknown: http.StatusNotFound,
		codes.Unavailable: http.StatusServiceUnavailable,
	} {
		t.Run(code.Error(), func(t *testing.T) {
			g := newTestProxy(t)
			counted := g.addHost(func(a hostRequest) { a.respond(streamOK + event(1) + lastChunk) })
			g.addStore(func(_ programs.CommandKind, m rpc.Message) { m.Answer(code, nil) })
			if got := g.dial().ask("/turn/1", "r", turnHeaders+"X-Deadline-Ms: 300\r\n", "x"); got.StatusCode != want {
				t.Errorf("status %d, not %d", got.StatusCode, want)
			}
			if counted.total() != 0 {
				t.Error("a host was asked")
			}
		})
	}
}

// A turn is settled with what its client received, once, however many hosts it took.
func TestATurnIsSettledWithWhatItsClientReceived(t *testing.T) {
	g := newTestProxy(t)
	settled := make(chan string, 4)
	g.addStore(func(kind programs.CommandKind, m rpc.Message) {
		if kind == programs.CommandEnd {
			settled <- string(m.Payload)
		}
		acknowledge(m)
	})
	g.addHost(func(a hostRequest) {
		a.respond(streamOK + event(1) + event(2) + lastChunk)
	})
	if got := g.dial().ask("/turn/1", "r", turnHeaders, "x"); got.text != events(1, 2) || got.err != nil {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	g.settled()
	if len(settled) != 1 {
		t.Fatalf("settled %d times", len(settled))
	}
}

// The texts of a turn go to the stores only where they are kept: every byte of a command goes to each copy.
func TestOnlyARetainedTurnSendsItsTextToTheStores(t *testing.T) {
	const input, output = "what was asked", "e1"
	for path, kept := range map[string]bool{"/turn/1": true, "/stream/1": false} {
		g := newTestProxy(t)
		ended := make(chan string, 4)
		g.addStore(func(kind programs.CommandKind, m rpc.Message) {
			if kind == programs.CommandEnd {
				ended <- string(m.Payload)
			}
			acknowledge(m)
		})
		g.addHost(func(a hostRequest) { a.respond(streamOK + event(1) + lastChunk) })
		if got := g.dial().ask(path, "r", turnHeaders, input); got.text != events(1, 1) {
			t.Fatalf("%s: %q", path, got.text)
		}
		g.settled()
		payload := <-ended
		if strings.Contains(payload, input) != kept || strings.Contains(payload, output) != kept {
			t.Errorf("%s: kept %v, and the store got %q", path, kept, payload)
		}
	}
}

// A proxy that has just started lets requests wait in line for its first view instead of spending one of their few tries.
func TestARequestWaitsForTheFirstView(t *testing.T) {
	g := newTestProxy(t)
	table := g.proxy.routes.Swap(nil)
	g.proxy.routesReady = make(chan struct{})
	g.addHost(func(a hostRequest) { a.respond(plainOK) })
	c := g.dial()
	c.send("/safe/1", "r", "", "")
	g.proxy.routes.Store(table)
	close(g.proxy.routesReady)
	if got := c.receive(); got.StatusCode != http.StatusOK {
		t.Fatal(got.StatusCode)
	}
}

// Whoever waited for the first view finds hosts as soon as there are routes.
func TestRoutesAreUpdatedAfterHosts(t *testing.T) {
	g := newTestProxy(t)
	g.proxy.routes.Store(nil)
	g.proxy.routesReady = make(chan struct{})
	known := make(chan bool, 1)
	go func() {
		<-g.proxy.routesReady
		host := g.proxy.hosts.choose("hosts", "", nil)
		known <- host != nil
	}()
	host := directory.Host{ID: "h", Service: "hosts", Address: "127.0.0.1:1", Zone: "z", Slots: 8}
	g.proxy.update([]feed.Item{
		{Section: feed.SectionConfig, Key: directory.CurrentKey, Data: append(binary.BigEndian.AppendUint64(nil, 1), testConfig...)},
		{Section: feed.SectionHost, Key: host.ID, Data: host.Encode()},
	})
	if !<-known {
		t.Fatal("there are routes and no hosts")
	}
}

// A host that leaves gets no further request, neither a new one nor the rest of a stream.
func TestARemovedHostGetsNoFurtherRequest(t *testing.T) {
	g := newTestProxy(t)
	var counted []*connections
	for range 2 {
		counted = append(counted, g.addHost(func(a hostRequest) { a.respond(plainOK) }))
	}
	for _, held := range g.proxy.hosts.byID {
		if held.ID == "host-1" {
			host := directory.Host{ID: held.ID, Service: held.service, Address: held.address, Zone: "z", Slots: 8, Draining: true}
			defer g.proxy.hosts.update([]feed.Item{{Section: feed.SectionHost, Key: host.ID, Deleted: true}})
			g.proxy.hosts.update([]feed.Item{{Section: feed.SectionHost, Key: host.ID, Data: host.Encode()}})
			break
		}
	}
	for i := range 50 {
		if got := g.dial().ask("/safe/1", fmt.Sprint("r", i), "", "x"); got.StatusCode != http.StatusOK {
			t.Fatalf("%d", got.StatusCode)
		}
	}
	if counted[0].total() != 0 || counted[1].total() == 0 {
		t.Fatalf("%d connections to the host that leaves, %d to the other", counted[0].total(), counted[1].total())
	}
}

// A store that falls silent holds a turn only until another leads its shard.
func TestATurnFollowsItsShardToANewPrimary(t *testing.T) {
	g := newTestProxy(t)
	g.addHost(func(a hostRequest) { a.respond(streamOK + event(1) + lastChunk) })
	g.addStore(func(_ programs.CommandKind, m rpc.Message) { acknowledge(m) })
	client := g.proxy.programs
	successor := client.stores[1].Address
	asked := make(chan struct{}, 8)
	g.addStore(func(programs.CommandKind, rpc.Message) { asked <- struct{}{} })
	c := g.dial()
	// half of the time is there for the begin, which is less than an attempt lasts
	c.send("/turn/1", "r", turnHeaders+"X-Deadline-Ms: 980\r\n", "x")
	<-asked
	client.setMap(client.shards, map[uint64]directory.Store{1: {Identity: 1, Address: successor}})
	if got := c.receive(); got.StatusCode != http.StatusOK || got.text != events(1, 1) {
		t.Fatalf("%d %q", got.StatusCode, got.text)
	}
}
