package childprocess

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stopTimeout is how long Stop waits after SIGTERM before it sends SIGKILL.
const stopTimeout = 5 * time.Second

// Process is a child process. Its methods may be called from several goroutines.
type Process struct {
	Name    string
	Dir     string // its working folder
	LogPath string // takes what it prints, both streams

	command *exec.Cmd
	done    chan struct{} // closed when it has exited

	mu            sync.Mutex // guards all below
	exited        bool
	exitErr       error
	stopRequested bool
	suspensions   int // calls of Suspend without their Resume
}

// StopTimeoutError is a process that did not exit in time after SIGTERM and was killed.
type StopTimeoutError struct {
	Name    string
	Timeout time.Duration
}

// Error names the process and the time it had.
func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("%s did not end within %g s of SIGTERM", e.Name, e.Timeout.Seconds())
}

// Start starts a program without arguments; see StartCommand.
func Start(program, name, dir string, env ...string) (*Process, error) {
	return StartCommand([]string{program}, name, dir, env...)
}

// StartCommand starts a program with its arguments in the working folder dir/name, which it makes, and appends what the program
// prints to dir/name.log. env is added to the environment of this process, each as KEY=VALUE. The child is killed when this
// process ends, however that comes about.
func StartCommand(command []string, name, dir string, env ...string) (*Process, error) {
	p := &Process{
		Name:    name,
		Dir:     filepath.Join(dir, name),
		LogPath: filepath.Join(dir, name+".log"),
		done:    make(chan struct{}),
	}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	program, err := filepath.Abs(command[0])
	if err != nil {
		return nil, err
	}
	p.command = exec.Command(program, command[1:]...)
	p.command.Dir = p.Dir
	p.command.Env = append(os.Environ(), env...)
	p.command.Stdout = log
	p.command.Stderr = log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.command.Wait()
	p.mu.Lock()
	p.exited = true
	p.exitErr = err
	p.mu.Unlock()
	close(p.done)
}

// Done is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitState tells whether the process has exited, whether Kill, Terminate or Stop was called before, and the error of its exit:
// nil for exit code 0, else an *exec.ExitError.
func (p *Process) ExitState() (exited, requested bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited, p.stopRequested, p.exitErr
}

// signal sends a signal unless the process has been waited for: until then no other process can have its number.
func (p *Process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.exited {
		_ = p.command.Process.Signal(s) // fails only if it has exited meanwhile, which Done tells
	}
}

// Kill sends SIGKILL and doesn't wait.
func (p *Process) Kill() {
	p.requestStop()
	p.signal(syscall.SIGKILL)
}

// Terminate sends SIGTERM and doesn't wait.
func (p *Process) Terminate() {
	p.requestStop()
	p.signal(syscall.SIGTERM)
}

func (p *Process) requestStop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = true
}

// Suspend stops the process with SIGSTOP until Resume has been called as often as Suspend.
func (p *Process) Suspend() {
	p.mu.Lock()
	p.suspensions++
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
}

// Resume takes back one Suspend; after the last one the process goes on.
func (p *Process) Resume() {
	p.mu.Lock()
	p.suspensions--
	free := p.suspensions == 0
	p.mu.Unlock()
	if free {
		p.signal(syscall.SIGCONT)
	}
}

// LimitFileSize lets the files of the process grow to so many bytes at most, as a full disk does. A negative number removes the
// limit. It returns os.ErrProcessDone if the process has exited.
func (p *Process) LimitFileSize(bytes int64) error {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if bytes >= 0 {
		limit.Cur = uint64(bytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited {
		return os.ErrProcessDone
	}
	return unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// Stop ends the process with SIGTERM, also a suspended one, and waits until it has exited. If that takes more than 5 s it kills the
// process and returns a *StopTimeoutError. A nil process is nothing to stop.
func (p *Process) Stop() error {
	if p == nil {
		return nil
	}
	p.Terminate()
	p.signal(syscall.SIGCONT)
	select {
	case <-p.done:
		return nil
	case <-time.After(stopTimeout):
		p.Kill()
		<-p.done
		return &StopTimeoutError{Name: p.Name, Timeout: stopTimeout}
	}
}

// RemoveDir removes the working folder of a process that has exited.
func (p *Process) RemoveDir() error { return os.RemoveAll(p.Dir) }
