package sockets

// This file owns the stand-ins: hosts, counter and discovery, one listener of each for every api gateway, so that it is
// known who calls. What they do is the models'; nothing is decided here.

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
	"otterseam/gateway/simprotocol"
	"otterseam/sim/countermodel"
	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/simulation"
)

// StandIns are a day's hosts, counter and discovery on loopback.
type StandIns struct {
	*simulation.Simulation
	pump      *pump
	base      float64 // clock time, Unix, at which the day begins
	listeners []net.Listener
	mu        sync.Mutex
	conns     map[*conn]bool // that stand
	closed    bool
	addrs     map[[2]int]string // by host and api gateway
	counters  []string
	rosters   []string
	watches   []map[*conn]bool // by api gateway
	versions  []int64
	known     map[string]*model.Invocation // by ref, of those that are about
	seen      map[string]*model.Invocation // made up for refs that no client here has sent
	lost      func(ref string)             // called where a host got a ref that it should not have got
	customers map[string]*model.Customer
	rig       Interceptor
	told      []map[string]policy.HostEntry // by api gateway: what has got through of the list
}

// stand opens all listeners. known finds an invocation by its ref.
func stand(w *simulation.Simulation, p *pump, gateways int, rig Interceptor) (*StandIns, error) {
	s := &StandIns{
		Simulation: w, pump: p, conns: map[*conn]bool{}, addrs: map[[2]int]string{}, known: map[string]*model.Invocation{}, seen: map[string]*model.Invocation{},
		customers: map[string]*model.Customer{}, rig: rig,
	}
	if rig == nil {
		s.rig = direct{s}
	}
	for _, c := range w.Workload.Customers {
		s.customers[c.Key] = c
	}
	for g := range gateways {
		s.watches = append(s.watches, map[*conn]bool{})
		s.versions = append(s.versions, 1)
		s.told = append(s.told, map[string]policy.HostEntry{})
		c, err := s.rig.ListenFor(g, "counter", func(tcp net.Conn) { s.count(g, tcp) })
		if err != nil {
			return s, err
		}
		s.counters = append(s.counters, c)
		d, err := s.rig.ListenFor(g, "discovery", func(tcp net.Conn) { s.roster(g, tcp) })
		if err != nil {
			return s, err
		}
		s.rosters = append(s.rosters, d)
		for _, h := range w.Hosts {
			if _, err := s.addr(h, g); err != nil {
				return s, err
			}
		}
	}
	return s, nil
}

func (s *StandIns) listen(each func(tcp net.Conn)) (string, error) {
	l, err := listen("127.0.0.1:0", each)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	return l.Addr().String(), nil
}

// conn takes over a connection of a stand-in.
func (s *StandIns) conn(tcp net.Conn) *conn {
	c := newConn(tcp, func(c *conn) {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] = true; s.closed {
		c.end(false)
	}
	return c
}

// Close ends all listeners and connections. Guards against a day in whose process another is played: what the first one left
// open stayed.
func (s *StandIns) Close() {
	s.pump.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.end(false)
	}
}

// addr is where an api gateway reaches a host; a host that came later gets its listener now.
func (s *StandIns) addr(h *hostmodel.Host, gateway int) (string, error) {
	key := [2]int{h.Number, gateway}
	if a := s.addrs[key]; a != "" {
		return a, nil
	}
	a, err := s.rig.ListenFor(gateway, fmt.Sprintf("host %d", h.Number), func(tcp net.Conn) { s.serve(h, gateway, tcp) })
	s.addrs[key] = a
	return a, err
}

func (s *StandIns) zone(gateway int) int { return gateway % s.Day.Fleet.Zones.N() }

// Write writes the configuration of each api gateway into a folder and gives their paths. listens are their addresses;
// where there are fewer, free ones are taken.
func (s *StandIns) Write(dir string, gateways int, memory float64, listens []string) (paths, addrs []string, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, err
	}
	var peers []string
	for g := range gateways {
		if g >= len(listens) {
			a, err := FreeAddress()
			if err != nil {
				return nil, nil, err
			}
			listens = append(listens, a)
		}
		if s.Day.Peers.Allowed {
			a, err := FreeAddress()
			if err != nil {
				return nil, nil, err
			}
			peers = append(peers, a)
		}
	}
	known := peers
	if len(peers) > 0 {
		if known, err = s.rig.PeerAddresses(peers); err != nil {
			return nil, nil, err
		}
	}
	for g := range gateways {
		list, _ := s.entries(g, s.HostList(g))
		c := map[string]any{
			"name": fmt.Sprintf("edge-%d", g), "listen": listens[g], "discovery": s.rosters[g], "seed": fmt.Sprintf("%x", s.Seed+uint64(g)),
			"limits": map[string]any{"cores": s.Day.Gateway.Core.V(), "memory_mb": memory, "sockets": 1024}, "counter": s.counters[g],
			"known": map[string]any{"version": 1, "full": true, "servers": list}, "settings": settings(s.Simulation, g, gateways),
		}
		if len(peers) > 0 {
			c["peers"], c["peer_listen"] = known, peers[g]
		}
		b, err := json.MarshalIndent(c, "", "  ")
		if err != nil {
			return nil, nil, err
		}
		path := filepath.Join(dir, fmt.Sprintf("edge-%d.json", g))
		if err := os.WriteFile(path, b, 0o644); err != nil {
			return nil, nil, err
		}
		paths = append(paths, path)
	}
	return paths, listens[:gateways], nil
}

func settings(w *simulation.Simulation, slot, gateways int) simprotocol.Settings {
	st := simulation.StartSettings(w.Day, slot)
	st.Gateways = gateways
	return st
}

// FreeAddress finds an address on loopback that nobody holds at the moment, for streams and datagrams. It lies below the ports
// that systems give to outgoing connections: one of those could be gone before the api gateway listens.
func FreeAddress() (addr string, err error) {
	for range 50 {
		addr = fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000))
		var l net.Listener
		var p net.PacketConn
		if l, err = net.Listen("tcp", addr); err != nil {
			continue
		}
		p, err = net.ListenPacket("udp", addr)
		l.Close()
		if err == nil {
			p.Close()
			return addr, nil
		}
	}
	return "", err
}

// Discovery.

type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

func (s *StandIns) entries(gateway int, list []policy.HostEntry) ([]entry, error) {
	all := []entry{}
	for _, l := range list {
		h := s.Host(l.Addr)
		addr, err := s.addr(h, gateway)
		if err != nil {
			return all, err
		}
		started := int64(0)
		if l.StartedAt > 0 {
			started = int64((s.base + l.StartedAt) * 1000)
		}
		state := map[string]string{"active": "Ready", "leaving": "Terminating", "left": "Gone"}[l.State]
		all = append(all, entry{fmt.Sprintf("host-%d", h.Number), addr, l.Zone, "stand-in", l.Cell, state, l.Weight, started})
	}
	return all, nil
}

// Told brings a change of the list to an api gateway's watches.
func (s *StandIns) Told(gateway int, l policy.HostEntry) {
	s.versions[gateway]++
	s.rig.EventSeen("told", gateway)
	line := s.line(gateway, false, []policy.HostEntry{l})
	for c := range s.watches[gateway] {
		c.writeThen(chunk(line), func() { s.pump.Do(func() { s.tell(gateway, []policy.HostEntry{l}, false) }) })
	}
}

// tell has the referee know what has got through of the list; a host that a whole list lacks has left.
func (s *StandIns) tell(gateway int, list []policy.HostEntry, whole bool) {
	told, now := s.told[gateway], map[string]bool{}
	for _, l := range list {
		now[l.Addr] = true
		if old, known := told[l.Addr]; !known || old != l {
			told[l.Addr] = l
			s.Oracle.HostStateTold(gateway, s.Host(l.Addr).Number, l.State, l.StartedAt)
		}
	}
	for addr, l := range told { // each by itself: the order does not show
		if whole && !now[addr] && l.State != "left" {
			l.State = "left"
			told[addr] = l
			s.Oracle.HostStateTold(gateway, s.Host(addr).Number, "left", l.StartedAt)
		}
	}
}

func (s *StandIns) line(gateway int, full bool, list []policy.HostEntry) string {
	es, _ := s.entries(gateway, list)
	b, _ := json.Marshal(map[string]any{"version": s.versions[gateway], "full": full, "servers": es}) // numbers and texts only
	return string(b) + "\n"
}

func chunk(text string) []byte { return []byte(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

func (s *StandIns) roster(gateway int, tcp net.Conn) {
	c := s.conn(tcp)
	ReadMessages(tcp, false, func(m *http1.Message) bool {
		target := string(m.Target)
		if !strings.HasPrefix(target, "/catalog/members") {
			c.write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
			return true
		}
		watch := strings.Contains(target, "watch=1")
		s.pump.Do(func() {
			whole := s.line(gateway, true, s.HostList(gateway))
			if !watch {
				c.write([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)))
				return
			}
			c.write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
			list := s.HostList(gateway)
			c.writeThen(chunk(whole), func() { s.pump.Do(func() { s.tell(gateway, list, true) }) })
			s.watches[gateway][c] = true
			s.alive(gateway, c)
		})
		return true
	})
	s.pump.Do(func() {
		delete(s.watches[gateway], c)
		c.end(false)
	})
}

// alive writes an empty line every 2 s.
func (s *StandIns) alive(gateway int, c *conn) {
	s.Queue.ScheduleAfter(2, func() {
		if s.watches[gateway][c] {
			c.write(chunk("\n"))
			s.alive(gateway, c)
		}
	})
}

// The counter.

func (s *StandIns) count(gateway int, tcp net.Conn) {
	c := s.conn(tcp)
	var line []*string // answers in the order of their calls; nil: not there yet. Only the pump's goroutine looks
	ReadMessages(tcp, false, func(m *http1.Message) bool {
		name, by, life, ok := call(m)
		s.pump.Do(func() {
			slot := new(string)
			line = append(line, slot)
			say := func(status, text string) {
				*slot = fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
				for len(line) > 0 && *line[0] != "" {
					c.write([]byte(*line[0]))
					line = line[1:]
				}
			}
			if !ok {
				say("400 Bad Request", "")
				return
			}
			net, zone := s.Network(), s.zone(gateway)
			if net.Partitioned(zone, 0) {
				return
			}
			s.Queue.ScheduleAfter(net.Delay(zone, 0), func() {
				s.CounterCalled(false)
				s.rig.EventSeen("called", gateway)
				// Every second api gateway sees the copy of a split counter: there are no edges to ask.
				s.Counter.Add(gateway%2 == 1, name, by, life, func(how countermodel.Outcome, sum float64) {
					if how == countermodel.Added {
						s.rig.EventSeen("added", gateway)
					}
					s.Queue.ScheduleAfter(net.Delay(0, zone), func() {
						switch how {
						case countermodel.Added:
							say("200 OK", strconv.FormatFloat(sum, 'f', -1, 64))
						case countermodel.Rejected:
							say("503 Service Unavailable", "")
						case countermodel.ConnectionRefused:
							c.end(true)
						}
					})
				})
			})
			s.Queue.ScheduleAfter(1, func() { // an answer that never comes would hold up all behind it
				if *slot == "" {
					c.end(true)
				}
			})
		})
		return true
	})
	s.pump.Do(func() { c.end(false) })
}

// call reads POST /counters/NAME?by=AMOUNT&expire_ms=LIFE.
func call(m *http1.Message) (name uint64, by, life float64, ok bool) {
	path, query, _ := strings.Cut(string(m.Target), "?")
	text, found := strings.CutPrefix(path, "/counters/")
	name, err := strconv.ParseUint(text, 10, 64)
	ok = found && err == nil && string(m.Method) == "POST"
	for _, pair := range strings.Split(query, "&") {
		key, value, _ := strings.Cut(pair, "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsInf(x, 0) || math.IsNaN(x) {
			return 0, 0, 0, false
		}
		switch key {
		case "by":
			by = x
		case "expire_ms":
			life = min(60, x/1000)
		}
	}
	return name, by, life, ok && life > 0
}

// Hosts.

func (s *StandIns) serve(h *hostmodel.Host, gateway int, tcp net.Conn) {
	c := s.conn(tcp)
	type answer struct{ ok bool }
	up := make(chan answer, 1)
	life := 0
	s.pump.Do(func() {
		life = h.Incarnation
		up <- answer{h.IsSilent() || h.OpenConnection()}
		s.ConnectionDialled()
	})
	select {
	case a := <-up:
		if !a.ok {
			c.end(true)
			return
		}
	case <-s.pump.ended:
		c.end(false)
		return
	}
	var d *model.Attempt
	var job *hostmodel.Job
	fresh := true
	ReadMessages(tcp, false, func(m *http1.Message) bool {
		ref, first := field(m, "req-id"), fresh
		fresh = false
		call, whole := http1.ParseInvocation(m) // the message is lent until this returns
		s.pump.Do(func() {
			inv := s.find(ref, call, whole)
			if inv == nil {
				c.write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
				return
			}
			d = &model.Attempt{Invocation: inv, Number: len(inv.Attempts), Host: h.Number, SentAt: s.Queue.Now(), Written: true}
			inv.Gateway = gateway
			inv.Attempts = append(inv.Attempts, d)
			job = s.arrive(h, gateway, life, d, c, first)
		})
		return true
	})
	s.pump.Do(func() { // the api gateway has ended the connection, or we have
		c.end(false)
		if life == h.Incarnation && !h.IsSilent() {
			h.Connections--
		}
		if d != nil && !d.Ended {
			d.Ended = true
			if job != nil {
				h.Cancel(job)
			}
			s.AttemptReleased(d)
		}
	})
}

// find gives the invocation of a ref: that of a client here, or one made up from what the request says of itself.
func (s *StandIns) find(ref string, call http1.Invocation, whole bool) *model.Invocation {
	if inv := s.known[ref]; inv != nil {
		return inv
	}
	if !whole || s.lost != nil { // clients are here, and none of them sent it
		if s.lost != nil {
			s.lost(ref)
		}
		return nil
	}
	inv := s.seen[ref]
	if inv != nil {
		return inv
	}
	n := &model.Request{Units: call.Units, ActualUnits: call.Units, CreatedAt: s.Queue.Now(), Deadline: s.Queue.Now() + call.Timeout}
	for i := range s.Day.Operations {
		if o := &s.Day.Operations[i]; o.Name == call.Operation {
			n.Operation, n.Work = model.Operation{Operation: o, Number: i}, o.Work.V()
		}
	}
	if n.Customer = s.customers[call.Customer]; n.Customer == nil {
		for i := range s.Day.Plans {
			if s.Day.Plans[i].Name == call.Plan {
				n.Customer = &model.Customer{Key: call.Customer, Plan: &s.Day.Plans[i], PlanNumber: i}
				s.customers[call.Customer] = n.Customer
			}
		}
	}
	if n.Operation.Operation == nil || n.Customer == nil {
		return nil
	}
	inv = &model.Invocation{Ref: ref, Request: n, GiveUpAt: n.Deadline, Accepted: true}
	s.seen[ref] = inv
	s.Queue.ScheduleAfter(call.Timeout+10, func() { delete(s.seen, ref) })
	return inv
}

// arrive lets the referee and the host see a delivery that is whole, a way after it was.
func (s *StandIns) arrive(h *hostmodel.Host, gateway, life int, d *model.Attempt, c *conn, fresh bool) *hostmodel.Job {
	net, zone, n := s.Network(), s.zone(gateway), d.Invocation.Request
	to, open := fmt.Sprintf("host %d", h.Number), d.Invocation.Outcome == model.Pending
	job := &hostmodel.Job{Operation: n.Operation.Number, Work: n.Work, Gateway: gateway, OnStart: func() {
		s.rig.EventSeen("ran", gateway)
		s.AttemptStarted(d)
	}}
	if fresh {
		job.Work += h.ConnectWork
	}
	reset, before := net.DrawReset()
	job.OnAnswer = func(a hostmodel.Answer) {
		if d.Ended {
			return
		}
		s.rig.EventSeen("answering", gateway)
		s.Trace(gateway, d.Invocation.Ref, fmt.Sprintf("host %d ends delivery %d: %s", h.Number, d.Number, a))
		if d.ProvenNotRun = a == hostmodel.Rejected; a == hostmodel.Succeeded && net.DrawLostAnswer() || net.Partitioned(zone, h.Zone) {
			return
		}
		s.Queue.ScheduleAfter(net.Delay(h.Zone, zone), func() {
			if d.Ended {
				return
			}
			d.Ended = true
			s.AttemptReleased(d)
			switch {
			case reset || a == hostmodel.Reset:
				c.end(true)
			case a == hostmodel.Rejected:
				c.write([]byte("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"))
			case a == hostmodel.Failed:
				c.write([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
			case a == hostmodel.Corrupted:
				c.write([]byte("HTTP/1.1 2\x00\x01 noise that is no answer\r\n\r\n"))
			default:
				body := fmt.Sprintf("%s by host %d\n", d.Invocation.Ref, h.Number)
				c.write([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
			}
		})
	}
	if net.Partitioned(zone, h.Zone) || h.IsSilent() {
		s.AttemptSwallowed()
		return job
	}
	s.Queue.ScheduleAfter(net.Delay(zone, h.Zone), func() {
		if life != h.Incarnation || reset && before {
			d.Ended = true
			c.end(true)
			return
		}
		s.rig.EventSeen("delivery", gateway)
		// When one held up by a fault set out isn't known: how late it comes tells nothing. Nor does it where the final answer
		// came while it was on its way here: it had been called off.
		if s.rig.FaultSince(gateway, to, d.Invocation.SentAt) || open && d.Invocation.Outcome != model.Pending {
			s.AttemptSentLate(d)
		} else {
			s.AttemptSent(d)
			s.alone(d)
		}
		s.AttemptReached(d)
		h.Submit(job)
		if d.Ended {
			h.Cancel(job)
			s.AttemptReleased(d)
		}
	})
	return job
}

// alone looks again a moment later whether an earlier delivery is still out: that its connection was closed may be heard
// of after the next delivery has come.
func (s *StandIns) alone(d *model.Attempt) {
	for _, e := range d.Invocation.Attempts {
		if e != d && !e.Ended {
			s.Queue.ScheduleAfter(0.05, func() {
				if !e.Ended { // it had ended before the next one was sent, or never did
					s.Oracle.ConcurrentAttempts(d.Invocation)
				}
			})
		}
	}
}
