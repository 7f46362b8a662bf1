// Package leakcheck finds goroutines and descriptors that a test leaves behind. It must never be linked into a program that serves.
package leakcheck

import (
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	patience = 3 * time.Second      // for what is about to end
	look     = 5 * time.Millisecond // how often it is counted
)

var (
	mu      sync.Mutex
	checked = map[testing.TB]bool{}
)

// Check fails the test if, once all that it cleans up has been cleaned up, more goroutines run or more descriptors are open
// than now. It is to be called before what may leak is made; whoever makes something may call it, and the first call counts.
func Check(t testing.TB) {
	t.Helper()
	mu.Lock()
	again := checked[t]
	checked[t] = true
	mu.Unlock()
	if again {
		return
	}
	if l, err := net.Listen("tcp", "127.0.0.1:0"); err == nil { // what the runtime keeps for sockets is there from now on
		l.Close()
	}
	goroutines, descriptors := runtime.NumGoroutine(), open()
	t.Cleanup(func() {
		mu.Lock()
		delete(checked, t)
		mu.Unlock()
		var g, d int
		for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(look) {
			if g, d = runtime.NumGoroutine(), open(); g <= goroutines && d <= descriptors {
				return
			}
		}
		stacks := make([]byte, 64<<10)
		stacks = stacks[:runtime.Stack(stacks, true)]
		t.Errorf("%d goroutines where %d were, %d descriptors where %d were: %s\n%s", g, goroutines, d, descriptors,
			strings.Join(targets(), ", "), stacks)
	})
}

func open() int { return len(targets()) }

// targets are the descriptors that are open, but for the one that looks.
func targets() (all []string) {
	const dir = "/proc/self/fd"
	f, err := os.Open(dir)
	if err != nil {
		return nil // no such table here: only goroutines are counted
	}
	defer f.Close()
	names, _ := f.Readdirnames(-1)
	for _, n := range names {
		if to, err := os.Readlink(dir + "/" + n); err == nil && !strings.HasSuffix(to, "/fd") {
			all = append(all, to)
		}
	}
	return all
}
