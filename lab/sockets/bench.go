package sockets

// This file owns a day on sockets as a whole: stand-ins, clients and api gateway processes of our own, started and ended
// here and nowhere else.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"otterseam/choice"
	"otterseam/drive"
	"otterseam/lab/day"
	"otterseam/lab/edge"
	"otterseam/lab/figures"
	"otterseam/lab/model"
	"otterseam/lab/play"
)

// nobody is the decider of a day whose api gateways stand elsewhere.
type nobody string

func (n nobody) Name() string { return string(n) }
func (n nobody) Err() error   { return nil }
func (n nobody) End()         {}

func (n nobody) Mind(*play.World, int, uint64, drive.Out) (edge.Mind, error) {
	return nil, errors.New("the api gateways of this day stand elsewhere")
}

// Check says what of a day can't be played on sockets.
func Check(d *day.Day) error {
	if n := int(d.Fleet.Gateways.Hi) * int(d.Fleet.Hosts.Hi); n > 4000 {
		return fmt.Errorf("%s: %d api gateways times %d hosts are more listeners than one machine should hold: at most 4000", d.Name,
			int(d.Fleet.Gateways.Hi), int(d.Fleet.Hosts.Hi))
	}
	for _, t := range d.Troubles {
		switch t.Kind {
		case "starve", "mail-loss":
			return fmt.Errorf("%s: the trouble %s can be played by the model only", d.Name, t.Kind)
		}
	}
	return nil
}

// StandIn plays a day's hosts, counter and discovery until it is over or ctx ends; configurations for the api gateways
// are written into dir first. ready is told their paths.
func StandIn(ctx context.Context, d *day.Day, seed uint64, dir string, listens []string, ready func(paths []string)) (*figures.Figures, error) {
	if err := Check(d); err != nil {
		return nil, err
	}
	door := &nobodyAsks{}
	var s *StandIns
	w := play.New(d, seed, nobody("stand-ins"), play.Outside(door, func(g int, l choice.Listed) { s.Told(g, l) }))
	w.Referee.Second = true
	p := newPump(w.Queue)
	n := w.Day.Fleet.Gateways.N()
	var err error
	if s, err = stand(w, p, n); s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	s.base = float64(time.Now().UnixNano()) / 1e9
	paths, _, err := s.Write(dir, n, 64, listens)
	if err != nil {
		return nil, err
	}
	ready(paths)
	w.BeginWithout()
	p.run(ctx, w.Day.Length.V()) // the day begins with the pump
	return w.Close(), nil
}

// nobodyAsks is the door of a day without clients.
type nobodyAsks struct{}

func (nobodyAsks) Arrive(*model.Invocation) bool { return false }
func (nobodyAsks) Admits(int) bool               { return true }
func (nobodyAsks) Asked(*model.Need)             {}
func (nobodyAsks) Closed(*model.Need, float64)   {}
func (nobodyAsks) Tried(*model.Invocation)       {}
func (nobodyAsks) Done(model.Ending)             {}

// Load lets a day's customers ask api gateways at addresses on loopback, and gives what they got. Nobody knows here
// whether there was room.
func Load(ctx context.Context, d *day.Day, seed uint64, addrs []string) (*figures.Figures, float64, error) {
	for _, a := range addrs {
		if err := loopback(a); err != nil {
			return nil, 0, err
		}
	}
	c := &Clients{addrs: addrs}
	w := play.New(d, seed, nobody("load"), play.Outside(c, func(int, choice.Listed) {}))
	c.attach(w)
	w.Begin()
	c.pump.run(ctx, w.Ends())
	c.drain()
	return w.Close(), c.pump.late, nil
}

func (c *Clients) attach(w *play.World) {
	c.World, c.pump = w, newPump(w.Queue)
	for range c.addrs {
		c.up = append(c.up, true)
		c.idle = append(c.idle, map[*client]bool{})
	}
}

// drain waits for what is still asked; its time is over anyway.
func (c *Clients) drain() {
	done := make(chan bool)
	go func() { c.flying.Wait(); close(done) }()
	for {
		select {
		case <-c.pump.in:
		case <-done:
			c.mu.Lock()
			for _, idle := range c.idle {
				for k := range idle {
					k.tcp.Close()
				}
			}
			c.mu.Unlock()
			return
		}
	}
}

// Options say with what a day is played on sockets.
type Options struct {
	Gateway string // the program of the api gateway
	Dir     string // for configurations and logs
	Memory  float64
	Tell    func(text string)
}

// process is an api gateway of ours.
type process struct {
	cmd  *exec.Cmd
	done chan error
}

// Play plays a day on sockets: it starts an api gateway process for each, lets the customers ask once all are ready, and
// ends the processes it started.
func Play(ctx context.Context, d *day.Day, seed uint64, o Options) (*figures.Figures, *play.World, error) {
	if err := Check(d); err != nil {
		return nil, nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := &Clients{judge: true}
	var s *StandIns
	w := play.New(d, seed, nobody("sockets"), play.Outside(c, func(g int, l choice.Listed) { s.Told(g, l) }))
	w.Referee.Second = true
	n := w.Day.Fleet.Gateways.N()
	for range n {
		c.addrs = append(c.addrs, "")
	}
	c.attach(w)
	var err error
	if s, err = stand(w, c.pump, n); s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, nil, err
	}
	s.base = float64(time.Now().UnixNano()) / 1e9
	s.lost = func(ref string) {
		w.Referee.Foreign(ref, fmt.Sprintf("a host got %.40q, which no client has sent", ref))
	}
	c.began = func(inv *model.Invocation) { s.known[inv.Ref] = inv }
	c.ended = func(inv *model.Invocation) { w.Queue.After(5, func() { delete(s.known, inv.Ref) }) }
	paths, addrs, err := s.Write(o.Dir, n, o.Memory, nil)
	if err != nil {
		return nil, nil, err
	}
	copy(c.addrs, addrs)
	for g := range n {
		for _, l := range s.List(g) {
			w.Referee.Told(g, w.Host(l.Addr).Number, l.State, l.Since)
		}
	}
	// The stand-ins must answer while the api gateways start; the day itself begins once all are ready.
	starting, ready := context.WithCancel(ctx)
	pumped := make(chan bool)
	go func() { c.pump.run(starting, 3600); close(pumped) }()
	procs := make([]*process, n)
	end := func() {
		for _, p := range procs {
			p.end()
		}
	}
	for g := range n {
		if procs[g], err = launch(o, paths[g], fmt.Sprintf("edge-%d", g)); err == nil {
			err = healthy(ctx, addrs[g], procs[g])
		}
		if err != nil {
			ready()
			<-pumped
			end()
			return nil, nil, fmt.Errorf("api gateway %d does not come up: %w (its log is in %s)", g, err, o.Dir)
		}
	}
	ready()
	<-pumped
	// The model's clock starts anew for the day: what has happened so far is connections and watches alone.
	w.Begin()
	w.Killer = func(slot int, down float64, gently bool) {
		o.Tell(fmt.Sprintf("%.1f s: api gateway %d ends", w.Queue.Now(), slot))
		old := procs[slot]
		sig := syscall.SIGKILL
		if gently {
			sig = syscall.SIGTERM
		}
		old.cmd.Process.Signal(sig)
		if gently {
			c.up[slot] = false
		} else {
			w.Queue.After(w.Day.Gateway.Notice.V(), func() { c.up[slot] = false })
		}
		go func() {
			<-old.done
			old.done <- nil
			time.Sleep(time.Duration(down * 1e9))
			p, err := launch(o, paths[slot], fmt.Sprintf("edge-%d", slot))
			if err == nil {
				err = healthy(ctx, addrs[slot], p)
			}
			c.pump.Do(func() {
				if err != nil {
					o.Tell(fmt.Sprintf("api gateway %d does not come back: %v", slot, err))
					return
				}
				procs[slot], c.up[slot] = p, true
			})
		}()
	}
	c.pump.resume(ctx, w.Ends())
	end()
	c.drain()
	f := w.Close()
	if c.pump.late > 0.02 {
		o.Tell(fmt.Sprintf("this machine was too busy: an event came %.0f ms late", 1000*c.pump.late))
	}
	return f, w, ctx.Err()
}

func launch(o Options, config, name string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(o.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(o.Gateway)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config, "GODEBUG=schedtrace=2000000000")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan error, 2)}
	go func() { p.done <- cmd.Wait() }()
	return p, nil
}

// end ends a process of ours: gently, then not.
func (p *process) end() {
	if p == nil {
		return
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(5 * time.Second):
		p.cmd.Process.Kill()
		<-p.done
	}
}

// healthy waits until an api gateway says that it is ready, for as long as the platform does: 30 s.
func healthy(ctx context.Context, addr string, p *process) error {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); {
		select {
		case err := <-p.done:
			p.done <- err
			return fmt.Errorf("it has ended: %v", err)
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if tcp, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			tcp.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(tcp, "GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n")
			line, _ := bufio.NewReader(tcp).ReadString('\n')
			tcp.Close()
			if strings.Contains(line, " 200 ") {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("it did not say in 30 s that it is ready")
}
