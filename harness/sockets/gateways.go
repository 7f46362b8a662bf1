package sockets

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"otterseam/harness/childprocess"
)

const (
	// startTimeout is how long an api gateway may take until it is ready; the platform gives it as long.
	startTimeout     = 30 * time.Second
	healthTimeout    = time.Second
	healthInterval   = 10 * time.Millisecond
	secondRunTimeout = 5 * time.Second
	// noticeOfTermination is how long the front goes on sending to an api gateway that was asked to end, in seconds.
	noticeOfTermination = 0.2
)

// Errors of an api gateway's start.
var (
	ErrNotReady = errors.New("it did not say in 30 s that it is ready")
	ErrExited   = errors.New("it has ended")
)

// Gateways are the api gateway processes of a scenario: which run, which get requests of clients, which come back. All methods but Do
// are called on the event loop's goroutine.
type Gateways struct {
	ctx       context.Context // of the whole run: nobody is started after its end
	options   Options
	clients   *Clients
	configs   []string // paths, by api gateway
	addresses []string // where they listen
	current   []*childprocess.Process
	started   []*childprocess.Process // all that ever were
	running   bool                    // the scenario has begun and not ended
	onRestart func(gateway int)       // a process starts with what its configuration says
}

func gatewayName(gateway int) string { return fmt.Sprintf("edge-%d", gateway) }

// start starts a process of an api gateway.
func (g *Gateways) start(gateway int) (*childprocess.Process, error) {
	env := append([]string{"EDGE_CONFIG=" + g.configs[gateway], "GODEBUG=schedtrace=2000000000"}, g.options.Env...)
	if g.options.EnvOf != nil {
		env = append(env, g.options.EnvOf(gateway)...)
	}
	process, err := childprocess.Start(g.options.Gateway, gatewayName(gateway), g.options.Dir, env...)
	if err != nil {
		return nil, err
	}
	g.started = append(g.started, process)
	go func() {
		<-process.Done()
		g.Do(func() { g.exited(gateway, process) })
	}()
	return process, nil
}

// startAll starts all api gateways one after the other and waits until each is ready.
func (g *Gateways) startAll() error {
	for gateway := range g.current {
		process, err := g.start(gateway)
		if err == nil {
			g.current[gateway] = process
			err = waitReady(g.ctx, g.addresses[gateway], process)
		}
		if err != nil {
			return fmt.Errorf("api gateway %d does not come up: %w (its log is in %s)", gateway, err, g.options.Dir)
		}
	}
	return nil
}

// exited handles the end of a process; one that nobody asked for is a crash. Until all have begun, whoever starts them looks.
func (g *Gateways) exited(gateway int, process *childprocess.Process) {
	_, requested, err := process.ExitState()
	if !g.running || requested || g.current[gateway] != process {
		return
	}
	g.options.Report(fmt.Sprintf("%.1f s: api gateway %d has ended by itself: %v", g.clients.Queue.Now(), gateway, err))
	g.clients.Oracle.GatewayCrashed(gateway, err)
	g.clients.up[gateway] = false
}

// Process is the one that runs for an api gateway; nil: none does.
func (g *Gateways) Process(gateway int) *childprocess.Process {
	process := g.current[gateway]
	if process == nil {
		return nil
	}
	if exited, _, _ := process.ExitState(); exited {
		return nil
	}
	return process
}

// Do has a function called on the event loop's goroutine.
func (g *Gateways) Do(call func()) { g.clients.loop.Do(call) }

// Kill ends an api gateway with SIGKILL. Clients go on coming to it until the front notices.
func (g *Gateways) Kill(gateway int) {
	if process := g.Process(gateway); process != nil {
		process.Kill()
		g.stopRequestsAfter(gateway, process, g.clients.Day.Gateway.FailureNotice.Float())
	}
}

// Terminate ends an api gateway with SIGTERM. Soon the front sends it nothing more.
func (g *Gateways) Terminate(gateway int) {
	if process := g.Process(gateway); process != nil {
		process.Terminate()
		g.stopRequestsAfter(gateway, process, noticeOfTermination)
	}
}

// stopRequestsAfter has clients no longer come after a delay in seconds, unless another process runs by then.
func (g *Gateways) stopRequestsAfter(gateway int, process *childprocess.Process, delay float64) {
	g.clients.Queue.ScheduleAfter(delay, func() {
		if g.current[gateway] == process {
			g.clients.up[gateway] = false
		}
	})
}

// StartSecond starts a second process under the name of an api gateway that runs. ended is told how it exited, or nil if it still runs
// after 5 s.
func (g *Gateways) StartSecond(gateway int, ended func(err error)) error {
	process, err := g.start(gateway)
	if err != nil {
		return err
	}
	go func() {
		select {
		case <-process.Done():
			_, _, err := process.ExitState()
			g.Do(func() { ended(err) })
		case <-time.After(secondRunTimeout):
			g.Do(func() { ended(nil) })
		}
	}()
	return nil
}

// RestartAfter starts an api gateway so many seconds after its process has ended, and lets clients come once it is ready.
func (g *Gateways) RestartAfter(gateway int, delay float64) {
	old := g.current[gateway]
	go func() {
		if old != nil {
			<-old.Done()
		}
		select {
		case <-time.After(seconds(delay)):
			g.Do(func() { g.restart(gateway) })
		case <-g.ctx.Done():
		}
	}()
}

func (g *Gateways) restart(gateway int) {
	if g.Process(gateway) != nil || g.ctx.Err() != nil {
		return
	}
	g.onRestart(gateway)
	process, err := g.start(gateway)
	if err != nil {
		g.options.Report(fmt.Sprintf("api gateway %d does not come back: %v", gateway, err))
		return
	}
	g.current[gateway] = process
	go func() {
		err := waitReady(g.ctx, g.addresses[gateway], process)
		g.Do(func() {
			if err != nil && g.current[gateway] == process {
				g.options.Report(fmt.Sprintf("api gateway %d does not come back: %v", gateway, err))
				return
			}
			g.clients.up[gateway] = true
		})
	}()
}

// end ends all processes that were ever started.
func (g *Gateways) end() {
	g.running = false
	for _, process := range g.started {
		process.Terminate()
	}
	for _, process := range g.started {
		if err := process.Stop(); err != nil {
			g.options.Report(err.Error())
		}
	}
}

// waitReady waits until an api gateway says that it is ready. It returns ErrNotReady after startTimeout, and ErrExited if the process has
// ended.
func waitReady(ctx context.Context, address string, process *childprocess.Process) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(healthInterval) {
		select {
		case <-process.Done():
			_, _, err := process.ExitState()
			if err == nil {
				return ErrExited
			}
			return fmt.Errorf("%w: %w", ErrExited, err)
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if isHealthy(address) {
			return nil
		}
	}
	return ErrNotReady
}

func isHealthy(address string) bool {
	tcp, err := net.DialTimeout("tcp", address, healthTimeout)
	if err != nil {
		return false
	}
	defer tcp.Close()
	if err := tcp.SetDeadline(time.Now().Add(healthTimeout)); err != nil {
		return false
	}
	if _, err := io.WriteString(tcp, "GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n"); err != nil {
		return false
	}
	line, err := bufio.NewReader(tcp).ReadString('\n')
	return err == nil && strings.Contains(line, " 200 ")
}
