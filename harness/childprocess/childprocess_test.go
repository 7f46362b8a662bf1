package childprocess

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// script starts a shell script as a child: it counts in its folder and in its log.
func script(t *testing.T, text string) *Child {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "script")
	os.WriteFile(path, []byte("#!/bin/sh\n"+text), 0o755)
	c, err := Start(path, "one", dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.End() })
	return c
}

const counting = "trap 'echo bye; exit 0' TERM\nwhile true; do echo tick; echo x >> f; sleep 0.01; done\n"

func size(c *Child) int {
	b, _ := os.ReadFile(c.Log)
	return len(b)
}

// grows says whether the log grows within a time.
func grows(c *Child, within time.Duration) bool {
	was := size(c)
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if size(c) > was {
			return true
		}
	}
	return false
}

// Frozen it stands still, with two that hold it until both have let go; thawed it goes on.
func TestFreeze(t *testing.T) {
	c := script(t, counting)
	if !grows(c, 5*time.Second) {
		t.Fatal("it does not run")
	}
	c.Freeze()
	c.Freeze()
	time.Sleep(50 * time.Millisecond)
	if grows(c, 200*time.Millisecond) {
		t.Error("it runs though it is stopped")
	}
	c.Thaw()
	if grows(c, 100*time.Millisecond) {
		t.Error("it runs though one still holds it")
	}
	c.Thaw()
	if !grows(c, 5*time.Second) {
		t.Error("it does not go on")
	}
}

// A full disk: its files stop growing; with the limit gone they grow again.
func TestFullDisk(t *testing.T) {
	c := script(t, "trap '' XFSZ\n"+counting)
	if !grows(c, 5*time.Second) {
		t.Fatal("it does not run")
	}
	if err := c.Limit(20); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if grows(c, 200*time.Millisecond) {
		t.Error("its log grows over the limit")
	}
	c.Limit(-1)
	if !grows(c, 5*time.Second) {
		t.Error("it does not go on")
	}
}

// Ended gently it says good-bye, killed it can't; what was asked for is told from what was not; wiped, its folder is gone.
func TestEnds(t *testing.T) {
	c := script(t, counting)
	grows(c, 5*time.Second)
	c.Freeze() // also one that is stopped
	if err := c.End(); err != nil {
		t.Error(err)
	}
	if b, _ := os.ReadFile(c.Log); !strings.HasSuffix(string(b), "bye\n") {
		t.Error("it did not end gently")
	}
	k := script(t, counting)
	grows(k, 5*time.Second)
	k.Kill()
	<-k.Done()
	if _, asked, err := k.Ended(); !asked || err == nil {
		t.Errorf("killed: %v, %v", asked, err)
	}
	if _, err := os.Stat(k.Dir); err != nil {
		t.Error(err)
	}
	k.Wipe()
	if _, err := os.Stat(k.Dir); !os.IsNotExist(err) {
		t.Error("its folder is still there")
	}
	x := script(t, "exit 3")
	<-x.Done()
	if _, asked, err := x.Ended(); asked || err == nil {
		t.Errorf("ended by itself: %v, %v", asked, err)
	}
	if x.Limit(5) == nil {
		t.Error("a process that has ended took a limit")
	}
}

// One that does not end when asked is ended all the same, and that is said.
func TestStubborn(t *testing.T) {
	c := script(t, "trap '' TERM\necho up\nwhile true; do sleep 0.05; done\n")
	grows(c, 5*time.Second)
	if err := c.End(); err == nil {
		t.Error("nobody says that it did not end")
	}
	if ended, _, _ := c.Ended(); !ended {
		t.Error("it was left behind")
	}
}
