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

// A turn that the stores reject is sent to no host: 402 promises that the turn has not run and never will, and 404 that the turn to be
// continued does not exist.
func TestATurnRejectedByTheStoresReachesNoHost(t *testing.T) {
	for code, want := range map[codes.Code]int{
		codes.BudgetSpent: http.StatusPaymentRequired,
		codes.TurnUnknown: http.StatusNotFound,
		codes.Unavailable: http.StatusServiceUnavailable,
	} {
		t.Run(code.Error(), func(t *testing.T) {
			g := newTestProxy(t)
			conns := g.addHost(func(r hostRequest) { r.respond(streamOK + event(1) + lastChunk) })
			g.addStore(func(_ programs.CommandKind, m rpc.Message) { m.Answer(code, nil) })
			if got := g.dial().roundTrip("/turn/1", "r", turnHeaders+"X-Deadline-Ms: 300\r\n", "x"); got.StatusCode != want {
				t.Errorf("status %d, want %d", got.StatusCode, want)
			}
			if conns.total() != 0 {
				t.Error("the turn was sent to a host")
			}
		})
	}
}

// A turn whose client has received the complete response is settled exactly once.
func TestACompletedTurnIsSettledOnce(t *testing.T) {
	g := newTestProxy(t)
	settled := make(chan string, 4)
	g.addStore(func(kind programs.CommandKind, m rpc.Message) {
		if kind == programs.CommandEnd {
			settled <- string(m.Payload)
		}
		acknowledge(m)
	})
	g.addHost(func(r hostRequest) {
		r.respond(streamOK + event(1) + event(2) + lastChunk)
	})
	if got := g.dial().roundTrip("/turn/1", "r", turnHeaders, "x"); got.text != events(1, 2) || got.err != nil {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	g.awaitIdle()
	if len(settled) != 1 {
		t.Fatalf("settled %d times", len(settled))
	}
}

// Only a retained turn sends its texts to the stores, since every byte of a command is sent to each replica.
func TestOnlyARetainedTurnSendsItsTextToTheStores(t *testing.T) {
	const input, output = "what was asked", "e1"
	for path, retained := range map[string]bool{"/turn/1": true, "/stream/1": false} {
		g := newTestProxy(t)
		ended := make(chan string, 4)
		g.addStore(func(kind programs.CommandKind, m rpc.Message) {
			if kind == programs.CommandEnd {
				ended <- string(m.Payload)
			}
			acknowledge(m)
		})
		g.addHost(func(r hostRequest) { r.respond(streamOK + event(1) + lastChunk) })
		if got := g.dial().roundTrip(path, "r", turnHeaders, input); got.text != events(1, 1) {
			t.Fatalf("%s: %q", path, got.text)
		}
		g.awaitIdle()
		payload := <-ended
		if strings.Contains(payload, input) != retained || strings.Contains(payload, output) != retained {
			t.Errorf("%s: retained %v, and the store received %q", path, retained, payload)
		}
	}
}

// A proxy that has just started holds requests until it receives its first view. A rejection would cost the client one of its few
// attempts.
func TestARequestWaitsForTheFirstView(t *testing.T) {
	g := newTestProxy(t)
	table := g.proxy.routes.Swap(nil)
	g.proxy.routesReady = make(chan struct{})
	g.addHost(func(r hostRequest) { r.respond(plainOK) })
	c := g.dial()
	c.send("/safe/1", "r", "", "")
	g.proxy.routes.Store(table)
	close(g.proxy.routesReady)
	if got := c.receive(); got.StatusCode != http.StatusOK {
		t.Fatal(got.StatusCode)
	}
}

// A request that has waited for the first routes finds hosts, because the routes are set last.
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
		t.Fatal("routes are set before hosts are known")
	}
}

// A draining host receives no new requests.
func TestADrainingHostGetsNoFurtherRequest(t *testing.T) {
	g := newTestProxy(t)
	var conns []*connections
	for range 2 {
		conns = append(conns, g.addHost(func(r hostRequest) { r.respond(plainOK) }))
	}
	for _, current := range g.proxy.hosts.byID {
		if current.ID == "host-1" {
			host := directory.Host{ID: current.ID, Service: current.service, Address: current.address, Zone: "z", Slots: 8, Draining: true}
			defer g.proxy.hosts.update([]feed.Item{{Section: feed.SectionHost, Key: host.ID, Deleted: true}})
			g.proxy.hosts.update([]feed.Item{{Section: feed.SectionHost, Key: host.ID, Data: host.Encode()}})
			break
		}
	}
	for i := range 50 {
		if got := g.dial().roundTrip("/safe/1", fmt.Sprint("r", i), "", "x"); got.StatusCode != http.StatusOK {
			t.Fatalf("%d", got.StatusCode)
		}
	}
	if conns[0].total() != 0 || conns[1].total() == 0 {
		t.Fatalf("%d connections to the draining host, %d to the other", conns[0].total(), conns[1].total())
	}
}

// A turn whose shard's primary stops answering continues as soon as the shard has another primary.
func TestATurnFollowsItsShardToANewPrimary(t *testing.T) {
	g := newTestProxy(t)
	g.addHost(func(r hostRequest) { r.respond(streamOK + event(1) + lastChunk) })
	g.addStore(func(_ programs.CommandKind, m rpc.Message) { acknowledge(m) })
	client := g.proxy.programs
	successor := client.stores[1].Address
	called := make(chan struct{}, 8)
	g.addStore(func(programs.CommandKind, rpc.Message) { called <- struct{}{} })
	c := g.dial()
	// the begin command gets half of this time, which is less than storeCallTimeout
	c.send("/turn/1", "r", turnHeaders+"X-Deadline-Ms: 980\r\n", "x")
	<-called
	client.setShardMap(client.shards, map[uint64]directory.Store{1: {Identity: 1, Address: successor}})
	if got := c.receive(); got.StatusCode != http.StatusOK || got.text != events(1, 1) {
		t.Fatalf("%d %q", got.StatusCode, got.text)
	}
}
