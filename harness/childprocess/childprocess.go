// Package childprocess owns processes of the program that the laboratory starts: their folder, their log, the signals they get
// and their end. It must never signal a process that it has not started, nor leave one behind.
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

// Child is a process of ours.
type Child struct {
	Name, Dir, Log string

	cmd    *exec.Cmd
	done   chan struct{}
	mu     sync.Mutex
	ended  bool
	err    error
	asked  bool // its end was asked for
	frozen int
}

// Start starts a program with a folder of its own below dir and its log beside that.
func Start(program, name, dir string, env ...string) (*Child, error) {
	return StartWith([]string{program}, name, dir, env...)
}

// StartWith starts a program with arguments.
func StartWith(args []string, name, dir string, env ...string) (*Child, error) {
	c := &Child{Name: name, Dir: filepath.Join(dir, name), Log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(c.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	program, err := filepath.Abs(args[0])
	if err != nil {
		return nil, err
	}
	c.cmd = exec.Command(program, args[1:]...)
	c.cmd.Dir = c.Dir
	c.cmd.Env = append(os.Environ(), env...)
	c.cmd.Stdout, c.cmd.Stderr = log, log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it goes when we go, however that is
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := c.cmd.Wait()
		c.mu.Lock()
		c.ended, c.err = true, err
		c.mu.Unlock()
		close(c.done)
	}()
	return c, nil
}

// Done is closed when it has ended.
func (c *Child) Done() <-chan struct{} { return c.done }

// Ended says whether it has ended, with what, and whether that was asked for.
func (c *Child) Ended() (ended, asked bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended, c.asked, c.err
}

func (c *Child) signal(s os.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended { // its number is ours as long as it has not been waited for
		c.cmd.Process.Signal(s)
	}
}

// Kill ends it outright, Term asks it to end.
func (c *Child) Kill() {
	c.ask()
	c.signal(syscall.SIGKILL)
}

func (c *Child) Term() {
	c.ask()
	c.signal(syscall.SIGTERM)
}

func (c *Child) ask() {
	c.mu.Lock()
	c.asked = true
	c.mu.Unlock()
}

// Freeze stops it; Thaw lets it go on once all that stopped it have let go.
func (c *Child) Freeze() {
	c.mu.Lock()
	c.frozen++
	c.mu.Unlock()
	c.signal(syscall.SIGSTOP)
}

func (c *Child) Thaw() {
	c.mu.Lock()
	c.frozen--
	free := c.frozen == 0
	c.mu.Unlock()
	if free {
		c.signal(syscall.SIGCONT)
	}
}

// Limit lets its files grow to so many bytes at most; negative: as they like.
func (c *Child) Limit(bytes int64) error {
	lim := unix.Rlimit{Cur: uint64(bytes), Max: unix.RLIM_INFINITY}
	if bytes < 0 {
		lim.Cur = unix.RLIM_INFINITY
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return os.ErrProcessDone
	}
	return unix.Prlimit(c.cmd.Process.Pid, unix.RLIMIT_FSIZE, &lim, nil)
}

// End ends it gently, then not, and waits for that.
func (c *Child) End() error {
	if c == nil {
		return nil
	}
	c.Term()
	c.signal(syscall.SIGCONT)
	select {
	case <-c.done:
	case <-time.After(5 * time.Second):
		c.Kill()
		<-c.done
		return fmt.Errorf("%s did not end within 5 s of SIGTERM", c.Name)
	}
	return nil
}

// Wipe removes its folder, which an ended process no longer needs.
func (c *Child) Wipe() error { return os.RemoveAll(c.Dir) }
