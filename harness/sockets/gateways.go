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
	// startTimeout is the time limit for an api gateway to become ready. It is the same as the platform's.
	startTimeout     = 30 * time.Second
	healthTimeout    = time.Second
	healthInterval   = 10 * time.Millisecond
	secondRunTimeout = 5 * time.Second
	// terminationNotice is the time that the front keeps routing to an api gateway after SIGTERM, in seconds.
	terminationNotice = 0.2
)

// Errors when an api gateway starts.
var (
	ErrNotReady = errors.New("it did not become ready within 30 s")
	ErrExited   = errors.New("its process has exited")
)

// Gateways manages the api gateway processes of a scenario: it starts, ends and restarts them and sets which of them receive client
// requests. All methods but Do are called on the event loop's goroutine.
type Gateways struct {
	ctx       context.Context // of the whole run; no process is started after it is done
	options   Options
	clients   *Clients
	configs   []string // paths, by api gateway
	addresses []string // listen addresses, by api gateway
	current   []*childprocess.Process
	started   []*childprocess.Process // all processes, including those that have exited
	running   bool                    // the scenario has begun and has not ended
	onRestart func(gateway int)       // called before a process restarts with its original configuration
}

func gatewayName(gateway int) string { return fmt.Sprintf("edge-%d", gateway) }

// start starts a process for an api gateway.
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
		g.Do(func() { g.handleExit(gateway, process) })
	}()
	return process, nil
}

// startAll starts the api gateways one after another and waits until each is ready.
func (g *Gateways) startAll() error {
	for gateway := range g.current {
		process, err := g.start(gateway)
		if err == nil {
			g.current[gateway] = process
			err = waitReady(g.ctx, g.addresses[gateway], process)
		}
		if err != nil {
			return fmt.Errorf("api gateway %d failed to start: %w (its log is in %s)", gateway, err, g.options.Dir)
		}
	}
	return nil
}

// handleExit handles the exit of a process. An exit that was not requested is reported as a crash. Before the scenario begins, startAll detects
// exits itself.
func (g *Gateways) handleExit(gateway int, process *childprocess.Process) {
	_, requested, err := process.ExitState()
	if !g.running || requested || g.current[gateway] != process {
		return
	}
	g.options.Report(fmt.Sprintf("%.1f s: api gateway %d has ended by itself: %v", g.clients.Queue.Now(), gateway, err))
	g.clients.Oracle.GatewayCrashed(gateway, err)
	g.clients.up[gateway] = false
}

// Process returns the running process of an api gateway, or nil if there is none.
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

// Do calls a function on the event loop's goroutine.
func (g *Gateways) Do(call func()) { g.clients.loop.Do(call) }

// Kill ends an api gateway with SIGKILL. Clients keep sending to it until the front detects the failure.
func (g *Gateways) Kill(gateway int) {
	if process := g.Process(gateway); process != nil {
		process.Kill()
		g.stopRequestsAfter(gateway, process, g.clients.Day.Gateway.FailureNotice.Float())
	}
}

// Terminate ends an api gateway with SIGTERM. The front stops routing to it after terminationNotice.
func (g *Gateways) Terminate(gateway int) {
	if process := g.Process(gateway); process != nil {
		process.Terminate()
		g.stopRequestsAfter(gateway, process, terminationNotice)
	}
}

// stopRequestsAfter stops the routing of clients to an api gateway after a delay in seconds, unless process was replaced by then.
func (g *Gateways) stopRequestsAfter(gateway int, process *childprocess.Process, delay float64) {
	g.clients.Queue.ScheduleAfter(delay, func() {
		if g.current[gateway] == process {
			g.clients.up[gateway] = false
		}
	})
}

// StartSecond starts a second process with the name and configuration of a running api gateway. It calls ended with the exit error of the
// process, or with nil if the process exited with code 0 or still runs after 5 s.
func (g *Gateways) StartSecond(gateway int, onExit func(err error)) error {
	process, err := g.start(gateway)
	if err != nil {
		return err
	}
	go func() {
		select {
		case <-process.Done():
			_, _, err := process.ExitState()
			g.Do(func() { onExit(err) })
		case <-time.After(secondRunTimeout):
			g.Do(func() { onExit(nil) })
		}
	}()
	return nil
}

// RestartAfter restarts an api gateway delay seconds after its process has exited and routes clients to it once it is ready.
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
		g.options.Report(fmt.Sprintf("api gateway %d failed to restart: %v", gateway, err))
		return
	}
	g.current[gateway] = process
	go func() {
		err := waitReady(g.ctx, g.addresses[gateway], process)
		g.Do(func() {
			if err != nil && g.current[gateway] == process {
				g.options.Report(fmt.Sprintf("api gateway %d failed to restart: %v", gateway, err))
				return
			}
			g.clients.up[gateway] = true
		})
	}()
}

// end stops all processes, including second ones, and reports those that had to be killed.
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

// waitReady waits until an api gateway's health check succeeds. It returns ErrNotReady after startTimeout, and ErrExited if the process has
// exited.
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
