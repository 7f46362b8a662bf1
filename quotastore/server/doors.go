package server

// This file owns the door for whoever counts: the counter's published protocol, answers in the order of the calls on each
// connection. A call of which nothing is known ends its connection, as the protocol has it; it must never be answered as
// turned away.

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"otterseam/gateway/http1"
	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

const (
	mostDoors = 2048 // connections
	mostOut   = 1024 // calls out on one
	idle      = 30 * time.Second
)

type counterListener struct {
	keeper   *Server
	listener net.Listener
	ctx      context.Context
	mu       sync.Mutex
	open     map[*counterConn]bool
	touched  []*counterConn // with answers that wait to be written; only the loop looks
}

// door is one connection.
type counterConn struct {
	doors *counterListener
	tcp   net.Conn
	wake  chan struct{}
	room  chan struct{} // a place for each call that is out

	// Of the loop alone:
	order   []*answer
	waiting bool // among touched

	mu      sync.Mutex
	pending []byte
	last    bool // nothing comes after pending
}

type answer struct {
	text []byte
	cut  bool
}

func newDoors(k *Server, addr string) (*counterListener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("door: %w", err)
	}
	return &counterListener{keeper: k, listener: l, open: map[*counterConn]bool{}}, nil
}

func (ds *counterListener) run(ctx context.Context, group *errgroup.Group) {
	ds.ctx = ctx
	group.Go(func() error {
		for {
			tcp, err := ds.listener.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				time.Sleep(10 * time.Millisecond)
				continue
			}
			d := &counterConn{doors: ds, tcp: tcp, wake: make(chan struct{}, 1), room: make(chan struct{}, mostOut)}
			ds.mu.Lock()
			if len(ds.open) >= mostDoors || ctx.Err() != nil {
				ds.mu.Unlock()
				tcp.Close()
				continue
			}
			ds.open[d] = true
			ds.mu.Unlock()
			group.Go(func() error {
				d.serve(group)
				return nil
			})
		}
	})
	group.Go(func() error {
		<-ctx.Done()
		ds.listener.Close()
		ds.mu.Lock()
		defer ds.mu.Unlock()
		for d := range ds.open {
			d.tcp.Close()
		}
		return nil
	})
}

// serve reads calls until the connection ends, and closes it.
func (d *counterConn) serve(group *errgroup.Group) {
	ds := d.doors
	gone := make(chan struct{})
	group.Go(func() error { d.write(gone); return nil })
	d.read()
	close(gone)
	d.tcp.Close()
	ds.mu.Lock()
	delete(ds.open, d)
	ds.mu.Unlock()
}

// call is one that was read.
type call struct {
	name     string
	by, life float64
	ok       bool
	other    string // "/_health"
}

func (d *counterConn) read() {
	k := d.doors.keeper
	var m http1.Message
	m.Begin(make([]byte, 16<<10), false)
	for {
		d.tcp.SetReadDeadline(time.Now().Add(idle))
		if len(m.Space()) == 0 {
			return // no call is that long
		}
		n, err := d.tcp.Read(m.Space())
		var calls []call
		var bad error
		for {
			whole, b := m.Got(n)
			if bad = b; !whole || b != nil {
				break
			}
			calls = append(calls, readCall(&m))
			n = m.Next()
		}
		if len(calls) > 0 {
			for range calls {
				select {
				case d.room <- struct{}{}:
				case <-d.doors.ctx.Done():
					return
				}
			}
			if !k.enqueue(func() {
				for i := range calls {
					d.ask(&calls[i])
				}
			}) {
				return
			}
		}
		if bad != nil {
			k.enqueue(func() { d.say(d.slot(), "400 Bad Request", "", true) })
			return
		}
		if err != nil {
			return
		}
	}
}

// readCall reads POST /counters/NAME?by=AMOUNT&expire_ms=LIFE.
func readCall(m *http1.Message) call {
	path, query, _ := strings.Cut(string(m.Target), "?")
	if path == "/_health" {
		return call{other: path}
	}
	name, found := strings.CutPrefix(path, "/counters/")
	c := call{name: name, ok: found && string(m.Method) == "POST" && len(name) >= 1 && len(name) <= 64}
	by := false
	for _, pair := range strings.Split(query, "&") {
		key, value, _ := strings.Cut(pair, "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsInf(x, 0) || math.IsNaN(x) {
			c.ok = false
			return c
		}
		switch key {
		case "by":
			c.by, by = x, true
		case "expire_ms":
			c.life = min(60, x/1000)
		}
	}
	c.ok = c.ok && by && math.Abs(c.by) <= 1e9 && c.life >= 0.001
	return c
}

// slot is the place of an answer in the order of the calls.
func (d *counterConn) slot() *answer {
	a := &answer{}
	d.order = append(d.order, a)
	return a
}

// ask brings a call to its group. It runs on the loop.
func (d *counterConn) ask(c *call) {
	a, core := d.slot(), d.doors.keeper.node
	if c.other != "" {
		d.health(a)
		return
	}
	if !c.ok {
		d.say(a, "400 Bad Request", "", false)
		return
	}
	core.Submit(core.GroupOf(c.name), statemachine.Command{Kind: statemachine.Add, Key: c.name, Amount: c.by, TTL: c.life}, func(how replication.Outcome, r statemachine.Reply) {
		switch {
		case how == replication.Answered && r.Code == statemachine.Done:
			d.say(a, "200 OK", strconv.FormatFloat(r.Total, 'f', -1, 64), false)
		case how == replication.Answered && r.Code == statemachine.Invalid:
			d.say(a, "400 Bad Request", "", false)
		case how == replication.Rejected:
			d.say(a, "503 Service Unavailable", "", false)
		default:
			a.cut = true
			d.touch()
		}
	})
}

// health says how the groups stand: 200 if all can be asked here.
func (d *counterConn) health(a *answer) {
	k := d.doors.keeper
	away, led, held := 0, 0, 0
	for _, h := range k.node.Health() {
		if h.Unavailable {
			away++
		}
		if h.IsLeader {
			led++
		}
		if h.HasReplica {
			held++
		}
	}
	state := "whole"
	switch {
	case k.node.Cluster() == 0:
		state = "not founded"
	case away > 0:
		state = "turning calls away"
	}
	text, err := json.Marshal(map[string]any{
		"state": state, "groups": k.node.Groups(), "away": away, "led": led, "held": held,
		"installation": fmt.Sprintf("%016x", k.node.Cluster()), "life": fmt.Sprintf("%08x", k.node.Incarnation()), "disk": k.storage.persistent(),
		"put_back": k.node.RecoveredUsages, "moved": k.node.MembershipChanges,
	})
	if err != nil {
		d.say(a, "500 Internal Server Error", err.Error(), false)
		return
	}
	status := "200 OK"
	if state != "whole" {
		status = "503 Service Unavailable"
	}
	d.say(a, status, string(text), false)
}

func (d *counterConn) say(a *answer, status, text string, last bool) {
	end := ""
	if last {
		end = "Connection: close\r\n"
	}
	a.text = fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, end, len(text), text)
	a.cut = last
	d.touch()
}

func (d *counterConn) touch() {
	if !d.waiting {
		d.waiting = true
		d.doors.touched = append(d.doors.touched, d)
	}
}

// flush hands over the answers whose turn it is. It runs on the loop, after what they rest on is written.
func (ds *counterListener) flush() {
	for _, d := range ds.touched {
		d.waiting = false
		n := 0
		d.mu.Lock()
		for n < len(d.order) && (d.order[n].text != nil || d.order[n].cut) {
			if !d.last {
				d.pending = append(d.pending, d.order[n].text...)
				d.last = d.order[n].cut
			}
			n++
		}
		d.mu.Unlock()
		if n == 0 {
			continue
		}
		d.order = d.order[n:]
		for range n {
			select {
			case <-d.room:
			default: // of a call that was bad from the beginning
			}
		}
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
	ds.touched = ds.touched[:0]
}

func (d *counterConn) write(gone chan struct{}) {
	var going []byte
	for {
		select {
		case <-gone:
			return
		case <-d.wake:
		}
		d.mu.Lock()
		going, d.pending = d.pending, going[:0]
		last := d.last
		d.mu.Unlock()
		d.tcp.SetWriteDeadline(time.Now().Add(5 * time.Second))
		_, err := d.tcp.Write(going)
		if err != nil || last {
			d.tcp.SetReadDeadline(time.Unix(1, 0))
			if t, ok := d.tcp.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
	}
}
