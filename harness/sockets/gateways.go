package sockets

// This file owns the api gateway processes of a day: who runs, who is admitted to, who comes back. All of it happens on
// the pump's goroutine.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"otterseam/harness/childprocess"
	"otterseam/sim/model"
	"otterseam/sim/simulation"
)

// Interceptor stands between the processes of a day. Without one they reach each other as they are.
type Interceptor interface {
	// ListenFor gives the address at which an api gateway reaches a part ("counter", "discovery", "host 3"); each gets the
	// part's side of each connection.
	ListenFor(edge int, to string, each func(c net.Conn)) (string, error)
	// ClientAddress gives the address at which clients reach an api gateway that listens at addr.
	ClientAddress(edge int, addr string) (string, error)
	// PeerAddresses gives the addresses under which api gateways know each other, from those at which they listen.
	PeerAddresses(own []string) ([]string, error)
	// Begin is called when the day begins, on the pump's goroutine, on which it may call g.
	Begin(w *simulation.Simulation, g *Gateways)
	// End is called as the day ends, before its processes are ended.
	End(g *Gateways)
	// EventSeen tells of an event at an api gateway before what follows from it.
	EventSeen(event string, edge int)
	// FaultSince says that a fault was in force since a clock time on the way of an api gateway to a part, or ("") on itself.
	FaultSince(edge int, to string, since float64) bool
	// UnreachableSince says that an api gateway could not be reached behind its door since a clock time.
	UnreachableSince(edge int, since float64) bool
	// TraceInvocation tells of something that happened to an invocation, for its story.
	TraceInvocation(edge int, ref, text string)
}

// Gateways are the api gateway processes of a day.
type Gateways struct {
	ctx     context.Context
	o       Options
	clients *Clients
	paths   []string
	addrs   []string // where they listen
	procs   []*childprocess.Process
	all     []*childprocess.Process
	begun   bool
	anew    func(slot int) // a process starts with what its configuration says
}

func (g *Gateways) name(slot int) string { return fmt.Sprintf("edge-%d", slot) }

func (g *Gateways) launch(slot int) (*childprocess.Process, error) {
	env := append([]string{"EDGE_CONFIG=" + g.paths[slot], "GODEBUG=schedtrace=2000000000"}, g.o.Env...)
	if g.o.EnvOf != nil {
		env = append(env, g.o.EnvOf(slot)...)
	}
	p, err := childprocess.Start(g.o.Gateway, g.name(slot), g.o.Dir, env...)
	if err != nil {
		return nil, err
	}
	g.all = append(g.all, p)
	go func() {
		<-p.Done()
		g.clients.pump.Do(func() { g.ended(slot, p) })
	}()
	return p, nil
}

// ended: a process has ended; one whose end nobody asked for has crashed.
func (g *Gateways) ended(slot int, p *childprocess.Process) {
	_, asked, err := p.ExitState()
	if !g.begun || asked || g.procs[slot] != p { // till all have begun, who starts them looks
		return
	}
	g.o.Tell(fmt.Sprintf("%.1f s: api gateway %d has ended by itself: %v", g.clients.Queue.Now(), slot, err))
	g.clients.Oracle.GatewayCrashed(slot, err)
	g.clients.up[slot] = false
}

// Process is the one that runs for an api gateway; nil: none does.
func (g *Gateways) Process(slot int) *childprocess.Process {
	p := g.procs[slot]
	if p == nil {
		return nil
	}
	if ended, _, _ := p.ExitState(); ended {
		return nil
	}
	return p
}

// Running is how many run.
func (g *Gateways) Running() (n int) {
	for slot := range g.procs {
		if g.Process(slot) != nil {
			n++
		}
	}
	return n
}

// Do has f called on the pump's goroutine.
func (g *Gateways) Do(f func()) { g.clients.pump.Do(f) }

// Kill ends one outright: the front notices its death later.
func (g *Gateways) Kill(slot int) {
	if p := g.Process(slot); p != nil {
		p.Kill()
		g.unnoticed(slot, p)
	}
}

// unnoticed: clients go on coming to a dead one until the front notices.
func (g *Gateways) unnoticed(slot int, p *childprocess.Process) {
	g.clients.Queue.ScheduleAfter(g.clients.Day.Gateway.Notice.V(), func() {
		if g.procs[slot] == p {
			g.clients.up[slot] = false
		}
	})
}

// late is for how long the front goes on sending to one that was asked to end, in seconds.
const late = 0.2

// Term asks one to end: soon the front sends it nothing more.
func (g *Gateways) Term(slot int) {
	if p := g.Process(slot); p != nil {
		p.Terminate()
		g.clients.Queue.ScheduleAfter(late, func() {
			if g.procs[slot] == p {
				g.clients.up[slot] = false
			}
		})
	}
}

// Twice starts a second process under the name of one that runs, and says what became of it.
func (g *Gateways) Twice(slot int, became func(err error)) error {
	p, err := g.launch(slot)
	if err != nil {
		return err
	}
	go func() {
		select {
		case <-p.Done():
			_, _, err := p.ExitState()
			g.Do(func() { became(err) })
		case <-time.After(5 * time.Second):
			g.Do(func() { became(nil) })
		}
	}()
	return nil
}

// Back starts one so many seconds after the one before it has ended, and admits clients once it is ready.
func (g *Gateways) Back(slot int, down float64) {
	old := g.procs[slot]
	go func() {
		if old != nil {
			<-old.Done()
		}
		select {
		case <-time.After(time.Duration(down * 1e9)):
		case <-g.ctx.Done():
			return
		}
		g.Do(func() {
			if g.Process(slot) != nil || g.ctx.Err() != nil {
				return
			}
			g.anew(slot)
			p, err := g.launch(slot)
			if err != nil {
				g.o.Tell(fmt.Sprintf("api gateway %d does not come back: %v", slot, err))
				return
			}
			g.procs[slot] = p
			go func() {
				err := healthy(g.ctx, g.addrs[slot], p)
				g.Do(func() {
					if err != nil && g.procs[slot] == p {
						g.o.Tell(fmt.Sprintf("api gateway %d does not come back: %v", slot, err))
						return
					}
					g.clients.up[slot] = true
				})
			}()
		})
	}()
}

// end ends all that were ever started.
func (g *Gateways) end() {
	g.begun = false
	for _, p := range g.all {
		p.Terminate()
	}
	for _, p := range g.all {
		if err := p.Stop(); err != nil {
			g.o.Tell(err.Error())
		}
	}
}

// healthy waits until an api gateway says that it is ready, for as long as the platform does: 30 s.
func healthy(ctx context.Context, addr string, p *childprocess.Process) error {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); {
		select {
		case <-p.Done():
			_, _, err := p.ExitState()
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

// direct is a day without a rig.
type direct struct{ s *StandIns }

func (d direct) ListenFor(_ int, _ string, each func(c net.Conn)) (string, error) {
	return d.s.listen(each)
}
func (direct) ClientAddress(_ int, addr string) (string, error) { return addr, nil }
func (direct) PeerAddresses(own []string) ([]string, error)     { return own, nil }
func (direct) Begin(*simulation.Simulation, *Gateways) {}
func (direct) End(*Gateways)                           {}
func (direct) EventSeen(string, int)                        {}
func (direct) FaultSince(int, string, float64) bool        { return false }
func (direct) UnreachableSince(int, float64) bool                  { return false }
func (direct) TraceInvocation(int, string, string)                {}

// unanswered: its client got nothing.
func unanswered(how model.Outcome) bool { return how == model.Unanswered || how == model.Broken }
