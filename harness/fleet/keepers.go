package fleet

// This file owns the keepers of a script: their processes, the links between them and to the api gateways, and what goes
// over the latter, which is noted on the way. It must never change what passes.

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"otterseam/harness/childprocess"
	"otterseam/harness/sockets"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/server"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// keepers are those of one script.
type keepers struct {
	rig     *rig
	o       Options
	day     *scenario.QuotaStore
	seed    uint64
	direct  *server.ClusterConfig // at their own addresses
	lists   []string              // files, by keeper
	procs   []*childprocess.Process
	all     []*childprocess.Process
	witness *witness
	ending  bool
}

func keeperName(n int) string { return fmt.Sprintf("keeper-%d", n) }

// newKeepers starts and founds them.
func newKeepers(ctx context.Context, r *rig, o Options, d *scenario.QuotaStore, seed uint64) (*keepers, error) {
	k := &keepers{rig: r, o: o, day: d, seed: seed, witness: newWitness()}
	n := d.Count.Int()
	k.direct = &server.ClusterConfig{Groups: d.Groups.Int(), Replicas: min(d.Replicas.Int(), n), ReplaceAfter: d.Lost.Float(), SnapshotRate: 4e6, MaxLogEntries: 4096}
	for i := range n {
		spot := server.MemberConfig{Name: keeperName(i), Zone: fmt.Sprint(i % 3)}
		for _, to := range []*string{&spot.PeerAddress, &spot.CounterAddress} {
			addr, err := sockets.FreeAddress()
			if err != nil {
				return k, err
			}
			*to = addr
		}
		k.direct.Members = append(k.direct.Members, spot)
	}
	for i := range n {
		l := *k.direct
		l.Members = slices.Clone(k.direct.Members)
		for j := range l.Members {
			if j == i || o.direct {
				continue
			}
			addr, err := r.link(keeperEnd(i), keeperEnd(j)).Listen(func() (net.Conn, error) { return net.Dial("tcp", k.direct.Members[j].PeerAddress) })
			if err != nil {
				return k, err
			}
			l.Members[j].PeerAddress = addr
		}
		text, err := json.Marshal(&l)
		if err != nil {
			return k, err
		}
		path := filepath.Join(o.Dir, keeperName(i)+".json")
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return k, err
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return k, err
		}
		os.Remove(filepath.Join(o.Dir, keeperName(i)+".log")) // of an earlier play in the same folder
		os.RemoveAll(filepath.Join(o.Dir, keeperName(i)))
		k.lists = append(k.lists, path)
		k.procs = append(k.procs, nil)
		if err := k.start(i); err != nil {
			return k, err
		}
	}
	if _, err := server.Bootstrap(k.direct, nil, 30*time.Second); err != nil {
		return k, err
	}
	return k, k.whole(ctx, 30*time.Second)
}

func keeperEnd(n int) string { return fmt.Sprintf("keeper %d", n) }

func (k *keepers) start(i int) error {
	spot := k.direct.Members[i]
	args := []string{k.o.Keeper, "run", "--list", k.lists[i], "--name", spot.Name, "--peer", spot.PeerAddress, "--door", spot.CounterAddress}
	if k.day.Disk {
		args = append(args, "--dir", "held")
	}
	p, err := childprocess.StartCommand(args, spot.Name, k.o.Dir, k.o.Env...)
	if err != nil {
		return err
	}
	k.procs[i] = p
	k.all = append(k.all, p)
	return nil
}

// process is the one that runs for a keeper; nil: none does.
func (k *keepers) process(i int) *childprocess.Process {
	p := k.procs[i]
	if ended, _, _ := p.ExitState(); ended {
		return nil
	}
	return p
}

// back starts one so many seconds after the one before it has ended.
func (k *keepers) back(i int, down float64) {
	old := k.procs[i]
	go func() {
		<-old.Done()
		time.Sleep(time.Duration(down * 1e9))
		k.rig.mu.Lock()
		defer k.rig.mu.Unlock()
		if k.ending {
			return
		}
		if err := k.start(i); err != nil {
			k.o.Tell(fmt.Sprintf("keeper %d does not come back: %v", i, err))
		}
	}()
}

// who asks all keepers how they stand.
func (k *keepers) who() (all []*protocol.Admin) {
	for _, spot := range k.direct.Members {
		a, err := server.SendCommand(spot.PeerAddress, &protocol.Admin{Operation: protocol.OperationStatus}, time.Second)
		if err != nil {
			a = nil
		}
		all = append(all, a)
	}
	return all
}

// led are the groups that a keeper says it leads.
func led(a *protocol.Admin) (all []protocol.GroupHealth) {
	for i := 0; a != nil && i < len(a.Health); i++ {
		if a.Health[i].IsLeader {
			all = append(all, a.Health[i])
		}
	}
	return all
}

// leading is the keeper that leads most groups, and which.
func (k *keepers) leading() (best int, most []protocol.GroupHealth) {
	for i, a := range k.who() {
		if mine := led(a); len(mine) > len(most) {
			best, most = i, mine
		}
	}
	return best, most
}

// whole waits until all groups have a leader.
func (k *keepers) whole(ctx context.Context, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		have := map[int]bool{}
		for _, a := range k.who() {
			for _, h := range led(a) {
				have[h.Group] = true
			}
		}
		if len(have) == k.direct.Groups {
			return nil
		}
	}
	var how []string
	for i, a := range k.who() {
		if a == nil {
			how = append(how, fmt.Sprintf("%d: no answer", i))
			continue
		}
		how = append(how, fmt.Sprintf("%d: of %x, leads %d of the %d that it holds", i, a.Cluster, len(led(a)), len(a.Health)))
	}
	return fmt.Errorf("not all groups of the keepers have a leader after %v (%s)", limit, strings.Join(how, "; "))
}

// which are the keepers that a fault is of: numbers, "*", "leader" (of the most groups), or "some N" drawn by the seed.
func (k *keepers) which(n int, text string) (in []int) {
	count := len(k.procs)
	if text == "leader" {
		best, _ := k.leading()
		return []int{best}
	}
	var many int
	if _, err := fmt.Sscanf(text, "some %d", &many); err == nil {
		return randstream.New(k.seed, "keepers struck", n).Perm(count)[:min(many, count)]
	}
	in, _ = scenario.ParseNumbers(text, count) // the reader has checked it
	return in
}

// strike strikes keepers. It runs on the pump's goroutine.
func (k *keepers) strike(n int, s *scenario.ProcessFault, now, ends float64, later func(func())) {
	for _, i := range k.which(n, s.Keeper) {
		k.one(i, s, now, ends, later)
	}
}

func (k *keepers) one(i int, s *scenario.ProcessFault, now, ends float64, later func(func())) {
	r := k.rig
	r.mu.Lock()
	p := k.process(i)
	r.mu.Unlock()
	span := &Span{Kind: s.Kind, What: keeperEnd(i), Edge: -1, Begins: now, Ends: ends, to: "counter"}
	if p == nil {
		if s.Kind == "start" {
			r.note(span, true)
			k.back(i, 0)
		}
		return
	}
	switch s.Kind {
	case "kill", "wipe":
		p.Kill()
		<-p.Done()
		if s.Kind == "wipe" {
			p.RemoveDir()
		}
		if ends < forever {
			k.back(i, s.Lasts.Float())
		}
	case "term":
		p.Terminate()
		if ends < forever {
			k.back(i, s.Lasts.Float())
		}
	case "freeze":
		p.Suspend()
		later(p.Resume)
	case "starve":
		r.starve(p, s, ends)
	case "full-disk":
		p.LimitFileSize(int64(s.Size.Float()))
		later(func() {
			p.LimitFileSize(-1)
			if ended, _, _ := p.ExitState(); ended { // it ended, as it could not write
				k.back(i, 0)
			}
		})
	default:
		return
	}
	r.note(span, true)
}

// end ends all of them.
func (k *keepers) end() {
	k.rig.mu.Lock()
	k.ending = true
	all := slices.Clone(k.all)
	k.rig.mu.Unlock()
	for _, p := range all {
		p.Terminate()
	}
	for _, p := range all {
		if err := p.Stop(); err != nil {
			k.o.Tell(err.Error())
		}
	}
}

// operator writes the operator's file of an api gateway, by which it has keepers hold things, each over a link of its own.
func (k *keepers) operator(e int) (string, error) {
	var addrs []string
	for i, spot := range k.direct.Members {
		addr, err := k.rig.link(edge(e), keeperEnd(i)).ListenInProcess(func(c net.Conn) { k.frames(e, c, spot.PeerAddress) })
		if err != nil {
			return "", err
		}
		addrs = append(addrs, addr)
	}
	w := map[string]any{"copies": map[string]any{"keepers": addrs, "counts": true, "marks": true, "use": true}}
	text, err := json.Marshal(w)
	if err != nil {
		return "", err
	}
	path := filepath.Join(k.o.Dir, fmt.Sprintf("operator-%d.json", e))
	return path, os.WriteFile(path, text, 0o644)
}

// frames leads a stream of an api gateway to a keeper, and notes what is asked and answered.
func (k *keepers) frames(e int, c net.Conn, addr string) {
	up, err := net.Dial("tcp", addr)
	if err != nil {
		c.(interface{ SetLinger(int) error }).SetLinger(0)
		c.Close()
		return
	}
	from := k.witness.stream()
	go func() {
		defer up.Close()
		passed(c, up, func(f *protocol.Frame) {
			k.witness.asked(from, f)
			if len(f.Requests) > 0 {
				k.seen("called", e)
			}
		})
	}()
	passed(up, c, func(f *protocol.Frame) {
		if len(f.Responses) > 0 {
			k.seen("added", e)
		}
		k.witness.replied(from, f)
	})
	c.Close()
	up.Close()
}

// passed hands whole frames on, each told of before.
func passed(from io.Reader, to io.Writer, tell func(f *protocol.Frame)) {
	r := bufio.NewReader(from)
	for {
		body, err := protocol.ReadBody(r, protocol.MaxFrameBytes)
		if err != nil {
			return
		}
		if f, err := protocol.DecodeFrame(body); err == nil {
			tell(f)
		}
		if _, err := to.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)); err != nil {
			return
		}
	}
}

// seen tells of an event and waits until what it strikes is in force.
func (k *keepers) seen(event string, e int) {
	k.rig.mu.Lock()
	fleet := k.rig.fleet
	over := k.rig.over
	k.rig.mu.Unlock()
	if fleet == nil || over || !k.rig.awaited(event) {
		return
	}
	done := make(chan bool)
	fleet.Do(func() {
		k.rig.EventSeen(event, e)
		close(done)
	})
	select {
	case <-done:
	case <-time.After(200 * time.Millisecond): // the day is over
	}
}

// door leads an api gateway's calls in the counter's protocol to a keeper's door, and notes them.
func (k *keepers) door(e int, c net.Conn) {
	spot := k.direct.Members[e%len(k.procs)]
	up, err := net.Dial("tcp", spot.CounterAddress)
	if err != nil {
		c.(interface{ SetLinger(int) error }).SetLinger(0)
		c.Close()
		return
	}
	k.witness.calls(c, up, func(event string) { k.seen(event, e) })
	c.Close()
	up.Close()
}
