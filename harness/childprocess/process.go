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
	LogPath string // file that receives its standard output and standard error

	command *exec.Cmd
	done    chan struct{} // closed when it has exited

	mu            sync.Mutex // guards all below
	exited        bool
	exitErr       error
	stopRequested bool
	suspensions   int // calls of Suspend not yet undone by Resume
}

// StopTimeoutError reports a process that did not exit within Timeout after SIGTERM and was killed.
type StopTimeoutError struct {
	Name    string
	Timeout time.Duration
}

// Error returns the process name and the timeout.
func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("%s did not exit within %g s of SIGTERM", e.Name, e.Timeout.Seconds())
}

// Start starts a program without arguments; see StartCommand.
func Start(program, name, dir string, env ...string) (*Process, error) {
	return StartCommand([]string{program}, name, dir, env...)
}

// StartCommand starts a program with its arguments in the working folder dir/name, which it creates, and appends the program's
// output to dir/name.log. The child's environment is that of this process plus env, each entry as KEY=VALUE. The kernel kills the
// child when this process ends for any reason.
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

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitState reports whether the process has exited, whether Kill, Terminate or Stop was called, and the error of the exit, which is
// nil for exit code 0 and otherwise an *exec.ExitError.
func (p *Process) ExitState() (exited, requested bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited, p.stopRequested, p.exitErr
}

// signal sends a signal unless the process has been reaped. Until then its process ID can't be reused for another process.
func (p *Process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.exited {
		_ = p.command.Process.Signal(s) // fails only if it has exited in the meantime, which Done reports
	}
}

// Kill sends SIGKILL and doesn't wait for the exit.
func (p *Process) Kill() {
	p.requestStop()
	p.signal(syscall.SIGKILL)
}

// Terminate sends SIGTERM and doesn't wait for the exit.
func (p *Process) Terminate() {
	p.requestStop()
	p.signal(syscall.SIGTERM)
}

func (p *Process) requestStop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = true
}

// Suspend pauses the process with SIGSTOP until Resume has been called as many times as Suspend.
func (p *Process) Suspend() {
	p.mu.Lock()
	p.suspensions++
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
}

// Resume undoes one Suspend. When all are undone, the process continues.
func (p *Process) Resume() {
	p.mu.Lock()
	p.suspensions--
	resume := p.suspensions == 0
	p.mu.Unlock()
	if resume {
		p.signal(syscall.SIGCONT)
	}
}

// LimitFileSize limits the size of files that the process writes to bytes, which simulates a full disk. A negative number removes
// the limit. It returns os.ErrProcessDone if the process has exited.
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

// Stop sends SIGTERM to the process, resumes it if it is suspended, and waits until it has exited. If that takes more than 5 s,
// Stop kills the process and returns a *StopTimeoutError. Stop on a nil process does nothing.
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
