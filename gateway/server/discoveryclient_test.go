package server

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// startWithWatch starts a gateway whose watches the test serves, and returns it with its first watch.
func watched(t *testing.T) (*testGateway, *fakeWatch) {
	w := gatewaySetup{manualDiscovery: true}.start(t)
	return w, w.discoveryServer.next(t)
}

// roster returns a list as sent by discovery.
func roster(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// waitHosts waits until the active hosts are those with the given IDs.
func (w *testGateway) waitHosts(ids ...string) {
	w.t.Helper()
	var got []string
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		w.wait(func() bool {
			got = got[:0]
			for _, h := range w.pool.inOrder {
				got = append(got, h.id)
			}
			return true
		})
		if strings.Join(got, " ") == strings.Join(ids, " ") {
			return
		}
	}
	w.t.Fatalf("hosts %q, want %q", got, ids)
}

func ready(id string) string { return entry(id, "127.0.0.1:9", "Ready") }

func leaving(id string) string { return entry(id, "127.0.0.1:9", "Terminating") }

// restarted returns an entry of host "a" with an incarnation that started at ms.
func restarted(ms int) string {
	return strings.Replace(ready("a"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, ms), 1)
}

// Lists are parsed independent of their layout and of how they are divided into chunks. An indented list was treated as several
// lines, each of which was dropped as invalid.
func TestListsAreUsedHoweverTheyAreLaidOut(t *testing.T) {
	w, f := watched(t)
	f.sendHead()
	odd := `b]}\"{` // in a JSON string, none of this is structure
	list := strings.ReplaceAll(roster(7, true, ready("a"), strings.Replace(ready("b"), `"b"`, `"`+odd+`"`, 1)), ",", ",\r\n\t")
	f.send(strings.Replace(list, "{", "{\n  ", 1) + "\n\n")
	w.waitHosts("a", `b]}"{`)
	for _, b := range []byte(roster(8, false, ready("c"))) {
		f.send(string(b)) // one chunk per byte
	}
	f.send("\n")
	w.waitHosts("a", `b]}"{`, "c")
	for _, b := range []byte(fmt.Sprintf("%x\r\n%s\r\n", len(roster(9, true, ready("d"))), roster(9, true, ready("d")))) {
		_, _ = f.Write([]byte{b})
	}
	w.waitHosts("d")
}

// A list of a thousand hosts in one chunk.
func TestALongListInOneChunkIsUsed(t *testing.T) {
	w, f := watched(t)
	f.sendHead()
	var all []string
	for i := range 1000 {
		all = append(all, ready(fmt.Sprintf("h%04d", i)))
	}
	f.send(strings.ReplaceAll(roster(7, true, all...), ",", ",\n      ") + "\n")
	w.wait(func() bool { return len(w.pool.inOrder) == 1000 })
}

// After an invalid message the complete list is requested, and later messages of that stream are not used, because they would
// advance the version past the missing change.
func TestAListThatCantBeReadIsAskedForAgain(t *testing.T) {
	for _, bad := range []string{
		"no json\n", `{"version":6,"full":false,"servers":[{]}` + "\n", `{"version":"six","servers":[]}`,
		`{"version":6,"full":true}`, `{}`, `{"version":-6,"full":true,"servers":[]}`, "}", `[]`,
		roster(4, false, ready("x")),
	} { // a change to a version before the current one
		w, f := watched(t)
		f.sendHead()
		f.send(roster(5, true, ready("a")) + "\n")
		w.waitHosts("a")
		f.send(bad + roster(8, false, ready("b")))
		g := w.discoveryServer.next(t)
		if g.from != 0 {
			t.Errorf("%.20q: requested the changes after version %d", bad, g.from)
		}
		f.waitClosed(t)
		w.waitHosts("a")
		g.sendHead()
		g.send(roster(8, true, ready("b")) + "\n")
		w.waitHosts("b")
		if !w.log.has("requesting the complete list") {
			t.Errorf("%.20q: nothing was logged", bad)
		}
	}
}

// Invalid entries are dropped and logged, and the rest is used. The list is requested once more, but only once.
func TestEntriesThatMakeNoSenseAreDropped(t *testing.T) {
	w, f := watched(t)
	f.sendHead()
	f.send(roster(5, true, ready("a"), ready("b")) + "\n")
	w.waitHosts("a", "b")
	bad := roster(6, true, entry("x", "nowhere", "Ready"), entry("b", "127.0.0.1:9", "Confused"), ready("c"))
	f.send(bad + "\n")
	g := w.discoveryServer.next(t)
	w.waitHosts("c")
	if g.from != 0 {
		t.Fatalf("requested the changes after version %d", g.from)
	}
	g.sendHead()
	g.send(bad + "\n")
	g.send(roster(7, false, ready("d")) + "\n")
	w.waitHosts("c", "d")
	if len(w.discoveryServer.opened) > 0 || !w.log.has("nowhere") || !w.log.has("Confused") {
		t.Fatal("requested again, or not logged")
	}
}

// Streams whose response is not a watch, or that end before or after the head.
func TestResponsesThatAreNoWatchAreAskedForAgain(t *testing.T) {
	w, f := watched(t)
	for _, text := range []string{
		"", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 200<<10), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 200<<10),
	} {
		g := f
		go func() {
			sendText(g, text)
			g.Close()
		}()
		f = w.discoveryServer.next(t)
	}
	f.sendHead()
	f.send(roster(5, true, ready("a")) + "\n")
	w.waitHosts("a")
}

// timeUntilUpdate returns how long it takes until a list from another stream is applied.
func timeUntilTold(t *testing.T, w *testGateway) time.Duration {
	t.Helper()
	begun := time.Now()
	for {
		select {
		case g := <-w.discoveryServer.opened:
			g.sendHead()
			g.send(roster(6, true, ready("b")) + "\n")
			w.waitHosts("b")
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
func TestASilentStreamIsReplaced(t *testing.T) {
	for _, trickle := range []bool{false, true} {
		t.Run(fmt.Sprint("trickle ", trickle), func(t *testing.T) {
			w := gatewaySetup{manualDiscovery: true, shortTimeouts: trickle}.start(t)
			f := w.discoveryServer.next(t)
			f.sendHead()
			f.send(roster(5, true, ready("a")) + "\n")
			w.waitHosts("a")
			stop, stopped := make(chan bool), make(chan bool)
			go func() {
				defer close(stopped)
				for f.send(`{"version":6,"servers":[`); trickle; f.send("\n") {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
				}
			}()
			if took := timeUntilTold(t, w); took < w.discovery.silenceTimeout-100*time.Millisecond || took > w.discovery.silenceTimeout+time.Second {
				t.Errorf("told after %v", took)
			}
			close(stop)
			<-stopped
			f.waitClosed(t)
		})
	}
}

// Discovery is down for a while: it accepts connections and sends nothing. When it recovers, its data is used at once, whether it
// arrives on the old stream or on one that was opened meanwhile.
func TestADiscoveryThatComesBackIsHeardAtOnce(t *testing.T) {
	for _, on := range []string{"the old stream", "a later one"} {
		t.Run(on, func(t *testing.T) {
			w := gatewaySetup{manualDiscovery: true, shortTimeouts: true}.start(t)
			f := w.discoveryServer.next(t)
			f.sendHead()
			f.send(roster(5, true, ready("a")) + "\n")
			w.waitHosts("a")
			g := w.discoveryServer.next(t) // the old stream was silent, so another is opened
			var open []*fakeWatch
			for len(open) < 3 {
				open = append(open, w.discoveryServer.next(t))
			}
			g.waitClosed(t) // only the old, the last and the next stream are kept
			back := f
			if on != "the old stream" {
				back = open[len(open)-1]
				back.sendHead()
			}
			back.send(roster(6, true, ready("b")) + "\n")
			begun := time.Now()
			w.waitHosts("b")
			if took := time.Since(begun); took > 200*time.Millisecond {
				t.Errorf("told after %v", took)
			}
			if on == "the old stream" { // the other streams are not used any more
				stays := w.discoveryServer
				open[len(open)-1].sendHead()
				open[len(open)-1].send(roster(6, true, ready("c")) + "\n")
				open[len(open)-1].waitClosed(t)
				if len(stays.opened) > 1 {
					t.Error("further streams were opened")
				}
				w.waitHosts("b")
			}
		})
	}
}

// A new address takes over with its first list. While it only accepts connections or sends empty lines, the lists of the old
// address stay in use.
func TestANewAddressTakesOverWithItsFirstList(t *testing.T) {
	w, f := watched(t)
	f.sendHead()
	f.send(roster(5, true, ready("a")) + "\n")
	w.waitHosts("a")
	second := newFakeDiscovery(t)
	w.discovery.Watch(second.Addr().String())
	g := second.next(t)
	if g.from != 0 {
		t.Fatalf("requested the changes after version %d of another address", g.from)
	}
	f.send(roster(6, false, ready("b")) + "\n")
	w.waitHosts("a", "b")
	g.sendHead()
	g.send("\n")
	w.wait(func() bool {
		w.discovery.mu.Lock()
		defer w.discovery.mu.Unlock()
		return w.discovery.candidate == nil || w.discovery.candidate.activeStream != nil
	})
	f.send(roster(7, false, leaving("a")) + "\n")
	w.waitHosts("b")
	g.send(roster(2, true, ready("b"), ready("c")) + "\n")
	w.waitHosts("b", "c")
	f.waitClosed(t)
	g.send(roster(3, false, ready("d")) + "\n") // versions of its own
	w.waitHosts("b", "c", "d")
}

// Several address changes in a row, and back to the first address.
func TestTheLastOfSeveralAddressesCounts(t *testing.T) {
	w, f := watched(t)
	f.sendHead()
	f.send(roster(5, true, ready("a")) + "\n")
	w.waitHosts("a")
	second, third := newFakeDiscovery(t), newFakeDiscovery(t)
	w.discovery.Watch(second.Addr().String())
	g := second.next(t)
	w.discovery.Watch(third.Addr().String())
	h := third.next(t)
	g.waitClosed(t)
	w.discovery.Watch(w.discoveryServer.Addr().String())
	h.waitClosed(t)
	f.send(roster(6, false, ready("b")) + "\n") // it was in use all along
	w.waitHosts("a", "b")
	w.discovery.Watch(third.Addr().String())
	h = third.next(t)
	h.sendHead()
	h.send(roster(1, true, ready("c")) + "\n")
	w.waitHosts("c")
	f.waitClosed(t)
}

// Another discovery is outdated. A host that was reported as leaving stays inactive in its incarnation, and becomes active again in
// its next one.
func TestADiscoveryThatIsBehindBringsNobodyBack(t *testing.T) {
	w, f := watched(t)
	f.sendHead()
	f.send(roster(5, true, restarted(10), ready("b"), ready("gone")) + "\n")
	f.send(roster(6, true, restarted(10), ready("b")) + "\n")
	f.send(roster(7, false, strings.Replace(restarted(10), "Ready", "Terminating", 1)) + "\n")
	w.waitHosts("b")
	second := newFakeDiscovery(t)
	w.discovery.Watch(second.Addr().String())
	g := second.next(t)
	g.sendHead()
	g.send(roster(4, true, restarted(10), ready("b"), ready("gone"), ready("c")) + "\n")
	w.waitHosts("b", "c")
	g.send(roster(5, false, restarted(20)) + "\n")
	w.waitHosts("b", "c", "a")
	// The same if one discovery restarts with lower versions.
	g.send(roster(9, false, leaving("c")) + "\n")
	w.waitHosts("b", "a")
	g.send(roster(1, true, ready("b"), ready("c")) + "\n")
	w.waitHosts("b")
}

// A stream that ends right after its first data is not reopened without a backoff.
func TestStreamsThatEndAtOnceAreNotAskedForWithoutPause(t *testing.T) {
	w, f := watched(t)
	begun := time.Now()
	n := 0
	for ; time.Since(begun) < time.Second; n++ {
		f.sendHead()
		f.send("\n")
		f.Close()
		f = w.discoveryServer.next(t)
	}
	if n > 8 {
		t.Fatalf("%d streams in a second", n)
	}
}

// Unread data of a superseded stream changes nothing, even after the stream that replaced it has ended.
func TestAStreamThatWasTakenOverFromIsNotHeardAgain(t *testing.T) {
	w := gatewaySetup{manualDiscovery: true, shortTimeouts: true}.start(t)
	f := w.discoveryServer.next(t)
	f.sendHead()
	f.send(roster(5, true, ready("a")) + "\n")
	w.waitHosts("a")
	w.discovery.mu.Lock()
	old := w.discovery.current.activeStream
	w.discovery.mu.Unlock()
	g := w.discoveryServer.next(t)
	g.sendHead()
	g.send(roster(6, true, ready("b")) + "\n")
	w.waitHosts("b")
	g.Close()
	w.wait(func() bool {
		w.discovery.mu.Lock()
		defer w.discovery.mu.Unlock()
		return w.discovery.current.activeStream == nil
	})
	if err := w.discovery.accept(old, &Roster{Version: 5, Full: true, Servers: []RosterEntry{}}); err == nil {
		t.Error("the superseded stream was used")
	}
	w.waitHosts("b")
}
