package server

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// startWithWatch starts a gateway whose watches the test serves, and returns it with its first watch.
func startWithWatch(t *testing.T) (*testGateway, *fakeWatch) {
	gw := gatewaySetup{manualDiscovery: true}.start(t)
	return gw, gw.discoveryServer.next(t)
}

// roster returns a list as sent by discovery.
func roster(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// waitHosts waits until the active hosts are those with the given IDs.
func (gw *testGateway) waitHosts(ids ...string) {
	gw.t.Helper()
	var got []string
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		gw.waitFor(func() bool {
			got = got[:0]
			for _, h := range gw.pool.inOrder {
				got = append(got, h.id)
			}
			return true
		})
		if strings.Join(got, " ") == strings.Join(ids, " ") {
			return
		}
	}
	gw.t.Fatalf("hosts %q, want %q", got, ids)
}

func ready(id string) string { return entry(id, "127.0.0.1:9", "Ready") }

func leaving(id string) string { return entry(id, "127.0.0.1:9", "Terminating") }

// restarted returns an entry of host "a" with an incarnation that started at ms.
func restarted(ms int) string {
	return strings.Replace(ready("a"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, ms), 1)
}

// Lists are parsed independent of their layout and of how they are divided into chunks. An indented list was treated as several
// lines, each of which was dropped as invalid.
func TestListsAreParsedInAnyLayout(t *testing.T) {
	gw, watch := startWithWatch(t)
	watch.sendHead()
	odd := `b]}\"{` // in a JSON string, none of this is structure
	list := strings.ReplaceAll(roster(7, true, ready("a"), strings.Replace(ready("b"), `"b"`, `"`+odd+`"`, 1)), ",", ",\r\n\t")
	watch.send(strings.Replace(list, "{", "{\n  ", 1) + "\n\n")
	gw.waitHosts("a", `b]}"{`)
	for _, b := range []byte(roster(8, false, ready("c"))) {
		watch.send(string(b)) // one chunk per byte
	}
	watch.send("\n")
	gw.waitHosts("a", `b]}"{`, "c")
	for _, b := range []byte(fmt.Sprintf("%x\r\n%s\r\n", len(roster(9, true, ready("d"))), roster(9, true, ready("d")))) {
		_, _ = watch.Write([]byte{b})
	}
	gw.waitHosts("d")
}

// A list of a thousand hosts in one chunk.
func TestLongListInOneChunk(t *testing.T) {
	gw, watch := startWithWatch(t)
	watch.sendHead()
	var all []string
	for i := range 1000 {
		all = append(all, ready(fmt.Sprintf("h%04d", i)))
	}
	watch.send(strings.ReplaceAll(roster(7, true, all...), ",", ",\n      ") + "\n")
	gw.waitFor(func() bool { return len(gw.pool.inOrder) == 1000 })
}

// After an invalid message the complete list is requested, and later messages of that stream are not used, because they would
// advance the version past the missing change.
func TestInvalidListIsRequestedAgain(t *testing.T) {
	for _, bad := range []string{
		"no json\n", `{"version":6,"full":false,"servers":[{]}` + "\n", `{"version":"six","servers":[]}`,
		`{"version":6,"full":true}`, `{}`, `{"version":-6,"full":true,"servers":[]}`, "}", `[]`,
		roster(4, false, ready("x")),
	} { // a change to a version before the current one
		gw, watch := startWithWatch(t)
		watch.sendHead()
		watch.send(roster(5, true, ready("a")) + "\n")
		gw.waitHosts("a")
		watch.send(bad + roster(8, false, ready("b")))
		newWatch := gw.discoveryServer.next(t)
		if newWatch.from != 0 {
			t.Errorf("%.20q: requested the changes after version %d", bad, newWatch.from)
		}
		watch.waitClosed(t)
		gw.waitHosts("a")
		newWatch.sendHead()
		newWatch.send(roster(8, true, ready("b")) + "\n")
		gw.waitHosts("b")
		if !gw.log.has("requesting the complete list") {
			t.Errorf("%.20q: nothing was logged", bad)
		}
	}
}

// Invalid entries are dropped and logged, and the rest is used. The list is requested once more, but only once.
func TestInvalidEntriesAreDropped(t *testing.T) {
	gw, watch := startWithWatch(t)
	watch.sendHead()
	watch.send(roster(5, true, ready("a"), ready("b")) + "\n")
	gw.waitHosts("a", "b")
	bad := roster(6, true, entry("x", "nowhere", "Ready"), entry("b", "127.0.0.1:9", "Confused"), ready("c"))
	watch.send(bad + "\n")
	newWatch := gw.discoveryServer.next(t)
	gw.waitHosts("c")
	if newWatch.from != 0 {
		t.Fatalf("requested the changes after version %d", newWatch.from)
	}
	newWatch.sendHead()
	newWatch.send(bad + "\n")
	newWatch.send(roster(7, false, ready("d")) + "\n")
	gw.waitHosts("c", "d")
	if len(gw.discoveryServer.opened) > 0 || !gw.log.has("nowhere") || !gw.log.has("Confused") {
		t.Fatal("requested again, or not logged")
	}
}

// Streams whose response is not a watch, or that end before or after the head.
func TestInvalidWatchResponsesAreRetried(t *testing.T) {
	gw, watch := startWithWatch(t)
	for _, text := range []string{
		"", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 200<<10), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 200<<10),
	} {
		current := watch
		go func() {
			sendText(current, text)
			current.Close()
		}()
		watch = gw.discoveryServer.next(t)
	}
	watch.sendHead()
	watch.send(roster(5, true, ready("a")) + "\n")
	gw.waitHosts("a")
}

// timeUntilUpdate returns how long it takes until a list from another stream is applied.
func timeUntilUpdate(t *testing.T, gw *testGateway) time.Duration {
	t.Helper()
	begun := time.Now()
	for {
		select {
		case newWatch := <-gw.discoveryServer.opened:
			newWatch.sendHead()
			newWatch.send(roster(6, true, ready("b")) + "\n")
			gw.waitHosts("b")
			return time.Since(begun)
		case <-time.After(50 * time.Millisecond):
			if time.Since(begun) > 6*time.Second {
				t.Fatal("no stream was opened in 6 s")
			}
		}
	}
}

// A silent stream is replaced. So is one on which an incomplete message trickles in byte by byte, which used to count as a sign of
// life.
func TestSilentStreamIsReplaced(t *testing.T) {
	for _, trickle := range []bool{false, true} {
		t.Run(fmt.Sprint("trickle ", trickle), func(t *testing.T) {
			gw := gatewaySetup{manualDiscovery: true, shortTimeouts: trickle}.start(t)
			watch := gw.discoveryServer.next(t)
			watch.sendHead()
			watch.send(roster(5, true, ready("a")) + "\n")
			gw.waitHosts("a")
			stop, stopped := make(chan bool), make(chan bool)
			go func() {
				defer close(stopped)
				for watch.send(`{"version":6,"servers":[`); trickle; watch.send("\n") {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
				}
			}()
			if took := timeUntilUpdate(t, gw); took < gw.discovery.silenceTimeout-100*time.Millisecond || took > gw.discovery.silenceTimeout+time.Second {
				t.Errorf("told after %v", took)
			}
			close(stop)
			<-stopped
			watch.waitClosed(t)
		})
	}
}

// Discovery is down for a while: it accepts connections and sends nothing. When it recovers, its data is used at once, whether it
// arrives on the old stream or on one that was opened meanwhile.
func TestRecoveredDiscoveryIsUsedAtOnce(t *testing.T) {
	for _, on := range []string{"the old stream", "a later one"} {
		t.Run(on, func(t *testing.T) {
			gw := gatewaySetup{manualDiscovery: true, shortTimeouts: true}.start(t)
			watch := gw.discoveryServer.next(t)
			watch.sendHead()
			watch.send(roster(5, true, ready("a")) + "\n")
			gw.waitHosts("a")
			newWatch := gw.discoveryServer.next(t) // the old stream was silent, so another is opened
			var open []*fakeWatch
			for len(open) < 3 {
				open = append(open, gw.discoveryServer.next(t))
			}
			newWatch.waitClosed(t) // only the old, the last and the next stream are kept
			back := watch
			if on != "the old stream" {
				back = open[len(open)-1]
				back.sendHead()
			}
			back.send(roster(6, true, ready("b")) + "\n")
			begun := time.Now()
			gw.waitHosts("b")
			if took := time.Since(begun); took > 200*time.Millisecond {
				t.Errorf("told after %v", took)
			}
			if on == "the old stream" { // the other streams are not used any more
				server := gw.discoveryServer
				open[len(open)-1].sendHead()
				open[len(open)-1].send(roster(6, true, ready("c")) + "\n")
				open[len(open)-1].waitClosed(t)
				if len(server.opened) > 1 {
					t.Error("further streams were opened")
				}
				gw.waitHosts("b")
			}
		})
	}
}

// A new address takes over with its first list. While it only accepts connections or sends empty lines, the lists of the old
// address stay in use.
func TestNewAddressTakesOverWithFirstList(t *testing.T) {
	gw, watch := startWithWatch(t)
	watch.sendHead()
	watch.send(roster(5, true, ready("a")) + "\n")
	gw.waitHosts("a")
	second := newFakeDiscovery(t)
	gw.discovery.Watch(second.Addr().String())
	newWatch := second.next(t)
	if newWatch.from != 0 {
		t.Fatalf("requested the changes after version %d of another address", newWatch.from)
	}
	watch.send(roster(6, false, ready("b")) + "\n")
	gw.waitHosts("a", "b")
	newWatch.sendHead()
	newWatch.send("\n")
	gw.waitFor(func() bool {
		gw.discovery.mu.Lock()
		defer gw.discovery.mu.Unlock()
		return gw.discovery.candidate == nil || gw.discovery.candidate.activeStream != nil
	})
	watch.send(roster(7, false, leaving("a")) + "\n")
	gw.waitHosts("b")
	newWatch.send(roster(2, true, ready("b"), ready("c")) + "\n")
	gw.waitHosts("b", "c")
	watch.waitClosed(t)
	newWatch.send(roster(3, false, ready("d")) + "\n") // versions of its own
	gw.waitHosts("b", "c", "d")
}

// Several address changes in a row, and back to the first address.
func TestLastOfSeveralAddressesIsUsed(t *testing.T) {
	gw, watch := startWithWatch(t)
	watch.sendHead()
	watch.send(roster(5, true, ready("a")) + "\n")
	gw.waitHosts("a")
	second, third := newFakeDiscovery(t), newFakeDiscovery(t)
	gw.discovery.Watch(second.Addr().String())
	newWatch := second.next(t)
	gw.discovery.Watch(third.Addr().String())
	thirdWatch := third.next(t)
	newWatch.waitClosed(t)
	gw.discovery.Watch(gw.discoveryServer.Addr().String())
	thirdWatch.waitClosed(t)
	watch.send(roster(6, false, ready("b")) + "\n") // it was in use all along
	gw.waitHosts("a", "b")
	gw.discovery.Watch(third.Addr().String())
	thirdWatch = third.next(t)
	thirdWatch.sendHead()
	thirdWatch.send(roster(1, true, ready("c")) + "\n")
	gw.waitHosts("c")
	watch.waitClosed(t)
}

// Another discovery is outdated. A host that was reported as leaving stays inactive in its incarnation, and becomes active again in
// its next one.
func TestOutdatedDiscoveryDoesNotRestoreHosts(t *testing.T) {
	gw, watch := startWithWatch(t)
	watch.sendHead()
	watch.send(roster(5, true, restarted(10), ready("b"), ready("gone")) + "\n")
	watch.send(roster(6, true, restarted(10), ready("b")) + "\n")
	watch.send(roster(7, false, strings.Replace(restarted(10), "Ready", "Terminating", 1)) + "\n")
	gw.waitHosts("b")
	second := newFakeDiscovery(t)
	gw.discovery.Watch(second.Addr().String())
	newWatch := second.next(t)
	newWatch.sendHead()
	newWatch.send(roster(4, true, restarted(10), ready("b"), ready("gone"), ready("c")) + "\n")
	gw.waitHosts("b", "c")
	newWatch.send(roster(5, false, restarted(20)) + "\n")
	gw.waitHosts("b", "c", "a")
	// The same if one discovery restarts with lower versions.
	newWatch.send(roster(9, false, leaving("c")) + "\n")
	gw.waitHosts("b", "a")
	newWatch.send(roster(1, true, ready("b"), ready("c")) + "\n")
	gw.waitHosts("b")
}

// A stream that ends right after its first data is not reopened without a backoff.
func TestStreamsThatEndAtOnceAreRetriedWithBackoff(t *testing.T) {
	gw, watch := startWithWatch(t)
	begun := time.Now()
	n := 0
	for ; time.Since(begun) < time.Second; n++ {
		watch.sendHead()
		watch.send("\n")
		watch.Close()
		watch = gw.discoveryServer.next(t)
	}
	if n > 8 {
		t.Fatalf("%d streams in a second", n)
	}
}

// Unread data of a superseded stream changes nothing, even after the stream that replaced it has ended.
func TestSupersededStreamIsNotUsedAgain(t *testing.T) {
	gw := gatewaySetup{manualDiscovery: true, shortTimeouts: true}.start(t)
	watch := gw.discoveryServer.next(t)
	watch.sendHead()
	watch.send(roster(5, true, ready("a")) + "\n")
	gw.waitHosts("a")
	gw.discovery.mu.Lock()
	old := gw.discovery.current.activeStream
	gw.discovery.mu.Unlock()
	newWatch := gw.discoveryServer.next(t)
	newWatch.sendHead()
	newWatch.send(roster(6, true, ready("b")) + "\n")
	gw.waitHosts("b")
	newWatch.Close()
	gw.waitFor(func() bool {
		gw.discovery.mu.Lock()
		defer gw.discovery.mu.Unlock()
		return gw.discovery.current.activeStream == nil
	})
	if err := gw.discovery.accept(old, &Roster{Version: 5, Full: true, Servers: []RosterEntry{}}); err == nil {
		t.Error("the superseded stream was used")
	}
	gw.waitHosts("b")
}
