package server

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// watched is a world whose discovery the test speaks for, with its first watch.
func watched(t *testing.T) (*testGateway, *fakeWatch) {
	w := gatewaySetup{manualDiscovery: true}.start(t)
	return w, w.discoveryServer.next(t)
}

// roster is a list as discovery writes it.
func roster(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// waitHosts waits until the hosts that take new work are those, by id.
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

// restarted is the host "a" in an incarnation that started then.
func restarted(ms int) string {
	return strings.Replace(ready("a"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, ms), 1)
}

// An indented list was a row of lines that could not be read, each dropped; cut at each byte it is a list too.
func TestListsAreUsedHoweverTheyAreLaidOut(t *testing.T) {
	w, f := watched(t)
	f.sendHead()
	odd := `b]}\"{` // quoted, none of this is structure
	list := strings.ReplaceAll(roster(7, true, ready("a"), strings.Replace(ready("b"), `"b"`, `"`+odd+`"`, 1)), ",", ",\r\n\t")
	f.send(strings.Replace(list, "{", "{\n  ", 1) + "\n\n")
	w.waitHosts("a", `b]}"{`)
	for _, b := range []byte(roster(8, false, ready("c"))) {
		f.send(string(b)) // a chunk each
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

// What can't be read is asked for again, as a whole, and what follows it on that stream is not used: it would lift the
// version over what was missed.
func TestAListThatCantBeReadIsAskedForAgain(t *testing.T) {
	for _, bad := range []string{
		"no json\n", `{"version":6,"full":false,"servers":[{]}` + "\n", `{"version":"six","servers":[]}`,
		`{"version":6,"full":true}`, `{}`, `{"version":-6,"full":true,"servers":[]}`, "}", `[]`,
		roster(4, false, ready("x")),
	} { // a change to before what is known
		w, f := watched(t)
		f.sendHead()
		f.send(roster(5, true, ready("a")) + "\n")
		w.waitHosts("a")
		f.send(bad + roster(8, false, ready("b")))
		g := w.discoveryServer.next(t)
		if g.from != 0 {
			t.Errorf("%.20q: asked for what came after %d", bad, g.from)
		}
		f.waitClosed(t)
		w.waitHosts("a")
		g.sendHead()
		g.send(roster(8, true, ready("b")) + "\n")
		w.waitHosts("b")
		if !w.log.has("asked for again") {
			t.Errorf("%.20q: the log does not say", bad)
		}
	}
}

// Entries that make no sense are dropped and named, the rest is used; the list is asked for once more, and not again.
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
		t.Fatalf("asked for what came after %d", g.from)
	}
	g.sendHead()
	g.send(bad + "\n")
	g.send(roster(7, false, ready("d")) + "\n")
	w.waitHosts("c", "d")
	if len(w.discoveryServer.opened) > 0 || !w.log.has("nowhere") || !w.log.has("Confused") {
		t.Fatal("asked for once more, or not named")
	}
}

// A stream that answers in no way a watch does, or ends before or after its head.
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

// timeUntilTold is how long after now a list is known that another stream brings.
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
				t.Fatal("nothing was told in 6 s")
			}
		}
	}
}

// A stream that falls silent, and one on which half a message trickles, byte by byte, which counted as speech.
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

// Discovery is down for a while: it accepts and says nothing. When it speaks again, on the old stream or on one it took
// meanwhile, that is heard at once.
func TestADiscoveryThatComesBackIsHeardAtOnce(t *testing.T) {
	for _, on := range []string{"the old stream", "a later one"} {
		t.Run(on, func(t *testing.T) {
			w := gatewaySetup{manualDiscovery: true, shortTimeouts: true}.start(t)
			f := w.discoveryServer.next(t)
			f.sendHead()
			f.send(roster(5, true, ready("a")) + "\n")
			w.waitHosts("a")
			g := w.discoveryServer.next(t) // it has been silent, another is tried
			var open []*fakeWatch
			for len(open) < 3 {
				open = append(open, w.discoveryServer.next(t))
			}
			g.waitClosed(t) // no more are kept than the old one, the last, and the next
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
			if on == "the old stream" { // the others are of no use any more
				stays := w.discoveryServer
				open[len(open)-1].sendHead()
				open[len(open)-1].send(roster(6, true, ready("c")) + "\n")
				open[len(open)-1].waitClosed(t)
				if len(stays.opened) > 1 {
					t.Error("more are opened")
				}
				w.waitHosts("b")
			}
		})
	}
}

// A new address is heard from its first list on; one that accepts and says nothing, or only that it is there, changes
// nothing, and what the old one tells counts.
func TestANewAddressTakesOverWithItsFirstList(t *testing.T) {
	w, f := watched(t)
	f.sendHead()
	f.send(roster(5, true, ready("a")) + "\n")
	w.waitHosts("a")
	second := newFakeDiscovery(t)
	w.discovery.Watch(second.Addr().String())
	g := second.next(t)
	if g.from != 0 {
		t.Fatalf("asked for what came after %d, a number of another's", g.from)
	}
	f.send(roster(6, false, ready("b")) + "\n")
	w.waitHosts("a", "b")
	g.sendHead()
	g.send("\n")
	w.wait(func() bool {
		w.discovery.mu.Lock()
		defer w.discovery.mu.Unlock()
		return w.discovery.candidate == nil || w.discovery.candidate.stream != nil
	})
	f.send(roster(7, false, leaving("a")) + "\n")
	w.waitHosts("b")
	g.send(roster(2, true, ready("b"), ready("c")) + "\n")
	w.waitHosts("b", "c")
	f.waitClosed(t)
	g.send(roster(3, false, ready("d")) + "\n") // numbers of its own
	w.waitHosts("b", "c", "d")
}

// Several in a row, and back to the first.
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
	f.send(roster(6, false, ready("b")) + "\n") // it has been heard all along
	w.waitHosts("a", "b")
	w.discovery.Watch(third.Addr().String())
	h = third.next(t)
	h.sendHead()
	h.send(roster(1, true, ready("c")) + "\n")
	w.waitHosts("c")
	f.waitClosed(t)
}

// Another discovery is behind: the host that was told to leave stays out, in its life; in its next one it is back.
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
	// the same where one discovery begins anew with lower numbers
	g.send(roster(9, false, leaving("c")) + "\n")
	w.waitHosts("b", "a")
	g.send(roster(1, true, ready("b"), ready("c")) + "\n")
	w.waitHosts("b")
}

// A stream that ends as soon as it has spoken is not asked for again without a pause.
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
		t.Fatalf("%d in a second", n)
	}
}

// What stood unread on a stream that another has taken over from changes nothing, also once that one has ended.
func TestAStreamThatWasTakenOverFromIsNotHeardAgain(t *testing.T) {
	w := gatewaySetup{manualDiscovery: true, shortTimeouts: true}.start(t)
	f := w.discoveryServer.next(t)
	f.sendHead()
	f.send(roster(5, true, ready("a")) + "\n")
	w.waitHosts("a")
	w.discovery.mu.Lock()
	old := w.discovery.current.stream
	w.discovery.mu.Unlock()
	g := w.discoveryServer.next(t)
	g.sendHead()
	g.send(roster(6, true, ready("b")) + "\n")
	w.waitHosts("b")
	g.Close()
	w.wait(func() bool {
		w.discovery.mu.Lock()
		defer w.discovery.mu.Unlock()
		return w.discovery.current.stream == nil
	})
	if err := w.discovery.accept(old, &Roster{Version: 5, Full: true, Servers: []RosterEntry{}}); err == nil {
		t.Error("it is heard")
	}
	w.waitHosts("b")
}
